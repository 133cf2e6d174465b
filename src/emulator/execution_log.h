#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::emulator {

/// One request that a stand-in truly started.
struct Execution {
  std::string request_id;
  std::string key;      ///< The caller's idempotency key, if it reached the back end.
  std::string machine;  ///< Or the service's endpoint.
  std::string zone;
  std::string tenant;
  /// What the caller put into the request to recognise it: "user" of a model request, the body of a plain one.
  std::string tag;
  int64_t started_ms = 0;  ///< Wall clock.
  int64_t produced_tokens = 0;
  bool completed = false;
};

/// What truly ran, kept by the stand-ins independently of anything that the system under test claims.
class ExecutionLog {
 public:
  size_t record_start(Execution execution) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    execution.started_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    executions_.push_back(std::move(execution));
    return executions_.size() - 1;
  }
  void record_token(size_t position) { ++executions_[position].produced_tokens; }
  void record_completion(size_t position) { executions_[position].completed = true; }
  const std::vector<Execution>& executions() const { return executions_; }

 private:
  std::vector<Execution> executions_;
};

}  // namespace larchlever::emulator
