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

/// A request that reached a server. Its id begins with the two letters of the entry that took it.
struct Arrival {
  std::string request_id;
  std::chrono::steady_clock::time_point at;
  /// It did not run: the server asked the entry for rest.
  bool was_rejected = false;
  /// The answer names a limit.
  bool announces_limit = false;

  std::string entry() const { return request_id.substr(0, 2); }
};

/// What reached one server, recorded on its thread and read on the test's.
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

/// The most requests that reached a server from one entry within a rest that it had asked of that entry, not counting
/// those that came while its answer was on the way.
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

/// The most requests that reached a server in any 4 s, from entries that had passed on an answer with its limit half a
/// second before or earlier.
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

/// What a server that names a limit may get in 4 s.
inline int64_t max_requests_in_window(double per_second) { return static_cast<int64_t>(1.5 * per_second * 4 + 5); }

}  // namespace larchlever::integration
