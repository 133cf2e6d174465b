#include "core/requests/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace larchlever::requests {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

RetryAfter parse_retry_after(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool is_too_large = error == std::errc::result_out_of_range && rest == end;
  if (is_too_large) {
    return {kLongestRest, RetryAfterReading::kCut};
  }
  if (error != std::errc() || rest != end || !std::isfinite(value) || std::signbit(value)) {
    return {kUnreadableRest, RetryAfterReading::kUnreadable};
  }
  constexpr double kLongest = std::chrono::duration<double>(kLongestRest).count();
  if (value > kLongest) {
    return {kLongestRest, RetryAfterReading::kCut};
  }
  return {Duration(static_cast<int64_t>(std::ceil(value * kMicrosecondsPerSecond))), RetryAfterReading::kExact};
}

}  // namespace larchlever::requests
