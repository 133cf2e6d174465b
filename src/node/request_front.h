#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/requests/retry_state.h"
#include "net/http_server.h"
#include "node/model_call.h"
#include "node/node_runtime.h"

namespace larchlever::node {

struct FrontStats {
  uint64_t model_requests = 0;
  uint64_t service_requests = 0;
  uint64_t ran = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t cut_streams = 0;
  uint64_t foreign_or_disordered = 0;
  uint64_t claims_granted = 0;
  uint64_t claims_refused = 0;
  uint64_t answers_replayed = 0;
  uint64_t callers_gone = 0;
  uint64_t events_relayed_bytes = 0;
};

/// The callers' side of a node: model requests (OpenAI-shaped) and plain services by path.
///
/// Guarantees: every answer carries its outcome; "not-run" only when no byte reached a back end or the back end said it
/// did not start; a request that is unsafe to repeat leaves this node at most once, and with a key at most once in the
/// whole fleet; an answer that is not whole is never ended as if it were. One executor; requests interleave.
class RequestFront : public net::HttpHandler {
 public:
  explicit RequestFront(NodeRuntime& runtime);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// A stopping node reports itself as not ready, and goes on serving.
  void set_ready(bool ready) { ready_ = ready; }
  bool ready() const;
  const FrontStats& stats() const { return stats_; }
  size_t active() const { return active_; }

 private:
  struct Call;
  struct Attempt {
    requests::AttemptResult result = requests::AttemptResult::kNotSent;
    bool answered = false;
    std::string reason;
  };

  boost::asio::awaitable<void> handle_model(net::HttpExchange& exchange);
  boost::asio::awaitable<void> serve_model(Call& call);
  boost::asio::awaitable<void> run_attempts(Call& call);
  boost::asio::awaitable<Attempt> attempt(Call& call, const wire::Group& group);
  boost::asio::awaitable<Attempt> relay(Call& call, net::ClientStream& stream);
  boost::asio::awaitable<void> finish_stream(Call& call);
  boost::asio::awaitable<void> give_up(Call& call, const Attempt& last);
  boost::asio::awaitable<bool> take_claim(net::HttpExchange& exchange, const std::string& tenant,
                                          const std::string& key, int64_t digest, int64_t issued_at_ms, int64_t& nonce);
  boost::asio::awaitable<void> answer_standing(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                               int64_t digest);
  void resolve_claim(const std::string& tenant, const std::string& key, int64_t nonce, requests::Outcome outcome,
                     int status, std::string body, std::string content_type);
  boost::asio::awaitable<void> handle_service(net::HttpExchange& exchange);
  boost::asio::awaitable<void> list_models(net::HttpExchange& exchange);
  boost::asio::awaitable<void> send_problem(net::HttpExchange& exchange, const Problem& problem,
                                            requests::Outcome outcome);
  void count(requests::Outcome outcome);

  NodeRuntime& runtime_;
  requests::RetryBudget retry_budget_;
  bool ready_ = true;
  size_t active_ = 0;
  uint64_t next_request_ = 1;
  FrontStats stats_;
};

}  // namespace larchlever::node
