#pragma once

#include <optional>
#include <string_view>

namespace larchlever::requests {

/// Parses a non-negative decimal number without sign or exponent. Returns nothing for any other text, infinity for a
/// number too large for a double, and 0 for one too small.
std::optional<double> parse_decimal(std::string_view text);

}  // namespace larchlever::requests
