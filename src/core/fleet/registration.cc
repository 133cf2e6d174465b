#include "core/fleet/registration.h"

#include <boost/json.hpp>

namespace larchlever::fleet {

namespace json = boost::json;

namespace {

std::string text(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

int64_t number(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_number() ? value->to_number<int64_t>() : 0;
}

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
      instance.staged_models.push_back(text(item.as_object(), "name"));
    }
  }
}

void read_model(const json::object& body, wire::Instance& instance) {
  const auto* models = body.if_contains("models");
  if (models != nullptr && models->is_array() && !models->as_array().empty() && models->as_array()[0].is_object()) {
    instance.model = text(models->as_array()[0].as_object(), "name");
  }
}

void read_membership(const json::object& body, wire::Instance& instance) {
  const auto* group = body.if_contains("group");
  if (group == nullptr || !group->is_object()) {
    return;
  }
  const auto& object = group->as_object();
  instance.membership.group = text(object, "name");
  instance.membership.epoch = number(object, "epoch");
  instance.membership.rank = static_cast<int32_t>(number(object, "rank"));
  instance.membership.state = parse_state(text(object, "state"));
}

}  // namespace

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
  instance.service_name = text(object, "service");
  instance.address = text(object, "address");
  instance.zone = text(object, "zone");
  instance.domain = text(object, "domain");
  instance.slots = static_cast<int32_t>(number(object, "slots"));
  instance.call_number = number(object, "call_seq");
  instance.state = text(object, "state") == "draining" ? wire::InstanceState::DRAINING : wire::InstanceState::READY;
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
