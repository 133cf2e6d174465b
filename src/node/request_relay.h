#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/requests/buffer_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/block_gate.h"
#include "node/dialect.h"
#include "node/entry_state.h"
#include "node/lease_gate.h"
#include "node/relayed_request.h"
#include "node/request_ends.h"
#include "node/sendings_under_way.h"
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
  /// `answer_buffers` is how many bytes of answers may be held for callers that have not read them yet.
  RequestRelay(boost::asio::any_io_executor executor, const Dialect& dialect, EntryState& state, SlotRequester& slots,
               LeaseGate& lease, size_t answer_buffers);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// What is under way, to be given up where it cannot come back.
  SendingsUnderWay& sendings() { return sendings_; }
  /// What is known of servers that end under requests.
  BlockGate& blocks() { return blocks_; }

 private:
  /// What one sending came to.
  enum class Sending {
    kAnswered,    ///< The caller has its final answer, or is gone.
    kNotRun,      ///< Proved: no server ran it.
    kMayHaveRun,  ///< It may be running, or its answer was lost.
    kServerError  ///< The server ran it and failed; its answer is kept.
  };

  /// Until when a request may be held for a lease on the configuration.
  TimePoint lease_patience(const RelayedRequest& request) const;
  std::optional<Refusal> identify(RelayedRequest& request);
  std::optional<Refusal> authorise(RelayedRequest& request, std::string_view key);
  /// Takes the request's own statement of its size, for the forecasts of load and the shares of models.
  void note_demand(RelayedRequest& request);
  void note_load(const fleet::DispatchTarget& target);
  /// The target answered or brought a part of an answer.
  void note_progress(const fleet::DispatchTarget& target, TimePoint now);
  /// Bytes of a stream arrived.
  void note_piece(RelayedRequest& request, const fleet::DispatchTarget& target, TimePoint now);
  boost::asio::awaitable<void> relay(RelayedRequest& request);
  /// Ends the request: no target was found for it.
  boost::asio::awaitable<void> end_without_target(RelayedRequest& request, const FoundTarget& found);
  /// Ends a request that was turned away and may not be sent once more.
  boost::asio::awaitable<void> end_without_another_sending(RelayedRequest& request);
  boost::asio::awaitable<Sending> send(RelayedRequest& request, const fleet::DispatchTarget& target);
  boost::asio::awaitable<Sending> send_once(RelayedRequest& request, const fleet::DispatchTarget& target);
  boost::asio::awaitable<Sending> relay_whole(RelayedRequest& request, const fleet::DispatchTarget& target,
                                              net::ClientStream& stream);
  /// Passes on a successful answer as it comes, after what was read of it: as fast as its caller reads.
  boost::asio::awaitable<Sending> relay_by_pieces(RelayedRequest& request, const fleet::DispatchTarget& target,
                                                  net::ClientStream& stream, std::string begun);
  boost::asio::awaitable<Sending> relay_events(RelayedRequest& request, const fleet::DispatchTarget& target,
                                               net::ClientStream& stream);
  net::HttpRequest upstream_request(const RelayedRequest& request, const fleet::DispatchTarget& target,
                                    TimePoint now) const;
  bool is_not_run(const net::HttpResponse& head) const;
  bool may_send_again(RelayedRequest& request, TimePoint now);
  std::chrono::milliseconds patience(const RelayedRequest& request, TimePoint now) const;

  boost::asio::any_io_executor executor_;
  const Dialect& dialect_;
  EntryState& state_;
  SlotRequester& slots_;
  LeaseGate& lease_;
  RequestEnds ends_;
  BlockGate blocks_;
  SendingsUnderWay sendings_;
  TargetFinder targets_;
  net::HttpClient client_;
  requests::BufferBudget answer_buffers_;
};

}  // namespace larchlever::node
