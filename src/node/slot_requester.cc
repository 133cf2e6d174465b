#include "node/slot_requester.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "node/clock.h"

namespace larchlever::node {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// The leader's first word comes within a few round trips; bounds of the wait for it while few were measured, and
/// where measurements vary much.
constexpr milliseconds kShortestPatience{15};
constexpr milliseconds kLongestPatience{40};
constexpr int kPatienceDeviations = 4;
/// Before the first answer: whoever started with this entry, as after a loss of power, asks at the same moment.
constexpr milliseconds kFirstPatience{200};
/// A leader that did not answer is asked again after this time; elections take several times as long.
constexpr auto kSilencePause = milliseconds(150);
/// A queued request is answered at the latest this long after its patience: one tick of the leader, and the way.
constexpr milliseconds kQueueSlack{40};
/// Changes of load within this time are told together.
constexpr milliseconds kReportDelay{5};
/// A complete report mends what a lost one left wrong, and shows the leader that this entry lives.
constexpr auto kCompleteInterval = std::chrono::seconds(1);

std::vector<wire::ServerLimitReport> limit_reports(TimePoint now,
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

}  // namespace

SlotRequester::SlotRequester(asio::any_io_executor executor, EntryState& state, Sender send)
    : executor_(std::move(executor)), state_(state), send_(std::move(send)), alive_(std::make_shared<bool>(true)) {}

milliseconds SlotRequester::answer_patience() const {
  if (!answer_time_.is_measured()) {
    return kFirstPatience;
  }
  const auto measured = duration_cast<milliseconds>(answer_time_.upper(kPatienceDeviations));
  return std::clamp(measured, kShortestPatience, kLongestPatience);
}

asio::awaitable<void> SlotRequester::wait_for_answer(std::shared_ptr<Question> question, milliseconds time) {
  question->is_answered = false;
  question->timer.expires_after(time);
  co_await question->timer.async_wait(kAwait);
}

asio::awaitable<wire::SlotGrant> SlotRequester::ask(wire::SlotRequest request) {
  wire::SlotGrant undecided;
  undecided.verdict = wire::SlotVerdict::UNDECIDED;
  const TimePoint now = monotonic_now();
  if (now < not_before_) {
    co_return undecided;
  }
  request.id = next_id_++;
  const int64_t id = request.id;
  const milliseconds patience(request.patience_ms);
  auto question = std::make_shared<Question>(executor_);
  question->asked = now;
  question->grant = undecided;
  questions_[id] = question;
  send_soon(std::move(request));
  co_await wait_for_answer(question, answer_patience());
  if (!question->is_answered) {
    not_before_ = monotonic_now() + kSilencePause;
  } else if (question->grant.verdict == wire::SlotVerdict::QUEUED) {
    co_await wait_for_answer(question, patience + kQueueSlack);
  }
  questions_.erase(id);
  const bool is_open = question->grant.verdict == wire::SlotVerdict::QUEUED;
  co_return is_open ? undecided : question->grant;
}

asio::awaitable<bool> SlotRequester::ask_for_trial(requests::RequestFingerprint request) {
  wire::SlotRequest question;
  question.__set_trial_of(request.value());
  const auto grant = co_await ask(std::move(question));
  co_return grant.verdict == wire::SlotVerdict::GRANTED;
}

asio::awaitable<bool> SlotRequester::ask_for_repeat(requests::RequestFingerprint request) {
  wire::SlotRequest question;
  question.__set_repeat_of(request.value());
  const auto grant = co_await ask(std::move(question));
  co_return grant.verdict != wire::SlotVerdict::BUSY;
}

void SlotRequester::send_soon(wire::SlotRequest request) {
  unsent_.push_back(std::move(request));
  if (unsent_.size() > 1) {
    return;
  }
  asio::post(executor_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      report(std::exchange(unsent_, {}));
    }
  });
}

void SlotRequester::receive(const wire::SlotAnswer& answer) {
  if (answer.term < grants_term_) {
    return;  // From a leader that was deposed.
  }
  if (answer.term > grants_term_) {
    grants_term_ = answer.term;
    grants_seen_ = 0;
  }
  for (const auto& grant : answer.grants) {
    grants_seen_ = std::max(grants_seen_, grant.sequence);
    const auto found = questions_.find(grant.id);
    if (found == questions_.end()) {
      note_change();  // Nobody waits for the slot any more: tell the leader that it is not used.
      continue;
    }
    Question& question = *found->second;
    if (question.grant.verdict == wire::SlotVerdict::UNDECIDED) {
      answer_time_.note(monotonic_now() - question.asked);
    }
    question.grant = grant;
    question.is_answered = true;
    question.timer.cancel();
  }
}

void SlotRequester::note_change() {
  if (!report_is_due_) {
    report_is_due_ = true;
    asio::co_spawn(executor_, report_later(), asio::detached);
  }
}

asio::awaitable<void> SlotRequester::report_later() {
  const std::weak_ptr<bool> alive = alive_;
  asio::steady_timer timer(executor_, kReportDelay);
  co_await timer.async_wait(kAwait);
  if (!alive.expired() && report_is_due_) {
    report({});
  }
}

void SlotRequester::tick(TimePoint now) {
  auto failures = state_.dispatcher.group_failures(now);
  const bool has_new_failure = std::any_of(failures.begin(), failures.end(), [this](const auto& failure) {
    return std::find(reported_failures_.begin(), reported_failures_.end(), failure) == reported_failures_.end();
  });
  const std::string& leader = state_.subscription.leader();
  if (!leader.empty() && (state_.blocked.has_unreported() || state_.dispatcher.has_unreported_limits())) {
    note_change();
  }
  if (!leader.empty() && (now >= next_complete_ || has_new_failure || leader != reported_to_)) {
    report_all(now, std::move(failures));
  } else if (!leader.empty() && state_.dispatcher.quiet_groups(now) != reported_quiet_) {
    report({});
  }
}

wire::SlotReport SlotRequester::current_report(std::vector<wire::SlotRequest> requests) {
  reported_quiet_ = state_.dispatcher.quiet_groups(monotonic_now());
  wire::SlotReport report;
  report.requests = std::move(requests);
  report.grants_term = grants_term_;
  report.grants_seen = grants_seen_;
  report.traffic_seen = state_.traffic_seen;
  report.quiet_groups = reported_quiet_;
  if (!state_.subscription.leader().empty()) {
    report.server_ends = state_.blocked.take_unreported_ends(monotonic_now());
    report.answered_requests = state_.blocked.take_answered_requests();
    report.server_limits = limit_reports(monotonic_now(), state_.dispatcher.take_changed_limits(monotonic_now()));
  }
  return report;
}

void SlotRequester::report(std::vector<wire::SlotRequest> requests) {
  auto report = current_report(std::move(requests));
  report.loads = state_.dispatcher.take_changed_group_loads(monotonic_now());
  send(std::move(report));
}

void SlotRequester::report_all(TimePoint now, std::vector<wire::GroupFailure> failures) {
  next_complete_ = now + kCompleteInterval;
  const bool is_new_leader = reported_to_ != state_.subscription.leader();
  reported_to_ = state_.subscription.leader();
  reported_failures_ = failures;
  auto report = current_report({});
  state_.dispatcher.take_changed_group_loads(now);
  report.loads = state_.dispatcher.group_loads(now);
  report.is_complete = true;
  report.server_limits = limit_reports(now, state_.dispatcher.take_all_limits(now));
  report.demand = state_.dispatcher.demand_totals();
  report.failures = std::move(failures);
  if (is_new_leader) {
    report.server_ends = state_.blocked.recent_ends(now);
  }
  send(std::move(report));
}

void SlotRequester::send(wire::SlotReport report) {
  report_is_due_ = false;
  wire::Envelope envelope;
  envelope.to_node = state_.subscription.leader();
  envelope.__isset.slot_report = true;
  envelope.slot_report = std::move(report);
  send_(std::move(envelope));
}

}  // namespace larchlever::node
