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

/// Asks the leader for slots of engine groups, and tells it of this entry's load as it changes, of its callers' demand
/// and of groups that fail.
///
/// Guarantees: `ask` returns within the request's patience and a little, whatever the leader does; while the leader
/// does not answer, it returns at once. One executor; not thread-safe.
class SlotRequester {
 public:
  /// Sends an envelope to the leader, best effort.
  using Sender = std::function<void(wire::Envelope)>;

  SlotRequester(boost::asio::any_io_executor executor, EntryState& state, Sender send);

  /// The leader's decision; UNDECIDED when it gave none in time. Fills in the request's id.
  boost::asio::awaitable<wire::SlotGrant> request_slot(wire::SlotRequest request);
  /// Whether the leader lets this entry send a blocked request once.
  boost::asio::awaitable<bool> request_trial(requests::RequestFingerprint request);
  /// Whether a request whose answer was lost may be sent again, as the leader decides with this entry's own word
  /// included. An entry that gets no word decides for itself.
  boost::asio::awaitable<bool> request_retry_permission(requests::RequestFingerprint request);
  void receive(const wire::SlotAnswer& answer);
  /// The load of some group changed in a way that the leader does not know of: it learns within a few milliseconds.
  void note_load_change();
  /// Sends a complete report when one is due: about once a second, to every new leader, and when a group began to fail;
  /// and a word when streams of a group began to pause too long, or go on again. To be called every few ticks.
  void tick(TimePoint now);
  /// The leader is asked: it did not leave a question unanswered just now.
  bool is_leader_responsive(TimePoint now) const { return now >= leader_backoff_until_; }
  /// Nobody answered a question for a slot of late, so this entry chooses targets by itself.
  bool decides_locally(TimePoint now) const { return now < leader_backoff_until_ + kLocalDecisionWindow; }
  /// Term and sequence of the last slot received.
  std::pair<int64_t, int64_t> last_grant() const { return {grants_term_, grants_seen_}; }

 private:
  /// After a silence of the leader, loads of others are asked for this long.
  static constexpr Duration kLocalDecisionWindow = seconds(1);

  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    TimePoint asked_at{};
    wire::SlotGrant grant;
    bool is_answered = false;
  };

  /// Waits until the question's answer is another than `known`, or the time is over.
  boost::asio::awaitable<void> wait_for_answer(std::shared_ptr<PendingRequest> pending_request,
                                               std::chrono::milliseconds timeout);
  boost::asio::awaitable<void> send_report_later();
  /// Sends the question with all others that are asked in the same moment.
  void queue_request(wire::SlotRequest request);
  wire::SlotReport make_report(std::vector<wire::SlotRequest> requests);
  void send_report(std::vector<wire::SlotRequest> requests);
  void send_complete_report(TimePoint now, std::vector<wire::GroupFailure> failures);
  void send(wire::SlotReport report);
  std::chrono::milliseconds response_timeout() const;

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  Sender send_;
  int64_t next_id_ = 1;
  std::map<int64_t, std::shared_ptr<PendingRequest>> pending_requests_;
  /// Asked and not sent yet.
  std::vector<wire::SlotRequest> unsent_requests_;
  requests::LatencyEstimate response_latency_;
  /// The leader did not answer: it is not asked until then.
  TimePoint leader_backoff_until_ = TimePoint();
  /// When the next complete report is due, whom the last one went to and which failures it named.
  TimePoint next_complete_report_ = TimePoint::min();
  std::string last_report_leader_;
  std::vector<wire::GroupFailure> reported_failures_;
  std::vector<std::string> reported_quiet_groups_;
  int64_t grants_term_ = 0;
  int64_t grants_seen_ = 0;
  bool is_report_scheduled_ = false;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
