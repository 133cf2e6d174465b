#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "node/entry_state.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// Ends requests that no server answered, and accounts for every end: counters, and one line in the log.
///
/// Guarantees: 503 and 429 are answered only to requests that did not run; a stream that cannot be continued is cut, so
/// that it does not look whole. One executor; not thread-safe.
class RequestCompletion {
 public:
  explicit RequestCompletion(EntryState& state) : state_(state) {}

  /// The line for a request that ended with `status`; 0 when its answer was cut.
  void log_completion(const RelayedRequest& request, int status, const std::string& reason) const;
  /// Answers a request that did not run.
  boost::asio::awaitable<void> send_refusal(RelayedRequest& request, Refusal refusal);
  /// Ends a request for which nothing more is tried, by what is known of it.
  boost::asio::awaitable<void> send_failure(RelayedRequest& request);

 private:
  EntryState& state_;
};

}  // namespace larchlever::node
