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

/// Larger numbers of slots than this are no number of slots.
constexpr int64_t kMostSlots = 1'000'000;
/// Whoever says that it stays cold for longer than an hour means something else.
constexpr double kLongestColdMs = 3'600'000;
constexpr int64_t kMostNumber = std::numeric_limits<int64_t>::max();

constexpr std::array<std::pair<std::string_view, wire::InstanceState::type>, 2> kStates{
    {{"ready", wire::InstanceState::READY}, {"draining", wire::InstanceState::DRAINING}}};

constexpr std::array<std::pair<std::string_view, wire::MembershipState::type>, 5> kMembershipStates{
    {{"joining", wire::MembershipState::JOINING},
     {"ready", wire::MembershipState::READY},
     {"open", wire::MembershipState::OPEN},
     {"closing", wire::MembershipState::CLOSING},
     {"broken", wire::MembershipState::BROKEN}}};

/// Thrown within this file alone, at the first field at fault.
struct FieldFault {
  MalformedReport report;
};

[[noreturn]] void fail(const std::string& field, const std::string& expected) {
  throw FieldFault{{field, "the report's field '" + field + "' is not " + expected + "; send the report whole"}};
}

/// Reads the fields of one object; `prefix` names it in faults.
class FieldReader {
 public:
  FieldReader(const json::object& object, std::string prefix) : object_(object), prefix_(std::move(prefix)) {}

  const json::value* find(const char* key) const { return object_.if_contains(key); }

  std::string text(const char* key) const {
    const auto* value = find(key);
    if (value == nullptr || !value->is_string()) {
      fail(prefix_ + key, "a string");
    }
    return std::string(value->as_string());
  }
  std::string named_text(const char* key) const {
    auto result = text(key);
    if (result.empty()) {
      fail(prefix_ + key, "a string that names something");
    }
    return result;
  }
  int64_t whole_number(const char* key, int64_t least, int64_t most) const {
    const auto* value = find(key);
    const bool is_whole = value != nullptr && (value->is_int64() || value->is_uint64());
    boost::system::error_code overflow;
    const int64_t number = is_whole ? value->to_number<int64_t>(overflow) : 0;
    if (!is_whole || overflow || number < least || number > most) {
      fail(prefix_ + key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return number;
  }
  double positive_number(const char* key) const {
    const auto* value = find(key);
    const double number = value != nullptr && value->is_number() ? value->to_number<double>() : -1;
    if (!(number >= 0)) {
      fail(prefix_ + key, "a number from 0");
    }
    return number;
  }
  template <typename Names>
  auto one_of(const char* key, const Names& names) const {
    const std::string word = text(key);
    for (const auto& [name, value] : names) {
      if (name == word) {
        return value;
      }
    }
    fail(prefix_ + key, "a state that is known");
  }
  const json::array& list(const char* key) const {
    const auto* value = find(key);
    if (value == nullptr || !value->is_array()) {
      fail(prefix_ + key, "a list");
    }
    return value->as_array();
  }

 private:
  const json::object& object_;
  std::string prefix_;
};

/// IP:PORT, as far as its form goes.
std::string read_address(const FieldReader& reader) {
  auto address = reader.text("address");
  const size_t colon = address.rfind(':');
  const std::string_view port = colon == std::string::npos ? "" : std::string_view(address).substr(colon + 1);
  uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  const bool is_port = error == std::errc() && end == port.data() + port.size() && number > 0;
  if (colon == 0 || !is_port) {
    fail("address", "an address and port, as 10.0.0.9:8080");
  }
  return address;
}

/// Entries of `staged` are names, or objects that hold one.
void read_staged(const FieldReader& reader, wire::Instance& instance) {
  if (reader.find("staged") == nullptr) {
    return;
  }
  for (const auto& item : reader.list("staged")) {
    if (item.is_string()) {
      instance.staged_models.emplace_back(item.as_string());
    } else if (item.is_object()) {
      instance.staged_models.push_back(FieldReader(item.as_object(), "staged.").named_text("name"));
    } else {
      fail("staged", "a list of models");
    }
  }
}

void read_models(const FieldReader& reader, wire::Instance& instance) {
  if (reader.find("models") == nullptr) {
    return;
  }
  for (const auto& item : reader.list("models")) {
    if (!item.is_object()) {
      fail("models", "a list of objects");
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
    fail("group", "an object");
  }
  if (group->as_object().empty()) {
    return;
  }
  const FieldReader fields(group->as_object(), "group.");
  instance.membership.group = fields.text("name");
  instance.membership.epoch = fields.whole_number("epoch", 0, kMostNumber);
  instance.membership.rank = static_cast<int32_t>(fields.whole_number("rank", 0, std::numeric_limits<int32_t>::max()));
  instance.membership.state = fields.one_of("state", kMembershipStates);
}

wire::Instance read_instance(const std::string& instance_id, const json::object& object) {
  const FieldReader reader(object, "");
  wire::Instance instance;
  instance.id = instance_id;
  instance.service_name = reader.named_text("service");
  instance.address = read_address(reader);
  instance.zone = reader.text("zone");
  reader.text("version");
  instance.cold_left_ms = static_cast<int32_t>(std::min(reader.positive_number("cold_left_ms"), kLongestColdMs));
  instance.slots = static_cast<int32_t>(reader.whole_number("slots", 0, kMostSlots));
  instance.call_number = reader.whole_number("call_seq", 0, kMostNumber);
  instance.state = reader.one_of("state", kStates);
  if (reader.find("born") != nullptr) {
    instance.born_ms = reader.whole_number("born", 1, kMostNumber);
  }
  if (reader.find("domain") != nullptr) {
    instance.domain = reader.text("domain");
  }
  read_staged(reader, instance);
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
  boost::system::error_code failure;
  const auto value = json::parse(json::string_view(body.data(), body.size()), failure);
  if (failure || !value.is_object()) {
    return MalformedReport{"body", "the report's body is not a JSON object; send the report whole"};
  }
  try {
    return read_instance(instance_id, value.as_object());
  } catch (const FieldFault& fault) {
    return fault.report;
  }
}

int64_t parse_birth(std::string_view body) {
  boost::system::error_code failure;
  const auto value = json::parse(json::string_view(body.data(), body.size()), failure);
  const auto* birth = failure || !value.is_object() ? nullptr : value.as_object().if_contains("born");
  // A farewell is believed whatever else it holds: an instance that leaves must get nothing more.
  return birth != nullptr && birth->is_int64() && birth->as_int64() > 0 ? birth->as_int64() : 0;
}

std::optional<MalformedReport> find_unknown_service(const wire::Instance& report,
                                                    const document::ConfigurationDocument* document) {
  if (document == nullptr || document->services.contains(report.service_name)) {
    return std::nullopt;
  }
  return MalformedReport{"service",
                         "the configuration names no service as the report's field 'service' does; correct "
                         "one or the other"};
}

}  // namespace larchlever::fleet
