#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace larchlever::integration {

/// A request that reached a server. Its id begins with the two letters of the entry that took it.
struct Arrival {
  std::string request_id;
  std::chrono::steady_clock::time_point at;
  /// It did not run: the server asked the entry for rest.
  bool was_turned_away = false;

  std::string entry() const { return request_id.substr(0, 2); }
};

/// What reached one server, recorded on its thread and read on the test's.
class ArrivalRecord {
 public:
  void add(const std::string& request_id, bool was_turned_away) {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({request_id, std::chrono::steady_clock::now(), was_turned_away});
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
inline int64_t most_within_rest(const std::vector<Arrival>& arrivals, std::chrono::milliseconds rest) {
  constexpr auto kUnderWay = std::chrono::milliseconds(500);
  int64_t most = 0;
  for (const auto& asked : arrivals) {
    if (!asked.was_turned_away) {
      continue;
    }
    most = std::max<int64_t>(most, std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
                               return arrival.entry() == asked.entry() && arrival.at > asked.at + kUnderWay &&
                                      arrival.at < asked.at + rest;
                             }));
  }
  return most;
}

}  // namespace larchlever::integration
