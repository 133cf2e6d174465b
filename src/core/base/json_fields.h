#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

/// Helpers to read untrusted JSON without exceptions: a field that is missing, has the wrong type or is out of range
/// yields the fallback.
namespace larchlever {

/// Parses `body` as a JSON object. Returns an empty object if it is not valid JSON or not an object.
inline boost::json::object parse_json_object(std::string_view body) {
  boost::system::error_code error;
  auto value = boost::json::parse(boost::json::string_view(body.data(), body.size()), error);
  return !error && value.is_object() ? std::move(value.as_object()) : boost::json::object();
}

inline std::string string_field(const boost::json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

inline int64_t integer_field(const boost::json::object& object, const char* key, int64_t fallback = 0) {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return fallback;
  }
  boost::system::error_code conversion_error;
  const auto number = value->to_number<int64_t>(conversion_error);
  return conversion_error ? fallback : number;
}

}  // namespace larchlever
