#include "core/fleet/registration.h"

#include <boost/json.hpp>

#include "core/base/json_fields.h"

namespace larchlever::fleet {

namespace json = boost::json;

namespace {

wire::MembershipState::type parse_state(const std::string& state) {
  if (state == "joining") {
    return wire::MembershipState::JOINING;
  }
  if (state == "ready") {
    return wire::MembershipState::READY;
  }
  if (state == "open") {
    return wire::MembershipState::OPEN;
  }
  if (state == "closing") {
    return wire::MembershipState::CLOSING;
  }
  return state == "broken" ? wire::MembershipState::BROKEN : wire::MembershipState::NONE;
}

void read_staged(const json::object& body, wire::Instance& instance) {
  const auto* staged = body.if_contains("staged");
  if (staged == nullptr || !staged->is_array()) {
    return;
  }
  for (const auto& item : staged->as_array()) {
    if (item.is_string()) {
      instance.staged_models.emplace_back(item.as_string());
    } else if (item.is_object()) {
      instance.staged_models.push_back(text_field(item.as_object(), "name"));
    }
  }
}

void read_model(const json::object& body, wire::Instance& instance) {
  const auto* models = body.if_contains("models");
  if (models != nullptr && models->is_array() && !models->as_array().empty() && models->as_array()[0].is_object()) {
    instance.model = text_field(models->as_array()[0].as_object(), "name");
  }
}

void read_membership(const json::object& body, wire::Instance& instance) {
  const auto* group = body.if_contains("group");
  if (group == nullptr || !group->is_object()) {
    return;
  }
  const auto& object = group->as_object();
  instance.membership.group = text_field(object, "name");
  instance.membership.epoch = integer_field(object, "epoch");
  instance.membership.rank = static_cast<int32_t>(integer_field(object, "rank"));
  instance.membership.state = parse_state(text_field(object, "state"));
}

}  // namespace

std::string error_body(const std::string& message) {
  std::string escaped;
  for (const char character : message) {
    escaped += character == '"' || character == '\\' ? '\'' : character;
  }
  return R"({"error":")" + escaped + R"("})";
}

std::optional<wire::Instance> parse_registration(const std::string& instance_id, std::string_view body,
                                                 std::string& error) {
  boost::system::error_code failure;
  const auto value = json::parse(json::string_view(body.data(), body.size()), failure);
  if (failure || !value.is_object()) {
    error = "the heartbeat is not a JSON object; send it whole";
    return std::nullopt;
  }
  const auto& object = value.as_object();
  wire::Instance instance;
  instance.id = instance_id;
  instance.service_name = text_field(object, "service");
  instance.address = text_field(object, "address");
  instance.zone = text_field(object, "zone");
  instance.domain = text_field(object, "domain");
  instance.slots = static_cast<int32_t>(integer_field(object, "slots"));
  instance.call_number = integer_field(object, "call_seq");
  instance.state =
      text_field(object, "state") == "draining" ? wire::InstanceState::DRAINING : wire::InstanceState::READY;
  read_staged(object, instance);
  read_model(object, instance);
  read_membership(object, instance);
  if (instance.service_name.empty() || instance.address.empty()) {
    error = "the heartbeat names no service or no address; send both";
    return std::nullopt;
  }
  return instance;
}

}  // namespace larchlever::fleet
