#include "core/requests/server_limit.h"

#include "core/requests/decimal.h"

namespace larchlever::requests {

ServerLimit parse_server_limit(const std::vector<std::string_view>& values) {
  const auto value = values.size() == 1 ? parse_decimal(values.front()) : std::nullopt;
  if (!value) {
    return {std::nullopt, ServerLimitParseStatus::kUnreadable};
  }
  if (*value < kMinRequestsPerSecond) {
    return {kMinRequestsPerSecond, ServerLimitParseStatus::kClampedToMin};
  }
  if (*value > kMaxRequestsPerSecond) {
    return {kMaxRequestsPerSecond, ServerLimitParseStatus::kClampedToMax};
  }
  return {*value, ServerLimitParseStatus::kExact};
}

}  // namespace larchlever::requests
