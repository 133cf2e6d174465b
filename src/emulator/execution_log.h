#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::emulator {

/// One request that an emulated back end started.
struct Execution {
  std::string request_id;
  std::string key;      ///< Idempotency key, if the back end received one.
  std::string machine;  ///< Machine id, or the name of a plain service.
  std::string zone;
  std::string tenant;
  /// Identifies the request to the caller: the "user" field of a model request; for a plain request its body, or the
  /// last path segment if the body is empty.
  std::string tag;
  int64_t started_ms = 0;  ///< Wall clock.
  int64_t produced_tokens = 0;
  bool completed = false;
};

/// Log of the requests that the emulated back ends started, independent of what the system under test reports.
class ExecutionLog {
 public:
  /// Adds an execution and returns its position in the log.
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
