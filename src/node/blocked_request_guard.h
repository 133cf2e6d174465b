#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/crash_attribution/crash_detector.h"
#include "node/entry_state.h"
#include "node/relayed_request.h"
#include "node/slot_requester.h"

namespace larchlever::node {

/// Protects servers from requests that crash them, by themselves or by a part of their prompt. Detects which servers
/// ended while they ran a request, and withholds requests that are blocked for it (`fleet::BlockedRequests`).
///
/// A lost response does not prove that the server ended. This class probes the server afterwards, and
/// `fleet::CrashDetector` evaluates the results. Runs on one executor; not thread-safe.
class BlockedRequestGuard {
 public:
  /// Probes originate from the local IP address `outbound_address` unless it is empty.
  BlockedRequestGuard(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slot_requester,
                      std::string outbound_address);

  /// Returns whether the request may be sent now. Asks the leader for permission when a trial of a blocked request is
  /// due.
  boost::asio::awaitable<bool> admit(RelayedRequest& request);
  /// Returns the refusal for a request that may not be sent.
  Refusal make_refusal(const RelayedRequest& request);
  /// Called when the response was lost after the request was sent to the target.
  void note_lost_response(RelayedRequest& request, const fleet::DispatchTarget& target);
  /// Called when a server ran the request and returned a complete response.
  void note_response(const RelayedRequest& request);
  /// Called when the target made progress on any request.
  void note_target_progress(TimePoint now, const fleet::DispatchTarget& target) {
    lost_responses_.note_progress(now, target.incarnation);
  }
  /// Called when the server that ran as `incarnation` has restarted under a new incarnation.
  void note_server_restarted(const std::string& incarnation);

 private:
  /// Waits until it is known whether the server that lost the request's last response may have ended. Returns false if
  /// it has not, or if no response was lost.
  boost::asio::awaitable<bool> may_have_ended_server(RelayedRequest& request);
  /// Returns what of the request needs the leader's permission to be sent: the request itself, or parts of its prompt.
  std::vector<requests::RequestFingerprint> causes_to_ask_for(const RelayedRequest& request,
                                                              bool may_have_ended_server);
  /// Returns whether the leader permits a request with this cause, which is suspected or may have ended a server.
  boost::asio::awaitable<bool> is_permitted_by_leader(requests::RequestFingerprint cause);
  /// Returns whether the request may be sent in spite of this cause, which may be blocked.
  boost::asio::awaitable<bool> admit_cause(RelayedRequest& request, requests::RequestFingerprint cause);
  /// Probes the target until it is known whether its server ended.
  boost::asio::awaitable<void> probe_until_resolved(fleet::DispatchTarget target);
  /// Records an end that only this entry's connections show, unless its own links explain it.
  boost::asio::awaitable<void> record_end_seen_here(fleet::DispatchTarget target, fleet::CrashedServer ended);
  void record_end_under(const fleet::ServerCrash& end);
  void record_ended_server(const std::string& incarnation, const fleet::CrashedServer& ended);

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slot_requester_;
  std::string outbound_address_;
  fleet::CrashDetector lost_responses_;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
