#include "core/base/work_meter.h"

#include <algorithm>
#include <utility>

namespace larchlever {

void WorkMeter::add(std::string_view name, Duration time, int64_t rows) {
  auto found = totals_.find(name);
  if (found == totals_.end()) {
    found = totals_.emplace(name, WorkTotal{std::string(name)}).first;
  }
  WorkTotal& total = found->second;
  total.time += time;
  total.longest = std::max(total.longest, time);
  ++total.pieces;
  total.rows += rows;
  busy_ += time;
}

std::vector<WorkTotal> WorkMeter::take_totals() {
  std::vector<WorkTotal> result;
  for (auto& [name, total] : std::exchange(totals_, {})) {
    result.push_back(std::move(total));
  }
  std::stable_sort(result.begin(), result.end(),
                   [](const auto& left, const auto& right) { return left.time > right.time; });
  busy_ = Duration::zero();
  return result;
}

std::string format_work(const std::vector<WorkTotal>& totals, size_t max_kinds) {
  std::string result;
  for (size_t index = 0; index < std::min(max_kinds, totals.size()); ++index) {
    const WorkTotal& total = totals[index];
    result += (result.empty() ? "" : ",") + total.name + ":" + std::to_string(total.time / milliseconds(1)) + "ms/" +
              std::to_string(total.pieces) + "x/" + std::to_string(total.rows) + "rows/" +
              std::to_string(total.longest / milliseconds(1)) + "ms";
  }
  return result;
}

}  // namespace larchlever
