#include "core/requests/body_budget.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace larchlever::requests {

size_t BodyBudget::limit_for(size_t body_bytes) const {
  const auto limit_of_long_bodies = static_cast<size_t>(static_cast<double>(limit_bytes_) * kLongBodyShare);
  return body_bytes <= kSmallBodyBytes ? limit_bytes_ : limit_of_long_bodies;
}

BodyReservation* BodyBudget::find_victim(TimePoint now) const {
  // Of bodies of about the same size, the one that was begun first had the most time.
  const auto priority = [now](const BodyReservation* body) {
    const bool is_stalled = now - body->last_progress_ >= kStalledAfter;
    return std::tuple(is_stalled && body->body_bytes_ > 0, std::bit_width(body->body_bytes_), ~body->number_);
  };
  const auto victim =
      std::max_element(incomplete_.begin(), incomplete_.end(),
                       [&](const auto* left, const auto* right) { return priority(left) < priority(right); });
  return victim == incomplete_.end() ? nullptr : *victim;
}

BodyReservation::BodyReservation(BodyBudget& budget, TimePoint now, std::function<void()> on_evicted)
    : budget_(budget), on_evicted_(std::move(on_evicted)), number_(budget.next_number_++), last_progress_(now) {
  budget_.incomplete_.insert(this);
}

BodyReservation::~BodyReservation() { release(); }

bool BodyReservation::grow_to(TimePoint now, size_t body_bytes) {
  if (is_evicted_) {
    return false;
  }
  last_progress_ = now;
  reserve(body_bytes - body_bytes_);
  body_bytes_ = body_bytes;
  return make_room(now);
}

bool BodyReservation::complete(TimePoint now) {
  last_progress_ = now;
  reserve(body_bytes_ * (BodyBudget::kCopiesInUse - 1));
  const bool has_room = make_room(now);
  budget_.incomplete_.erase(this);
  return has_room;
}

bool BodyReservation::make_room(TimePoint now) {
  // A body that is alone is served whatever its size; other limits apply to that.
  while (!is_evicted_ && budget_.reserved_bytes_ > budget_.limit_for(body_bytes_) &&
         budget_.reserved_bytes_ > reserved_bytes_) {
    BodyReservation* victim = budget_.find_victim(now);
    if (victim == nullptr || victim == this || victim->body_bytes_ == 0) {
      evict();
    } else {
      victim->evict();
      victim->on_evicted_();
    }
  }
  return !is_evicted_;
}

void BodyReservation::reserve(size_t bytes) {
  reserved_bytes_ += bytes;
  budget_.reserved_bytes_ += bytes;
}

void BodyReservation::release() {
  budget_.reserved_bytes_ -= reserved_bytes_;
  reserved_bytes_ = 0;
  budget_.incomplete_.erase(this);
}

void BodyReservation::evict() {
  is_evicted_ = true;
  release();
}

}  // namespace larchlever::requests
