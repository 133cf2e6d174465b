#pragma once

#include <cstddef>
#include <unordered_set>
#include <utility>

#include "core/base/time.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::requests {

/// The requests, or parts of prompts, that servers answered recently. An entry is kept for one to two lifetimes, or
/// less under high load: two generations hold at most `kMaxRequestsPerGeneration` requests each. Constant time per
/// request and a few hundred kilobytes of memory. Single-threaded, deterministic.
class RecentlyAnsweredRequests {
 public:
  static constexpr Duration kDefaultLifetime = seconds(30);
  static constexpr size_t kMaxRequestsPerGeneration = 4096;

  explicit RecentlyAnsweredRequests(Duration lifetime = kDefaultLifetime) : lifetime_(lifetime) {}

  void add(TimePoint now, RequestFingerprint request) {
    drop_expired(now);
    if (current_generation_.size() >= kMaxRequestsPerGeneration) {
      rotate(now);
    }
    current_generation_.insert(request);
  }
  bool contains(TimePoint now, RequestFingerprint request) {
    drop_expired(now);
    return current_generation_.contains(request) || previous_generation_.contains(request);
  }

 private:
  void drop_expired(TimePoint now) {
    if (now - rotated_at_ >= 2 * lifetime_) {
      current_generation_.clear();
    }
    if (now - rotated_at_ >= lifetime_) {
      rotate(now);
    }
  }
  void rotate(TimePoint now) {
    rotated_at_ = now;
    previous_generation_ = std::move(current_generation_);
    current_generation_.clear();
  }

  Duration lifetime_;
  TimePoint rotated_at_{};
  std::unordered_set<RequestFingerprint> current_generation_;
  std::unordered_set<RequestFingerprint> previous_generation_;
};

}  // namespace larchlever::requests
