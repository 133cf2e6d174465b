#include "core/requests/decimal.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace larchlever::requests {

namespace {

bool is_below_one(std::string_view number) {
  return number.substr(0, number.find('.')).find_first_not_of('0') == std::string_view::npos;
}

}  // namespace

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [parse_end, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool is_out_of_range = error == std::errc::result_out_of_range && parse_end == end && !text.starts_with('-');
  if (is_out_of_range) {
    return is_below_one(text) ? 0 : std::numeric_limits<double>::infinity();
  }
  if (error != std::errc() || parse_end != end || !std::isfinite(value) || std::signbit(value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace larchlever::requests
