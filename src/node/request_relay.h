#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/requests/buffer_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/blocked_request_guard.h"
#include "node/dialect.h"
#include "node/entry_state.h"
#include "node/in_flight_attempts.h"
#include "node/lease_gate.h"
#include "node/relayed_request.h"
#include "node/request_completion.h"
#include "node/target_finder.h"

namespace larchlever::node {

/// Serves callers of a registered fleet: finds route and tenant, sends each request to a server, retries and resumes
/// within the route's rules and the shared budgets, and relays the answer.
///
/// Guarantees: a request that may not be repeated is sent again only when no byte left or the server proved that it did
/// not run; 429, 503, 408 and 421 are answered only to requests that did not run; a broken answer never looks whole.
/// One executor; not thread-safe.
class RequestRelay : public net::HttpHandler {
 public:
  /// `response_buffer_bytes` is how many bytes of answers may be held for callers that have not read them yet.
  RequestRelay(boost::asio::any_io_executor executor, const Dialect& dialect, EntryState& state,
               SlotRequester& slot_requester, LeaseGate& lease_gate, size_t response_buffer_bytes);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// What is under way, to be given up where it cannot come back.
  InFlightAttempts& in_flight_attempts() { return in_flight_attempts_; }
  /// What is known of servers that end under requests.
  BlockedRequestGuard& blocked_request_guard() { return blocked_request_guard_; }

 private:
  /// What one sending came to.
  enum class DispatchResult {
    kAnswered,    ///< The caller has its final answer, or is gone.
    kNotRun,      ///< Proved: no server ran it.
    kMayHaveRun,  ///< It may be running, or its answer was lost.
    kServerError  ///< The server ran it and failed; its answer is kept.
  };

  /// Until when a request may be held for a lease on the configuration.
  TimePoint lease_wait_deadline(const RelayedRequest& request) const;
  std::optional<Refusal> resolve_route(RelayedRequest& request);
  std::optional<Refusal> authenticate_tenant(RelayedRequest& request, std::string_view key);
  /// Takes the request's own statement of its size, for the forecasts of load and the shares of models.
  void record_demand(RelayedRequest& request);
  void report_load_change(const fleet::Target& target);
  /// The target answered or brought a part of an answer.
  void note_progress(const fleet::Target& target, TimePoint now);
  /// Bytes of a stream arrived.
  void note_chunk(RelayedRequest& request, const fleet::Target& target, TimePoint now);
  boost::asio::awaitable<void> dispatch_until_done(RelayedRequest& request);
  /// Ends the request: no target was found for it.
  boost::asio::awaitable<void> finish_without_target(RelayedRequest& request, const FoundTarget& found);
  /// Ends a request that was turned away and may not be sent once more.
  boost::asio::awaitable<void> finish_without_retry(RelayedRequest& request);
  boost::asio::awaitable<DispatchResult> run_attempt(RelayedRequest& request, const fleet::Target& target);
  boost::asio::awaitable<DispatchResult> send_attempt(RelayedRequest& request, const fleet::Target& target);
  boost::asio::awaitable<DispatchResult> relay_buffered(RelayedRequest& request, const fleet::Target& target,
                                                        net::ClientStream& stream);
  /// Passes on a successful answer as it comes, after what was read of it: as fast as its caller reads.
  boost::asio::awaitable<DispatchResult> relay_unbuffered(RelayedRequest& request, const fleet::Target& target,
                                                          net::ClientStream& stream, std::string buffered_prefix);
  boost::asio::awaitable<DispatchResult> relay_events(RelayedRequest& request, const fleet::Target& target,
                                                      net::ClientStream& stream);
  net::HttpRequest make_upstream_request(const RelayedRequest& request, const fleet::Target& target,
                                         TimePoint now) const;
  bool proves_not_run(const net::HttpResponse& head) const;
  bool may_retry(RelayedRequest& request, TimePoint now);
  std::chrono::milliseconds read_timeout(const RelayedRequest& request, TimePoint now) const;

  boost::asio::any_io_executor executor_;
  const Dialect& dialect_;
  EntryState& state_;
  SlotRequester& slot_requester_;
  LeaseGate& lease_gate_;
  RequestCompletion completion_;
  BlockedRequestGuard blocked_request_guard_;
  InFlightAttempts in_flight_attempts_;
  TargetFinder target_finder_;
  net::HttpClient client_;
  requests::BufferBudget response_buffers_;
};

}  // namespace larchlever::node
