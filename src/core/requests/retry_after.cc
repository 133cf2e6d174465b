#include "core/requests/retry_after.h"

#include <algorithm>
#include <cmath>

#include "core/requests/decimal.h"

namespace larchlever::requests {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int64_t kHundredthsPerSecond = 100;
using Hundredths = std::chrono::duration<int64_t, std::centi>;

}  // namespace

RetryAfter parse_retry_after(std::string_view text) {
  const auto value = parse_decimal(text);
  if (!value) {
    return {kDefaultRetryAfterDelay, RetryAfterParseStatus::kUnreadable};
  }
  constexpr double kMaxSeconds = std::chrono::duration<double>(kMaxRetryAfterDelay).count();
  if (*value > kMaxSeconds) {
    return {kMaxRetryAfterDelay, RetryAfterParseStatus::kClampedToMax};
  }
  return {Duration(static_cast<int64_t>(std::ceil(*value * kMicrosecondsPerSecond))), RetryAfterParseStatus::kExact};
}

std::string format_retry_after(Duration wait) {
  const auto hundredths = std::max<int64_t>(1, std::chrono::ceil<Hundredths>(wait).count());
  std::string text = std::to_string(hundredths / kHundredthsPerSecond);
  const int64_t fraction = hundredths % kHundredthsPerSecond;
  if (fraction == 0) {
    return text;
  }
  text += fraction < 10 ? ".0" : ".";
  text += std::to_string(fraction);
  if (text.back() == '0') {
    text.pop_back();
  }
  return text;
}

}  // namespace larchlever::requests
