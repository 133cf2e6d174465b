#pragma once

#include <cstddef>
#include <unordered_set>
#include <utility>

#include "core/base/time.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::requests {

/// Remembers which requests servers answered of late, for between `kGeneration` and twice that, in two generations of
/// at most `kMostInGeneration` each: constant cost a request, a few hundred kilobytes in all.
/// Single-threaded, deterministic.
class RecentlyAnswered {
 public:
  static constexpr Duration kGeneration = seconds(30);
  static constexpr size_t kMostInGeneration = 4096;

  void note(TimePoint now, RequestFingerprint request) {
    advance(now);
    if (newer_.size() >= kMostInGeneration) {
      turn(now);
    }
    newer_.insert(request);
  }
  bool contains(TimePoint now, RequestFingerprint request) {
    advance(now);
    return newer_.contains(request) || older_.contains(request);
  }

 private:
  void advance(TimePoint now) {
    if (now - turned_at_ >= 2 * kGeneration) {
      newer_.clear();
    }
    if (now - turned_at_ >= kGeneration) {
      turn(now);
    }
  }
  void turn(TimePoint now) {
    turned_at_ = now;
    older_ = std::move(newer_);
    newer_.clear();
  }

  TimePoint turned_at_{};
  std::unordered_set<RequestFingerprint> newer_;
  std::unordered_set<RequestFingerprint> older_;
};

}  // namespace larchlever::requests
