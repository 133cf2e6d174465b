#pragma once

#include <string>
#include <string_view>

#include "core/base/time.h"

namespace larchlever::requests {

/// Result of parsing a `Retry-After` header.
enum class RetryAfterParseStatus {
  kExact,         ///< A number of seconds, which may have a fraction.
  kClampedToMax,  ///< More than `kMaxRetryAfterDelay`, which is used instead.
  kUnreadable,    ///< A date, a negative number or other text; `kDefaultRetryAfterDelay` is used instead.
};

/// The delay that a server requests in a `Retry-After` header.
struct RetryAfter {
  Duration delay{};
  RetryAfterParseStatus parse_status = RetryAfterParseStatus::kExact;
};

/// Maximum delay that is honored. A longer value, such as a day, is probably a mistake, so the server is tried again
/// after this time.
constexpr Duration kMaxRetryAfterDelay = std::chrono::hours(1);
/// Delay for a header that is not a number of seconds. Callers get this value most often in responses of this system.
constexpr Duration kDefaultRetryAfterDelay = seconds(1);

/// Parses the value of a `Retry-After` header.
RetryAfter parse_retry_after(std::string_view text);

/// Formats a `Retry-After` value in seconds, rounded up to a hundredth. `wait` must be above 0.
std::string format_retry_after(Duration wait);

}  // namespace larchlever::requests
