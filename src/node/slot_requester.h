#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/requests/latency_estimate.h"
#include "larchlever_types.h"
#include "node/entry_state.h"

namespace larchlever::node {

/// Requests slots of engine groups from the leader, and reports to it this entry's load as it changes, the demand of
/// its callers, and failing groups.
///
/// Guarantees: `request_slot` returns shortly after the request's `patience_ms`, whatever the leader does; while the
/// leader does not answer, it returns immediately. Runs on one executor; not thread-safe.
class SlotRequester {
 public:
  /// Sends an envelope to the leader, best effort.
  using Sender = std::function<void(wire::Envelope)>;

  SlotRequester(boost::asio::any_io_executor executor, EntryState& state, Sender send);

  /// Returns the leader's decision, or UNDECIDED if there was none in time. Sets the request's id.
  boost::asio::awaitable<wire::SlotGrant> request_slot(wire::SlotRequest request);
  /// Returns whether the leader permits this entry one trial attempt of a blocked request.
  boost::asio::awaitable<bool> request_trial(requests::RequestFingerprint request);
  /// Returns whether a request whose response was lost may be retried. The leader decides from the observations of all
  /// entries, including this one. Returns true if the leader does not decide.
  boost::asio::awaitable<bool> request_retry_permission(requests::RequestFingerprint request);
  /// Returns whether the leader permits a request with a suspected part to be sent. Returns false if the leader does
  /// not decide: entries that decide on their own would all send such requests at the same time.
  boost::asio::awaitable<bool> request_suspect_permission(requests::RequestFingerprint part);
  /// All requests that wait for the leader go on without a decision.
  void stop_waiting();
  void receive(const wire::SlotAnswer& answer);
  /// Schedules a report to the leader within a few milliseconds. Call when the load of a group changed in a way that
  /// the leader does not know of.
  void note_load_change();
  /// Sends a complete report when one is due: about once a second, to each new leader, and when a group began to fail.
  /// Sends a short report when a stream of a group began to pause too long, or continued. Call every few ticks.
  void tick(TimePoint now);
  /// False for a short time after the leader left a request unanswered; it is not asked then.
  bool is_leader_responsive(TimePoint now) const { return now >= leader_backoff_until_; }
  /// True if the leader recently left a request unanswered, so that this entry chooses targets itself.
  bool decides_locally(TimePoint now) const { return now < leader_backoff_until_ + kLocalDecisionWindow; }
  /// Term and sequence number of the last slot received.
  std::pair<int64_t, int64_t> last_grant() const { return {grants_term_, grants_seen_}; }

 private:
  /// How long this entry wants the loads reported by other entries after the leader did not answer.
  static constexpr Duration kLocalDecisionWindow = seconds(1);

  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    TimePoint asked_at{};
    wire::SlotGrant grant;
    bool is_answered = false;
  };

  /// Asks the leader, also if it recently left a request unanswered.
  boost::asio::awaitable<wire::SlotGrant> ask_leader(wire::SlotRequest request, std::chrono::milliseconds timeout);
  /// Waits until an answer to the request arrives, or until the timeout.
  boost::asio::awaitable<void> wait_for_answer(std::shared_ptr<PendingRequest> pending_request,
                                               std::chrono::milliseconds timeout);
  boost::asio::awaitable<void> send_report_later();
  /// Sends the request together with all others that are made in the same turn of the event loop.
  void queue_request(wire::SlotRequest request);
  wire::SlotReport make_report(std::vector<wire::SlotRequest> requests);
  void send_report(std::vector<wire::SlotRequest> requests);
  /// Whether the last complete report did not contain the failure.
  bool is_unreported(const wire::GroupFailure& failure) const;
  void log_new_failures(const std::vector<wire::GroupFailure>& failures) const;
  void send_complete_report(TimePoint now, std::vector<wire::GroupFailure> failures);
  void send(wire::SlotReport report);
  std::chrono::milliseconds response_timeout() const;

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  Sender send_;
  int64_t next_request_id_ = 1;
  std::map<int64_t, std::shared_ptr<PendingRequest>> pending_requests_;
  /// Requested but not yet sent.
  std::vector<wire::SlotRequest> unsent_requests_;
  requests::LatencyEstimate response_latency_;
  /// The leader did not answer and is not asked again until then.
  TimePoint leader_backoff_until_ = TimePoint();
  /// When the next complete report is due, which leader got the last one, and which failures it contained.
  TimePoint next_complete_report_ = TimePoint::min();
  std::string last_report_leader_;
  std::vector<wire::GroupFailure> reported_failures_;
  std::vector<std::string> reported_quiet_groups_;
  /// Term of the last slot received, and its highest sequence number; reported to the leader.
  int64_t grants_term_ = 0;
  int64_t grants_seen_ = 0;
  bool is_report_scheduled_ = false;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
