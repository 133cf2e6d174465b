#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace larchlever::requests {

/// Result of parsing the header in which a server declares its rate limit.
enum class ServerLimitParseStatus {
  kExact,         ///< Used as given.
  kClampedToMin,  ///< Less than `kMinRequestsPerSecond`, which is used instead.
  kClampedToMax,  ///< More than `kMaxRequestsPerSecond`, which is used instead.
  kUnreadable,    ///< Not a decimal number, a negative number, or more than one header.
};

/// Rate limit of a server for the requests of all entries together.
struct ServerLimit {
  /// Not set if the header is unreadable; the limit known before then stays in effect.
  std::optional<double> per_second;
  ServerLimitParseStatus parse_status = ServerLimitParseStatus::kExact;
};

/// Even a server with a lower limit gets one request in ten seconds, because only a response can show that its limit
/// has ended.
constexpr double kMinRequestsPerSecond = 0.1;
/// Upper bound, above the throughput of any server.
constexpr double kMaxRequestsPerSecond = 1e6;

/// Parses all values of the header in one response. `values` must not be empty.
ServerLimit parse_server_limit(const std::vector<std::string_view>& values);

}  // namespace larchlever::requests
