#pragma once

#include <cstddef>

namespace larchlever::requests {

/// Bytes that one process may hold for all its callers together.
///
/// Load pattern: hundreds of callers ask for large answers and read slowly or not at all, until what is held for them
/// takes all memory. Nobody's share is fixed: one large answer may take what many small ones leave. Not thread-safe.
class BufferBudget {
 public:
  explicit BufferBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  size_t reserved_bytes() const { return reserved_bytes_; }

 private:
  friend class BufferReservation;

  size_t limit_bytes_;
  size_t reserved_bytes_ = 0;
};

/// What one answer holds of a budget; given back when it ends.
class BufferReservation {
 public:
  explicit BufferReservation(BufferBudget& budget) : budget_(budget) {}
  ~BufferReservation() { release(); }
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;

  /// Takes `bytes` more, also beyond the limit: they have arrived already. False when the limit is reached, and the
  /// answer must not grow any more.
  bool grow(size_t bytes) {
    reserved_bytes_ += bytes;
    budget_.reserved_bytes_ += bytes;
    return budget_.reserved_bytes_ <= budget_.limit_bytes_;
  }
  void release() {
    budget_.reserved_bytes_ -= reserved_bytes_;
    reserved_bytes_ = 0;
  }

 private:
  BufferBudget& budget_;
  size_t reserved_bytes_ = 0;
};

}  // namespace larchlever::requests
