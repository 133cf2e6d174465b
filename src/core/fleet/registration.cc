#include "core/fleet/registration.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace larchlever::fleet {

namespace json = boost::json;

namespace {

/// Upper limit for plausible numbers of slots.
constexpr int64_t kMaxSlots = 1'000'000;
/// Longer cold periods are implausible and are clamped to one hour.
constexpr double kMaxColdMs = 3'600'000;
constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();

constexpr std::array<std::pair<std::string_view, wire::InstanceState::type>, 2> kInstanceStates{
    {{"ready", wire::InstanceState::READY}, {"draining", wire::InstanceState::DRAINING}}};

constexpr std::array<std::pair<std::string_view, wire::MembershipState::type>, 5> kMembershipStates{
    {{"joining", wire::MembershipState::JOINING},
     {"ready", wire::MembershipState::READY},
     {"open", wire::MembershipState::OPEN},
     {"closing", wire::MembershipState::CLOSING},
     {"broken", wire::MembershipState::BROKEN}}};

/// Thrown for the first invalid field; caught within this file.
struct FieldError {
  MalformedReport report;
};

[[noreturn]] void throw_field_error(const std::string& field, const std::string& expected) {
  throw FieldError{{field, "the report's field '" + field + "' is not " + expected + "; send the complete report"}};
}

/// Reads the fields of one object; errors name a field with `prefix` in front.
class FieldReader {
 public:
  FieldReader(const json::object& object, std::string prefix) : object_(object), prefix_(std::move(prefix)) {}

  const json::value* find(const char* key) const { return object_.if_contains(key); }

  std::string text(const char* key) const {
    const auto* value = find(key);
    if (value == nullptr || !value->is_string()) {
      throw_field_error(prefix_ + key, "a string");
    }
    return std::string(value->as_string());
  }
  std::string non_empty_text(const char* key) const {
    auto result = text(key);
    if (result.empty()) {
      throw_field_error(prefix_ + key, "a non-empty string");
    }
    return result;
  }
  int64_t integer(const char* key, int64_t minimum, int64_t maximum) const {
    const auto* value = find(key);
    const bool is_integer = value != nullptr && (value->is_int64() || value->is_uint64());
    boost::system::error_code overflow;
    const int64_t number = is_integer ? value->to_number<int64_t>(overflow) : 0;
    if (!is_integer || overflow || number < minimum || number > maximum) {
      throw_field_error(prefix_ + key, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return number;
  }
  double non_negative_number(const char* key) const {
    const auto* value = find(key);
    const double number = value != nullptr && value->is_number() ? value->to_number<double>() : -1;
    if (!(number >= 0)) {
      throw_field_error(prefix_ + key, "a non-negative number");
    }
    return number;
  }
  template <typename Names>
  auto enum_value(const char* key, const Names& names) const {
    const std::string value_name = text(key);
    for (const auto& [name, value] : names) {
      if (name == value_name) {
        return value;
      }
    }
    throw_field_error(prefix_ + key, "a known state");
  }
  const json::array& list(const char* key) const {
    const auto* value = find(key);
    if (value == nullptr || !value->is_array()) {
      throw_field_error(prefix_ + key, "a list");
    }
    return value->as_array();
  }

 private:
  const json::object& object_;
  std::string prefix_;
};

/// Reads an address of the form HOST:PORT. Only the port is validated; the host must not be empty.
std::string read_address(const FieldReader& reader) {
  auto address = reader.text("address");
  const size_t colon_position = address.rfind(':');
  const std::string_view port =
      colon_position == std::string::npos ? "" : std::string_view(address).substr(colon_position + 1);
  uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  const bool is_valid_port = error == std::errc() && end == port.data() + port.size() && number > 0;
  if (colon_position == 0 || !is_valid_port) {
    throw_field_error("address", "an address with a port, such as 10.0.0.9:8080");
  }
  return address;
}

/// Elements of `staged` are model names or objects with a `name`.
void read_staged_models(const FieldReader& reader, wire::Instance& instance) {
  if (reader.find("staged") == nullptr) {
    return;
  }
  for (const auto& item : reader.list("staged")) {
    if (item.is_string()) {
      instance.staged_models.emplace_back(item.as_string());
    } else if (item.is_object()) {
      instance.staged_models.push_back(FieldReader(item.as_object(), "staged.").non_empty_text("name"));
    } else {
      throw_field_error("staged", "a list of models");
    }
  }
}

void read_models(const FieldReader& reader, wire::Instance& instance) {
  if (reader.find("models") == nullptr) {
    return;
  }
  for (const auto& item : reader.list("models")) {
    if (!item.is_object()) {
      throw_field_error("models", "a list of objects");
    }
    auto name = FieldReader(item.as_object(), "models.").text("name");
    if (instance.model.empty()) {
      instance.model = std::move(name);
    }
  }
}

void read_membership(const FieldReader& reader, wire::Instance& instance) {
  const auto* group = reader.find("group");
  if (group == nullptr || group->is_null()) {
    return;
  }
  if (!group->is_object()) {
    throw_field_error("group", "an object");
  }
  if (group->as_object().empty()) {
    return;
  }
  const FieldReader fields(group->as_object(), "group.");
  instance.membership.group = fields.text("name");
  instance.membership.epoch = fields.integer("epoch", 0, kMaxInteger);
  instance.membership.rank = static_cast<int32_t>(fields.integer("rank", 0, std::numeric_limits<int32_t>::max()));
  instance.membership.state = fields.enum_value("state", kMembershipStates);
}

wire::Instance read_instance(const std::string& instance_id, const json::object& object) {
  const FieldReader reader(object, "");
  wire::Instance instance;
  instance.id = instance_id;
  instance.service_name = reader.non_empty_text("service");
  instance.address = read_address(reader);
  instance.zone = reader.text("zone");
  reader.text("version");
  instance.cold_left_ms = static_cast<int32_t>(std::min(reader.non_negative_number("cold_left_ms"), kMaxColdMs));
  instance.slots = static_cast<int32_t>(reader.integer("slots", 0, kMaxSlots));
  instance.call_number = reader.integer("call_seq", 0, kMaxInteger);
  instance.state = reader.enum_value("state", kInstanceStates);
  if (reader.find("born") != nullptr) {
    instance.born_ms = reader.integer("born", 1, kMaxInteger);
  }
  if (reader.find("domain") != nullptr) {
    instance.domain = reader.text("domain");
  }
  read_staged_models(reader, instance);
  read_models(reader, instance);
  read_membership(reader, instance);
  return instance;
}

}  // namespace

std::string error_body(const std::string& message) {
  std::string escaped;
  for (const char character : message) {
    escaped += character == '"' || character == '\\' ? '\'' : character;
  }
  return R"({"error":")" + escaped + R"("})";
}

ParsedRegistration parse_registration(const std::string& instance_id, std::string_view body) {
  boost::system::error_code parse_error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), parse_error);
  if (parse_error || !value.is_object()) {
    return MalformedReport{"body", "the report's body is not a JSON object; send the complete report"};
  }
  try {
    return read_instance(instance_id, value.as_object());
  } catch (const FieldError& error) {
    return error.report;
  }
}

int64_t parse_born_ms(std::string_view body) {
  boost::system::error_code parse_error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), parse_error);
  const auto* born_ms = parse_error || !value.is_object() ? nullptr : value.as_object().if_contains("born");
  // A deregistration is accepted whatever its body holds: an instance that leaves must get no more requests.
  return born_ms != nullptr && born_ms->is_int64() && born_ms->as_int64() > 0 ? born_ms->as_int64() : 0;
}

std::optional<MalformedReport> find_unknown_service(const wire::Instance& report,
                                                    const document::ConfigurationDocument* document) {
  if (document == nullptr || document->services.contains(report.service_name)) {
    return std::nullopt;
  }
  return MalformedReport{"service",
                         "the service in the report's field 'service' is not in the configuration; correct "
                         "one or the other"};
}

}  // namespace larchlever::fleet
