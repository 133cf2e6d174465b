#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

#include "core/base/time.h"

namespace larchlever::requests {

class BodyReservation;

/// Limits the memory that one process uses for the bodies of all requests that it receives and serves.
///
/// Guards against many clients that send long bodies at once, or stop before their end. While the budget is exceeded,
/// bodies that are still incomplete are evicted, the ones that use most of it first. Small bodies may use a part of the
/// budget that long ones may not. Not thread-safe.
class BodyBudget {
 public:
  explicit BodyBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  BodyBudget(const BodyBudget&) = delete;
  BodyBudget& operator=(const BodyBudget&) = delete;

  size_t limit_bytes() const { return limit_bytes_; }
  size_t reserved_bytes() const { return reserved_bytes_; }

  /// Bodies up to this size may use the whole budget, longer ones only `kLongBodyShare` of it.
  static constexpr size_t kSmallBodyBytes = 64U << 10U;
  static constexpr double kLongBodyShare = 0.75;
  /// An incomplete body of which nothing has arrived for this long is evicted before those that grow.
  static constexpr Duration kStalledAfter = seconds(1);
  /// A complete body is held this many times: as received, and in the request that is forwarded.
  static constexpr size_t kCopiesInUse = 2;

 private:
  friend class BodyReservation;

  size_t limit_for(size_t body_bytes) const;
  BodyReservation* find_victim(TimePoint now) const;

  size_t limit_bytes_;
  size_t reserved_bytes_ = 0;
  uint64_t next_number_ = 0;
  std::set<BodyReservation*> incomplete_;
};

/// The part of a budget that one body uses. Released on destruction.
class BodyReservation {
 public:
  /// `on_evicted` is called once if another body needs the memory. The body must be dropped then; its part of the
  /// budget is already released.
  BodyReservation(BodyBudget& budget, TimePoint now, std::function<void()> on_evicted);
  ~BodyReservation();
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// The body, still incomplete, has grown to `body_bytes`. Returns false if it must be dropped.
  bool grow_to(TimePoint now, size_t body_bytes);
  /// The whole body was received. From now on it is not evicted. Returns false if it must be dropped.
  bool complete(TimePoint now);
  bool is_evicted() const { return is_evicted_; }

 private:
  friend class BodyBudget;

  /// Evicts other bodies until the budget is kept. Returns false if this one is to be evicted instead.
  bool make_room(TimePoint now);
  void reserve(size_t bytes);
  void release();
  void evict();

  BodyBudget& budget_;
  std::function<void()> on_evicted_;
  uint64_t number_;
  TimePoint last_progress_;
  size_t body_bytes_ = 0;
  size_t reserved_bytes_ = 0;
  bool is_evicted_ = false;
};

}  // namespace larchlever::requests
