#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace larchlever::requests {

/// How the header was read in which a server names how many requests a second it takes.
enum class ServerLimitParseStatus {
  kExact,
  kClampedToMin,  ///< Less than `kMinRequestsPerSecond`, which is taken in its place.
  kClampedToMax,  ///< More than `kMaxRequestsPerSecond`, which is taken in its place.
  kUnreadable,    ///< No decimal number, a negative one, or more than one header.
};

/// Requests a second that a server takes from all entries together.
struct ServerLimit {
  /// Nothing where the header cannot be read: it then says nothing about the limit that holds.
  std::optional<double> per_second;
  ServerLimitParseStatus parse_status = ServerLimitParseStatus::kExact;
};

/// A server that takes fewer gets one request in ten seconds all the same: only an answer shows the end of its limit.
constexpr double kMinRequestsPerSecond = 0.1;
/// More than any server serves.
constexpr double kMaxRequestsPerSecond = 1e6;

/// Reads all values of the header in one answer; there is at least one.
ServerLimit parse_server_limit(const std::vector<std::string_view>& values);

}  // namespace larchlever::requests
