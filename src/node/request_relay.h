#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/requests/buffer_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/active_requests.h"
#include "node/blocked_request_guard.h"
#include "node/dialect.h"
#include "node/entry_state.h"
#include "node/in_flight_attempts.h"
#include "node/lease_gate.h"
#include "node/relayed_request.h"
#include "node/request_completion.h"
#include "node/target_finder.h"

namespace larchlever::node {

/// Serves callers of a registered fleet: finds route and tenant, sends each request to a server, retries and resumes it
/// within the route's rules and the shared retry budget, and relays the response.
///
/// Guarantees: a response is used for a request only if it carries the request's id; a request that may not be repeated
/// is sent again only if no byte was sent or the server proved that it did not run, to no more servers than its route
/// allows, and its caller gets 429, 503, 408 and 421 only if it did not run; a truncated response never looks complete;
/// a response is not ended because its server is silent, but continued by another server if that one delivers first. A
/// request goes through at most one other entry, which sends it to at most one server; retries are decided here. Runs
/// on one executor; not thread-safe.
class RequestRelay : public net::HttpHandler {
 public:
  struct Options {
    /// Limit on the bytes of responses that are buffered for callers that have not read them yet.
    size_t response_buffer_bytes = 0;
    /// Local IP address from which servers are connected to; empty lets the operating system choose.
    std::string outbound_address;
    /// Peer address of this entry.
    std::string peer_address;
    /// Requests are relayed by other entries if this one reaches no server for them.
    bool uses_relay_peers = false;
  };

  RequestRelay(boost::asio::any_io_executor executor, const Dialect& dialect, EntryState& state,
               SlotRequester& slot_requester, LeaseGate& lease_gate, const Options& options);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// Serves a request that another entry received from its caller. It is checked like a caller's request.
  boost::asio::awaitable<void> handle_for_peer(net::HttpExchange& exchange);
  /// Attempts in flight, so that those that cannot complete can be cancelled.
  InFlightAttempts& in_flight_attempts() { return in_flight_attempts_; }
  /// The client for connections to servers.
  net::HttpClient& client() { return client_; }
  /// Requests whose response is not complete.
  ActiveRequests& active_requests() { return active_requests_; }
  /// Detection and blocking of requests that crash servers.
  BlockedRequestGuard& blocked_request_guard() { return blocked_request_guard_; }

 private:
  /// Result of one attempt.
  enum class DispatchResult {
    kAnswered,    ///< The caller has its final response or has disconnected.
    kNotRelayed,  ///< The peer sent it to no server.
    kNotRun,      ///< Proved that no server ran it.
    kMayHaveRun,  ///< It may still run, or its response was lost.
    kServerError  ///< The server returned a 5xx status and the request may be retried.
  };

  static std::string_view result_name(DispatchResult result);
  /// Starts the request's clock and follows its caller's connection.
  void begin_request(RelayedRequest& request, net::HttpExchange& exchange);
  /// Returns until when a request may wait for a configuration lease.
  TimePoint lease_wait_deadline(const RelayedRequest& request) const;
  std::optional<Refusal> resolve_route(RelayedRequest& request);
  std::optional<Refusal> authenticate_tenant(RelayedRequest& request, std::string_view key);
  /// Records the request's size as stated in its headers, for load prediction and for the models' shares of capacity.
  void record_demand(RelayedRequest& request);
  void report_load_change(const fleet::DispatchTarget& target);
  /// The caller gets a whole successful response.
  void note_served(const RelayedRequest& request);
  /// Records how long a successful response, or the first event of a stream, took.
  void note_response_time(const RelayAttempt& attempt, TimePoint now);
  /// Called when the target responded or sent part of a response.
  void note_progress(const fleet::DispatchTarget& target, TimePoint now);
  /// Called when bytes of a stream arrived.
  void note_chunk(RelayedRequest& request, RelayAttempt& attempt, TimePoint now);
  boost::asio::awaitable<void> dispatch_until_done(RelayedRequest& request);
  /// Finds a server, or a peer if this entry reaches no server for the request.
  boost::asio::awaitable<FoundTarget> find_target(RelayedRequest& request, const TargetSearch& search);
  /// Whether there are servers for the request but the links to all of them are lost.
  bool are_servers_out_of_reach(const RelayedRequest& request) const;
  /// Whether a peer is preferred although servers seem to be in reach: connections of the request have failed, or it
  /// may not be repeated and links are doubtful.
  bool should_avoid_own_links(const RelayedRequest& request) const;
  /// Whether a peer may find a server for a request that this entry found none for: it does not reach some of the
  /// servers, or its own failures rule out all of them.
  bool may_be_served_by_peer(const RelayedRequest& request);
  std::optional<fleet::DispatchTarget> choose_relay_peer(const RelayedRequest& request);
  /// Handles the response head of a peer. Returns nothing if the response is a server's and is to be relayed like one.
  boost::asio::awaitable<std::optional<DispatchResult>> handle_peer_response(RelayedRequest& request,
                                                                             const RelayAttempt& attempt);
  /// Responds to the caller with a peer's refusal.
  boost::asio::awaitable<DispatchResult> pass_on_refusal(RelayedRequest& request, net::ClientStream& stream);
  /// Evaluates an attempt that got no response head.
  DispatchResult note_failed_open(RelayedRequest& request, RelayAttempt& attempt, const net::OpenResult& opened);
  /// The response's head as the caller, or the entry for which the request is relayed, gets it.
  static net::HttpResponse head_for_receiver(const RelayedRequest& request, const net::HttpResponse& head);
  /// Responds to a request for which no target was found.
  boost::asio::awaitable<void> finish_without_target(RelayedRequest& request, const FoundTarget& found);
  /// Responds to a request that did not succeed and may not be retried.
  boost::asio::awaitable<void> finish_without_retry(RelayedRequest& request);
  /// Sends the request to the target and relays the response, or that of another server that has taken over while the
  /// target was silent.
  boost::asio::awaitable<DispatchResult> run_with_successors(RelayedRequest& request,
                                                             const fleet::DispatchTarget& target);
  /// Records what an attempt without a response for the caller means for further ones.
  static void note_ended_attempt(RelayedRequest& request, const RelayAttempt& attempt, DispatchResult result);
  /// Registers an attempt at the target, which counts as load until it is destroyed.
  std::unique_ptr<RelayAttempt> begin_attempt(RelayedRequest& request, const fleet::DispatchTarget& target);
  void end_attempt(RelayAttempt& attempt);
  /// Sends the attempt unless its response has already begun, and relays the response.
  boost::asio::awaitable<DispatchResult> run_attempt(RelayedRequest& request, RelayAttempt& attempt);
  /// Sends the attempt and reads the head of its response. Returns nothing if the response is to be relayed.
  boost::asio::awaitable<std::optional<DispatchResult>> open_attempt(RelayedRequest& request, RelayAttempt& attempt);
  /// Returns nothing if the response with this head is to be relayed.
  std::optional<DispatchResult> check_response_head(RelayedRequest& request, RelayAttempt& attempt);
  /// Whether another server may be looked for beside the suspected attempt.
  bool may_hedge(RelayedRequest& request, const RelayAttempt& suspected) const;
  void start_hedge(const std::shared_ptr<RelayedRequest>& request, const RelayAttempt& suspected,
                   std::string_view cause);
  static void abandon_hedge(RelayedRequest& request, std::string_view cause);
  static bool has_live_hedge(const RelayedRequest& request) {
    return request.hedge != nullptr && request.hedge->is_live();
  }
  boost::asio::awaitable<void> run_hedge(std::shared_ptr<RelayedRequest> request, std::shared_ptr<Hedge> hedge);
  /// Sends the attempt of a hedge. Returns kAnswered once the first bytes of its response arrived.
  boost::asio::awaitable<DispatchResult> wait_for_first_bytes(RelayedRequest& request, RelayAttempt& attempt);
  /// Ends the main attempt in favour of the successor.
  void hand_over(RelayedRequest& request, Hedge& hedge, std::unique_ptr<RelayAttempt> successor);
  /// The main attempt has ended. Waits for the hedge if it has sent an attempt, and ends it otherwise. Returns the
  /// attempt that takes over, or null.
  boost::asio::awaitable<std::unique_ptr<RelayAttempt>> take_successor(RelayedRequest& request);
  /// Evaluates a response that ended before its end.
  void note_broken_response(RelayedRequest& request, RelayAttempt& attempt, const std::string& reason);
  boost::asio::awaitable<DispatchResult> relay_response(RelayedRequest& request, RelayAttempt& attempt);
  /// Returns the next bytes of the response; empty at its end, after a failure, or at the request's deadline. The
  /// target has made no progress since `waiting_since`.
  static boost::asio::awaitable<std::string> read_chunk(const RelayedRequest& request, RelayAttempt& attempt,
                                                        TimePoint waiting_since);
  boost::asio::awaitable<DispatchResult> relay_buffered(RelayedRequest& request, RelayAttempt& attempt);
  /// Relays a successful response as it arrives, at the speed at which the caller reads, after the prefix that is
  /// already buffered in `buffer_share`, which is released once the prefix is written.
  boost::asio::awaitable<DispatchResult> relay_unbuffered(RelayedRequest& request, RelayAttempt& attempt,
                                                          std::string buffered_prefix,
                                                          requests::BufferReservation& buffer_share);
  /// Longest incomplete response that is held if it may not be relayed before its end.
  size_t max_held_bytes(bool has_room) const;
  boost::asio::awaitable<DispatchResult> relay_events(RelayedRequest& request, RelayAttempt& attempt);
  /// Servers return the request's id, so that a response to another request, or to none, can be told apart. A peer's
  /// own responses have no id.
  bool is_response_to(const RelayedRequest& request, const fleet::DispatchTarget& target,
                      const net::HttpResponse& head) const;
  /// The target sent a response that does not answer the request.
  void note_surplus_response(const RelayedRequest& request, RelayAttempt& attempt, const net::HttpResponse& head,
                             bool on_reused_connection);
  bool proves_not_run(const net::HttpResponse& head) const;
  bool may_retry(RelayedRequest& request, TimePoint now);
  /// Whether the request was sent to as many servers as its route allows. If it may be repeated, only those count that
  /// may have run it; otherwise all do, since a proof that one did not run it may be wrong.
  static bool has_reached_attempt_limit(const RelayedRequest& request);
  /// At least one, since zero stands for no time-out.
  static std::chrono::milliseconds to_milliseconds(Duration duration) {
    return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(duration));
  }

  /// A request that failed to connect to this many servers is sent through a peer, before it tries all servers.
  static constexpr int kFailedConnectionsUntilRelay = 2;
  static constexpr int kMaxAttempts = 6;

  boost::asio::any_io_executor executor_;
  const Dialect& dialect_;
  const std::string peer_address_;
  const bool uses_relay_peers_;
  EntryState& state_;
  SlotRequester& slot_requester_;
  LeaseGate& lease_gate_;
  RequestCompletion completion_;
  BlockedRequestGuard blocked_request_guard_;
  ActiveRequests active_requests_;
  InFlightAttempts in_flight_attempts_;
  TargetFinder target_finder_;
  net::HttpClient client_;
  requests::BufferBudget response_buffers_;
};

}  // namespace larchlever::node
