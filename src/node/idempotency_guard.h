#pragma once

#include <cstdint>
#include <string>

#include "node/node_runtime.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// Runs each request with an idempotency key at most once. Claims the key at a quorum before the request is sent,
/// responds to the caller if the key is already taken, and records the outcome of a request that holds its key. Runs on
/// one executor.
class IdempotencyGuard {
 public:
  IdempotencyGuard(NodeRuntime& runtime, RequestStats& stats) : runtime_(runtime), stats_(stats) {}

  /// A request's claim to its idempotency key.
  struct KeyClaim {
    std::string tenant;
    std::string key;
    int64_t body_digest = 0;
    int64_t issued_at_ms = 0;
    int64_t nonce = 0;  ///< Set by `acquire_key`.
  };

  /// Returns true if this request may run. Otherwise the caller has already got its response.
  boost::asio::awaitable<bool> acquire_key(net::HttpExchange& exchange, KeyClaim& key_claim);
  /// Records the outcome of a request that holds its key. A response with a content type is stored and replayed when
  /// the caller retries.
  void record_outcome(const KeyClaim& key_claim, requests::Outcome outcome, int status, std::string body,
                      std::string content_type);

 private:
  boost::asio::awaitable<void> respond_not_granted(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                                   int64_t digest);

  NodeRuntime& runtime_;
  RequestStats& stats_;
};

}  // namespace larchlever::node
