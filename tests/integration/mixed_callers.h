#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fleet_node_processes.h"

namespace larchlever::integration {

/// Kinds of requests that `MixedCallers` sends in turn. Unsafe streams may not be resumed.
enum class RequestKind { kRepeatable, kUnsafe, kKeyed, kStream, kUnsafeStream };
std::string to_string(RequestKind kind);

/// One request without retries, and what its caller got.
struct CallResult {
  std::string entry;
  RequestKind kind = RequestKind::kRepeatable;
  std::string request_id;
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::duration latency{};
  /// 0 if there was no response.
  int status = 0;
  double retry_after_seconds = 0;
  /// A successful, complete response with the expected body.
  bool is_served = false;
  std::string description;
};

/// Callers that send requests of all kinds to every entry at a constant rate, whether or not earlier requests were
/// answered.
class MixedCallers {
 public:
  struct Options {
    std::chrono::milliseconds interval{66};  ///< Between two requests to the same entry.
    std::chrono::milliseconds deadline{2000};
    std::vector<RequestKind> kinds = {RequestKind::kRepeatable, RequestKind::kUnsafe, RequestKind::kKeyed,
                                      RequestKind::kStream};
  };

  MixedCallers(const FleetNodeProcesses& fleet, const Options& options);
  ~MixedCallers();
  MixedCallers(const MixedCallers&) = delete;
  MixedCallers& operator=(const MixedCallers&) = delete;

  /// Stops sending, waits for the last responses and returns the results of all requests.
  std::vector<CallResult> stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace larchlever::integration
