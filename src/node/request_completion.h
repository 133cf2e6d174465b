#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "node/entry_state.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// Responds to requests that no server answered, and records the end of every request in counters and one log line.
///
/// Guarantees: 503 and 429 are sent only if the request did not run; a stream that cannot be resumed is cut, so that it
/// does not look complete. Runs on one executor; not thread-safe.
class RequestCompletion {
 public:
  explicit RequestCompletion(EntryState& state) : state_(state) {}

  /// Logs the end of a request; `status` is 0 if its response was cut.
  void log_completion(const RelayedRequest& request, int status, const std::string& reason,
                      Duration retry_after = Duration::zero()) const;
  /// Responds to a request that did not run.
  boost::asio::awaitable<void> send_refusal(RelayedRequest& request, Refusal refusal);
  /// Responds to a request that will not be retried, according to whether it may have run.
  boost::asio::awaitable<void> send_failure(RelayedRequest& request);

 private:
  EntryState& state_;
};

}  // namespace larchlever::node
