#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet_node_processes.h"

namespace larchlever::integration {

/// Callers that send streaming requests through randomly chosen entries until `stop`, and check each response.
class StreamCallers {
 public:
  /// Numbers of requests sent and served up to a point in time.
  struct RequestCounts {
    std::chrono::steady_clock::time_point at;
    uint64_t sent_count = 0;
    uint64_t served_count = 0;
  };

  /// Every complete response has `events` events.
  StreamCallers(const FleetNodeProcesses& fleet, int events, uint64_t seed);
  ~StreamCallers() { stop(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  void stop();
  uint64_t served_count() const { return served_count_; }
  uint64_t sent_count() const { return sent_count_; }
  /// One line for each complete response whose events were wrong.
  std::vector<std::string> wrong_responses();
  /// Numbers of requests sent and served so far.
  RequestCounts request_counts() const { return {std::chrono::steady_clock::now(), sent_count_, served_count_}; }
  /// Expects that nearly all requests sent since `baseline` were served.
  void expect_served_since(const RequestCounts& baseline);

 private:
  struct UnservedRequest {
    std::chrono::steady_clock::time_point at;
    std::string description;
  };

  void call_until_stopped(uint64_t seed, int number);
  /// One line for each request since `begin` that was not served, with its result.
  std::string unserved_since(std::chrono::steady_clock::time_point begin);
  void record_wrong_response(std::string description);
  void record_unserved_request(std::string description);

  const FleetNodeProcesses& fleet_;
  const std::vector<std::string> entries_;
  const int events_;
  std::atomic<bool> stopped_ = false;
  std::atomic<uint64_t> served_count_ = 0;
  std::atomic<uint64_t> sent_count_ = 0;
  std::mutex mutex_;
  std::vector<std::string> wrong_responses_;
  std::vector<UnservedRequest> unserved_;
  std::vector<std::thread> threads_;
};

}  // namespace larchlever::integration
