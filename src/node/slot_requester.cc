#include "node/slot_requester.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// Bounds of the timeout for the leader's first answer, which takes a few round trips. They apply while few answers
/// have been measured and when measurements vary widely.
constexpr milliseconds kMinResponseTimeout{15};
constexpr milliseconds kMaxResponseTimeout{40};
constexpr int kTimeoutDeviations = 4;
/// Timeout before the first answer. Entries that start at the same time, as after a power failure, all ask at once.
constexpr milliseconds kInitialResponseTimeout{200};
/// Timeout for permission to send a request with a suspected part, which is withheld without an answer.
constexpr milliseconds kSuspectResponseTimeout{200};
/// How long a leader that did not answer is not asked again. Elections take several times as long.
constexpr auto kLeaderBackoff = milliseconds(150);
/// A queued request is answered at most this long after its queue timeout: one tick of the leader plus network time.
constexpr milliseconds kQueuedReplyMargin{40};
/// Load changes within this time are reported together.
constexpr milliseconds kReportDelay{5};
/// A complete report corrects errors left by a lost one, and shows the leader that this entry is alive.
constexpr auto kCompleteReportInterval = std::chrono::seconds(1);

std::vector<wire::ServerLimitReport> make_limit_reports(TimePoint now,
                                                        const std::vector<fleet::LimitObservation>& observations) {
  std::vector<wire::ServerLimitReport> result;
  for (const auto& observation : observations) {
    wire::ServerLimitReport report;
    report.incarnation = observation.incarnation;
    if (observation.per_second) {
      report.__set_per_second(*observation.per_second);
    }
    report.age_ms = duration_cast<milliseconds>(now - observation.observed_at).count();
    result.push_back(std::move(report));
  }
  return result;
}

wire::SlotGrant undecided_grant() {
  wire::SlotGrant grant;
  grant.verdict = wire::SlotVerdict::UNDECIDED;
  return grant;
}

}  // namespace

SlotRequester::SlotRequester(asio::any_io_executor executor, EntryState& state, Sender send)
    : executor_(std::move(executor)), state_(state), send_(std::move(send)), alive_(std::make_shared<bool>(true)) {}

milliseconds SlotRequester::response_timeout() const {
  if (!response_latency_.has_samples()) {
    return kInitialResponseTimeout;
  }
  const auto measured = duration_cast<milliseconds>(response_latency_.upper_bound(kTimeoutDeviations));
  return std::clamp(measured, kMinResponseTimeout, kMaxResponseTimeout);
}

asio::awaitable<void> SlotRequester::wait_for_answer(std::shared_ptr<PendingRequest> pending_request,
                                                     milliseconds timeout) {
  pending_request->is_answered = false;
  pending_request->timer.expires_after(timeout);
  co_await pending_request->timer.async_wait(kAwaitWithError);
}

asio::awaitable<wire::SlotGrant> SlotRequester::request_slot(wire::SlotRequest request) {
  if (!is_leader_responsive(monotonic_now())) {
    co_return undecided_grant();
  }
  co_return co_await ask_leader(std::move(request), response_timeout());
}

asio::awaitable<wire::SlotGrant> SlotRequester::ask_leader(wire::SlotRequest request, milliseconds timeout) {
  request.id = next_request_id_++;
  const int64_t id = request.id;
  const milliseconds queue_timeout(request.patience_ms);
  auto pending_request = std::make_shared<PendingRequest>(executor_);
  pending_request->asked_at = monotonic_now();
  pending_request->grant = undecided_grant();
  pending_requests_[id] = pending_request;
  queue_request(std::move(request));
  co_await wait_for_answer(pending_request, timeout);
  if (!pending_request->is_answered) {
    leader_backoff_until_ = monotonic_now() + kLeaderBackoff;
  } else if (pending_request->grant.verdict == wire::SlotVerdict::QUEUED) {
    co_await wait_for_answer(pending_request, queue_timeout + kQueuedReplyMargin);
  }
  pending_requests_.erase(id);
  const bool is_still_queued = pending_request->grant.verdict == wire::SlotVerdict::QUEUED;
  co_return is_still_queued ? undecided_grant() : pending_request->grant;
}

void SlotRequester::stop_waiting() {
  for (const auto& [id, pending_request] : pending_requests_) {
    pending_request->timer.cancel();
  }
}

asio::awaitable<bool> SlotRequester::request_trial(requests::RequestFingerprint request) {
  wire::SlotRequest slot_request;
  slot_request.__set_trial_of(request.value());
  const auto grant = co_await request_slot(std::move(slot_request));
  co_return grant.verdict == wire::SlotVerdict::GRANTED;
}

asio::awaitable<bool> SlotRequester::request_retry_permission(requests::RequestFingerprint request) {
  wire::SlotRequest slot_request;
  slot_request.__set_repeat_of(request.value());
  const auto grant = co_await request_slot(std::move(slot_request));
  co_return grant.verdict != wire::SlotVerdict::BUSY;
}

asio::awaitable<bool> SlotRequester::request_suspect_permission(requests::RequestFingerprint part) {
  wire::SlotRequest slot_request;
  slot_request.__set_repeat_of(part.value());
  const auto grant = co_await ask_leader(std::move(slot_request), kSuspectResponseTimeout);
  co_return grant.verdict == wire::SlotVerdict::GRANTED;
}

void SlotRequester::queue_request(wire::SlotRequest request) {
  unsent_requests_.push_back(std::move(request));
  if (unsent_requests_.size() > 1) {
    return;
  }
  asio::post(executor_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      send_report(std::exchange(unsent_requests_, {}));
    }
  });
}

void SlotRequester::receive(const wire::SlotAnswer& answer) {
  if (answer.term < grants_term_) {
    return;  // Sent by a deposed leader.
  }
  if (answer.term > grants_term_) {
    grants_term_ = answer.term;
    grants_seen_ = 0;
  }
  for (const auto& grant : answer.grants) {
    grants_seen_ = std::max(grants_seen_, grant.sequence);
    const auto found = pending_requests_.find(grant.id);
    if (found == pending_requests_.end()) {
      note_load_change();  // The requester has given up; report to the leader that the slot is unused.
      continue;
    }
    PendingRequest& pending_request = *found->second;
    if (pending_request.grant.verdict == wire::SlotVerdict::UNDECIDED) {
      response_latency_.add_sample(monotonic_now() - pending_request.asked_at);
    }
    pending_request.grant = grant;
    pending_request.is_answered = true;
    pending_request.timer.cancel();
  }
}

void SlotRequester::note_load_change() {
  if (!is_report_scheduled_) {
    is_report_scheduled_ = true;
    asio::co_spawn(executor_, send_report_later(), asio::detached);
  }
}

asio::awaitable<void> SlotRequester::send_report_later() {
  const std::weak_ptr<bool> alive = alive_;
  asio::steady_timer timer(executor_, kReportDelay);
  co_await timer.async_wait(kAwaitWithError);
  if (!alive.expired() && is_report_scheduled_) {
    send_report({});
  }
}

void SlotRequester::tick(TimePoint now) {
  auto failures = state_.dispatcher.group_failures(now);
  const bool has_new_failure =
      std::any_of(failures.begin(), failures.end(), [this](const auto& failure) { return is_unreported(failure); });
  const std::string& leader = state_.subscription.leader();
  if (!leader.empty() &&
      (state_.blocked_request_tracker.has_unreported() || state_.dispatcher.has_unreported_limits())) {
    note_load_change();
  }
  if (!leader.empty() && (now >= next_complete_report_ || has_new_failure || leader != last_report_leader_)) {
    send_complete_report(now, std::move(failures));
  } else if (!leader.empty() && state_.dispatcher.quiet_groups(now) != reported_quiet_groups_) {
    send_report({});
  }
}

wire::SlotReport SlotRequester::make_report(std::vector<wire::SlotRequest> requests) {
  reported_quiet_groups_ = state_.dispatcher.quiet_groups(monotonic_now());
  wire::SlotReport report;
  report.requests = std::move(requests);
  report.grants_term = grants_term_;
  report.grants_seen = grants_seen_;
  report.traffic_seen = state_.traffic_seen;
  report.quiet_groups = reported_quiet_groups_;
  if (!state_.subscription.leader().empty()) {
    report.server_ends = state_.blocked_request_tracker.take_unreported_ends(monotonic_now());
    report.answered_requests = state_.blocked_request_tracker.take_answered_requests();
    report.server_limits = make_limit_reports(monotonic_now(), state_.dispatcher.take_changed_limits(monotonic_now()));
  }
  return report;
}

void SlotRequester::send_report(std::vector<wire::SlotRequest> requests) {
  auto report = make_report(std::move(requests));
  report.loads = state_.dispatcher.take_changed_group_loads(monotonic_now());
  send(std::move(report));
}

bool SlotRequester::is_unreported(const wire::GroupFailure& failure) const {
  return std::find(reported_failures_.begin(), reported_failures_.end(), failure) == reported_failures_.end();
}

void SlotRequester::log_new_failures(const std::vector<wire::GroupFailure>& failures) const {
  std::vector<std::string> groups;
  for (const auto& failure : failures) {
    if (is_unreported(failure)) {
      groups.push_back(failure.group);
    }
  }
  if (!groups.empty()) {
    log_event("", "group_failures_reported",
              {{"groups", join_items(groups)}, {"leader", state_.subscription.leader()}});
  }
}

void SlotRequester::send_complete_report(TimePoint now, std::vector<wire::GroupFailure> failures) {
  next_complete_report_ = now + kCompleteReportInterval;
  const bool is_new_leader = last_report_leader_ != state_.subscription.leader();
  last_report_leader_ = state_.subscription.leader();
  log_new_failures(failures);
  reported_failures_ = failures;
  auto report = make_report({});
  report.loads = state_.dispatcher.group_loads(now);
  state_.dispatcher.take_changed_group_loads(now);  // Included.
  report.is_complete = true;
  report.server_limits = make_limit_reports(now, state_.dispatcher.take_all_limits(now));
  report.demand = state_.dispatcher.demand_totals();
  report.failures = std::move(failures);
  if (is_new_leader) {
    report.server_ends = state_.blocked_request_tracker.recent_ends(now);
    report.answered_requests = state_.blocked_request_tracker.recently_answered_rows(now);
  }
  send(std::move(report));
}

void SlotRequester::send(wire::SlotReport report) {
  is_report_scheduled_ = false;
  state_.dispatcher.move_response_times_to(report.loads);
  wire::Envelope envelope;
  envelope.to_node = state_.subscription.leader();
  envelope.__isset.slot_report = true;
  envelope.slot_report = std::move(report);
  send_(std::move(envelope));
}

}  // namespace larchlever::node
