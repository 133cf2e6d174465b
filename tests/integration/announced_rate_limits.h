#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "server_arrivals.h"

namespace larchlever::integration {

/// A rate limit that a server announced, and the time of the first response that did so; 0 for no limit.
struct RateLimitPhase {
  std::chrono::steady_clock::time_point since;
  double per_second = 0;
};

/// The rate limit that a simulated server announces in its responses, and the history of such limits. Thread-safe.
class AnnouncedRateLimits {
 public:
  /// Sets the limit that is announced from now on; empty for none.
  void set(const std::string& per_second) {
    const std::lock_guard lock(mutex_);
    current_ = per_second;
    is_announced_ = false;
    if (per_second.empty()) {
      phases_.push_back({std::chrono::steady_clock::now(), 0});
    }
  }
  /// Value of the limit header of a response that is sent now; empty for none.
  std::string for_next_response() {
    const std::lock_guard lock(mutex_);
    const double per_second = std::strtod(current_.c_str(), nullptr);
    const bool is_readable = std::isfinite(per_second) && per_second > 0;
    if (!is_announced_ && is_readable) {
      phases_.push_back({std::chrono::steady_clock::now(), per_second});
    }
    is_announced_ = true;
    return current_;
  }
  std::vector<RateLimitPhase> phases() const {
    const std::lock_guard lock(mutex_);
    return phases_;
  }

 private:
  mutable std::mutex mutex_;
  std::string current_;
  /// A response has announced the current limit.
  bool is_announced_ = false;
  std::vector<RateLimitPhase> phases_;
};

/// Highest rate limit in force between `from` and `to`; nothing if there was no limit during a part of this time.
inline std::optional<double> highest_rate_limit(const std::vector<RateLimitPhase>& phases,
                                                std::chrono::steady_clock::time_point from,
                                                std::chrono::steady_clock::time_point to) {
  if (phases.empty() || from < phases.front().since) {
    return std::nullopt;
  }
  double highest = 0;
  for (size_t index = 0; index < phases.size(); ++index) {
    const bool ends_before = index + 1 < phases.size() && phases[index + 1].since <= from;
    if (ends_before || phases[index].since > to) {
      continue;
    }
    if (phases[index].per_second <= 0) {
      return std::nullopt;
    }
    highest = std::max(highest, phases[index].per_second);
  }
  return highest;
}

/// Expects that in any window of 4 s the server got no more requests than allowed by the highest limit in force during
/// the window and `kLimitValidityTime` before it.
inline void expect_rate_limits_respected(const std::vector<Arrival>& arrivals,
                                         const std::vector<RateLimitPhase>& phases) {
  constexpr auto kWindow = std::chrono::seconds(4);
  /// A server may rely on its limit for this long after a response announced it.
  constexpr auto kLimitValidityTime = std::chrono::seconds(3);
  for (size_t last_index = 0; last_index < arrivals.size(); ++last_index) {
    const auto to = arrivals[last_index].at;
    const auto from = to - kWindow;
    const auto limit = highest_rate_limit(phases, from - kLimitValidityTime, to);
    if (!limit) {
      continue;
    }
    std::vector<std::string> in_window;
    for (size_t index = 0; index <= last_index; ++index) {
      if (arrivals[index].at > from) {
        in_window.push_back(arrivals[index].request_id);
      }
    }
    ASSERT_LE(std::ssize(in_window), max_requests_in_window(*limit))
        << "with a rate limit of " << *limit << "; " << testing::PrintToString(in_window);
  }
}

}  // namespace larchlever::integration
