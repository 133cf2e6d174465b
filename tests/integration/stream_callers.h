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

/// Callers that ask for streams through entries drawn by seed until they are told to stop, and check each answer.
class StreamCallers {
 public:
  /// Counts at a moment.
  struct RequestCounts {
    std::chrono::steady_clock::time_point at;
    uint64_t sent_count = 0;
    uint64_t served_count = 0;
  };

  /// Every whole answer has `events` events.
  StreamCallers(const FleetNodeProcesses& fleet, int events, uint64_t seed);
  ~StreamCallers() { stop(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  void stop();
  uint64_t served_count() const { return served_count_; }
  uint64_t sent_count() const { return sent_count_; }
  /// Whole answers whose events were not those of the model, one line each.
  std::vector<std::string> wrong_responses();
  /// What was sent and served up to now.
  RequestCounts request_counts() const { return {std::chrono::steady_clock::now(), sent_count_, served_count_}; }
  /// Nearly all that was sent since `mark` is to have been served.
  void expect_served_since(const RequestCounts& baseline);

 private:
  struct UnservedRequest {
    std::chrono::steady_clock::time_point at;
    std::string description;
  };

  void call_until_stopped(uint64_t seed, int number);
  std::string expected_body() const;
  /// What callers were told instead of an answer since `begin`, one line each.
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
