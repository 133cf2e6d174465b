#include "core/engine/group_work.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace larchlever::engine {

namespace {

/// An overdue request is expected to take this share of its time so far in addition: the longer an answer exceeds its
/// forecast, the less the forecast says about its end.
constexpr int kOverdueDivisor = 4;

}  // namespace

void GroupWork::add(TimePoint now, const ExpectedRun& run) {
  requests_.push_back({now, now + run.first_event + run.answer});
}

Duration GroupWork::remaining_time(TimePoint now, const Request& request) {
  const Duration overdue = std::max(Duration::zero(), now - request.granted_at) / kOverdueDivisor;
  return request.expected_end > now ? request.expected_end - now : overdue;
}

void GroupWork::reconcile(TimePoint now, int in_flight, int slots, Duration average_run) {
  const auto expected = static_cast<size_t>(std::clamp(in_flight, 0, std::max(0, slots)));
  if (requests_.size() > expected) {
    std::sort(requests_.begin(), requests_.end(),
              [](const auto& left, const auto& right) { return left.expected_end < right.expected_end; });
    const auto ended = requests_.size() - expected;
    requests_.erase(requests_.begin(), requests_.begin() + static_cast<std::ptrdiff_t>(ended));
    return;
  }
  // Unknown requests began at different times; on average, half of each has passed.
  const auto unknown = static_cast<int64_t>(expected - requests_.size());
  for (int64_t index = 1; index <= unknown; ++index) {
    const Duration left = average_run * index / (unknown + 1);
    requests_.push_back({now - (average_run - left), now + left});
  }
}

Duration GroupWork::remaining(TimePoint now) const {
  Duration sum{};
  for (const auto& request : requests_) {
    sum += remaining_time(now, request);
  }
  return sum;
}

double GroupWork::mean_running(TimePoint now, Duration period) const {
  if (period <= Duration::zero()) {
    return static_cast<double>(requests_.size());
  }
  Duration sum{};
  for (const auto& request : requests_) {
    sum += std::min(period, remaining_time(now, request));
  }
  return static_cast<double>(sum.count()) / static_cast<double>(period.count());
}

std::vector<TimePoint> GroupWork::next_releases(TimePoint now, size_t count) const {
  std::vector<TimePoint> ends;
  for (const auto& request : requests_) {
    ends.push_back(now + remaining_time(now, request));
  }
  std::sort(ends.begin(), ends.end());
  ends.resize(std::min(ends.size(), count));
  return ends;
}

}  // namespace larchlever::engine
