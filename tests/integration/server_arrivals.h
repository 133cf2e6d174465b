#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace larchlever::integration {

/// A request that reached a server. Its id begins with the two-letter name of the entry that received it.
struct Arrival {
  std::string request_id;
  std::chrono::steady_clock::time_point at;
  /// The server rejected it without running it, with a Retry-After header.
  bool was_rejected = false;
  /// The response announced a rate limit.
  bool announces_limit = false;

  std::string entry() const { return request_id.substr(0, 2); }
};

/// Records the requests that reached one server, on its thread, for reading on the thread of the test.
class ArrivalRecord {
 public:
  void add(const std::string& request_id, bool was_rejected, bool announces_limit = false) {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({request_id, std::chrono::steady_clock::now(), was_rejected, announces_limit});
  }
  std::vector<Arrival> all() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

/// Largest number of requests that one entry sent to a server during a backoff of length `backoff` that the server had
/// requested from this entry. Requests that arrive while the rejection is still in transit do not count.
inline int64_t max_requests_during_backoff(const std::vector<Arrival>& arrivals, std::chrono::milliseconds backoff) {
  constexpr auto kResponseTransitTime = std::chrono::milliseconds(500);
  int64_t max_requests = 0;
  for (const auto& rejection : arrivals) {
    if (!rejection.was_rejected) {
      continue;
    }
    max_requests = std::max<int64_t>(
        max_requests, std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
          return arrival.entry() == rejection.entry() && arrival.at > rejection.at + kResponseTransitTime &&
                 arrival.at < rejection.at + backoff;
        }));
  }
  return max_requests;
}

/// Largest number of requests that reached a server in any 4 s. Counts only requests from entries that relayed a
/// response with the rate limit at least half a second earlier.
inline int64_t max_requests_after_announcement(const std::vector<Arrival>& arrivals) {
  constexpr auto kWindow = std::chrono::seconds(4);
  constexpr auto kResponseTransitTime = std::chrono::milliseconds(500);
  std::map<std::string, std::chrono::steady_clock::time_point> first_announced_at;
  std::deque<std::chrono::steady_clock::time_point> window;
  size_t max_requests = 0;
  for (const auto& arrival : arrivals) {
    if (!arrival.announces_limit) {
      continue;
    }
    const auto [first_announcement, is_first] = first_announced_at.try_emplace(arrival.entry(), arrival.at);
    if (is_first || arrival.at < first_announcement->second + kResponseTransitTime) {
      continue;
    }
    window.push_back(arrival.at);
    while (arrival.at - window.front() >= kWindow) {
      window.pop_front();
    }
    max_requests = std::max(max_requests, window.size());
  }
  return static_cast<int64_t>(max_requests);
}

/// Number of requests that a server with this rate limit may get in 4 s.
inline int64_t max_requests_in_window(double per_second) { return static_cast<int64_t>(1.5 * per_second * 4 + 5); }

}  // namespace larchlever::integration
