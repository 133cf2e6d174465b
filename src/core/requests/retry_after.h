#pragma once

#include <string>
#include <string_view>

#include "core/base/time.h"

namespace larchlever::requests {

/// How a `Retry-After` header was read.
enum class RetryAfterParseStatus {
  kExact,         ///< Seconds, fractions too.
  kClampedToMax,  ///< More than `kMaxRetryAfterDelay`, which is taken in its place.
  kUnreadable,    ///< A date, words or a negative number: `kDefaultRetryAfterDelay` is taken in its place.
};

/// What a server asks for in a `Retry-After` header.
struct RetryAfter {
  Duration delay{};
  RetryAfterParseStatus parse_status = RetryAfterParseStatus::kExact;
};

/// No rest is kept for longer: who asks for a day means something else, and is asked once more after this.
constexpr Duration kMaxRetryAfterDelay = std::chrono::hours(1);
/// A server that asks for rest, but not in seconds, gets the rest that callers are told to keep most often.
constexpr Duration kDefaultRetryAfterDelay = seconds(1);

/// Reads the value of a `Retry-After` header.
RetryAfter parse_retry_after(std::string_view text);

/// The value that tells a caller to come back after `wait`, which is above 0: in seconds, to a hundredth, never sooner.
std::string format_retry_after(Duration wait);

}  // namespace larchlever::requests
