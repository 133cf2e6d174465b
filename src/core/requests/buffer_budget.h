#pragma once

#include <cstddef>

namespace larchlever::requests {

/// Limits the memory that one process uses to buffer responses for all its callers.
///
/// Guards against hundreds of callers that request large responses and read them slowly or not at all, until the
/// buffers exhaust the memory. There is no limit per caller: one large response may use what many small ones leave. Not
/// thread-safe.
class BufferBudget {
 public:
  explicit BufferBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  size_t limit_bytes() const { return limit_bytes_; }
  size_t reserved_bytes() const { return reserved_bytes_; }

 private:
  friend class BufferReservation;

  size_t limit_bytes_;
  size_t reserved_bytes_ = 0;
};

/// The part of a budget that one response uses. Released on destruction.
class BufferReservation {
 public:
  explicit BufferReservation(BufferBudget& budget) : budget_(budget) {}
  ~BufferReservation() { release(); }
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;

  /// Reserves `bytes` more, even beyond the limit, because they have already been received. Returns false if the limit
  /// is exceeded; the response must not grow any further then.
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
