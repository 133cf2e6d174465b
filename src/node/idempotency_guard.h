#pragma once

#include <cstdint>
#include <string>

#include "node/node_runtime.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// Keeps keyed requests to at most one run: asks a quorum for the key before anything leaves, answers the caller when
/// the key is taken, and records what became of a request that held it. One executor.
class IdempotencyGuard {
 public:
  IdempotencyGuard(NodeRuntime& runtime, RequestStats& stats) : runtime_(runtime), stats_(stats) {}

  struct KeyClaim {
    std::string tenant;
    std::string key;
    int64_t body_digest = 0;
    int64_t issued_at_ms = 0;
    int64_t nonce = 0;  ///< Set by `take`.
  };

  /// True when this request may run. Otherwise the caller has been answered.
  boost::asio::awaitable<bool> acquire_key(net::HttpExchange& exchange, KeyClaim& key_claim);
  /// Records the outcome of a request that held the key; an answer with a content type is kept for resends.
  void record_outcome(const KeyClaim& key_claim, requests::Outcome outcome, int status, std::string body,
                      std::string content_type);

 private:
  boost::asio::awaitable<void> respond_not_granted(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                                   int64_t digest);

  NodeRuntime& runtime_;
  RequestStats& stats_;
};

}  // namespace larchlever::node
