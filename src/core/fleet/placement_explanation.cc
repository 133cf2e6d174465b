#include "core/fleet/placement_explanation.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/json_fields.h"

namespace larchlever::fleet {

namespace json = boost::json;

namespace {

const char* to_string(RuledOut reason) {
  switch (reason) {
    case RuledOut::kNo:
      return "";
    case RuledOut::kNotOpen:
      return "not open";
    case RuledOut::kZone:
      return "zone not allowed";
    case RuledOut::kNoFreeSlot:
      return "no free slot";
    case RuledOut::kRateLimit:
      return "rate limit";
    case RuledOut::kLongPass:
      return "pauses would be too long";
    case RuledOut::kFirstEvent:
      return "would be late";
  }
  return "";
}

double to_milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

json::object candidate_json(const PlacementCandidate& candidate) {
  json::object row;
  row["name"] = candidate.name;
  row["zones"] = json::array(candidate.zones.begin(), candidate.zones.end());
  row["ruled_out"] = to_string(candidate.ruled_out);
  row["quiet"] = candidate.is_quiet;
  row["in_flight"] = candidate.in_flight;
  row["slots"] = candidate.slots;
  row["time_factor"] = candidate.time_factor;
  row["first_event_ms"] = to_milliseconds(candidate.first_event);
  row["longest_pass_ms"] = to_milliseconds(candidate.longest_pass);
  row["remaining_work_ms"] = to_milliseconds(candidate.remaining_work);
  return row;
}

/// The token count in `field`, or `typical` if it is absent or not positive.
int token_count(const json::object& body, const char* field, double typical) {
  constexpr int64_t kMaxTokens = 100'000'000;
  const int64_t declared = std::min(integer_field(body, field), kMaxTokens);
  return static_cast<int>(declared > 0 ? declared : static_cast<int64_t>(typical));
}

/// Sets the fields that only requests for models have. Returns an error message, or nothing.
std::optional<std::string> set_model(const json::object& body, PlacementQuery& query) {
  const auto& engine = query.service->engine;
  if (!engine) {
    return std::nullopt;
  }
  query.model = string_field(body, "model");
  if (engine->find_model(query.model) == nullptr) {
    return "the service '" + query.service->name + "' has no model '" + query.model + "'; set \"model\"";
  }
  query.prompt_tokens = token_count(body, "prompt_tokens", engine->typical_prompt_tokens);
  query.answer_tokens = token_count(body, "answer_tokens", engine->typical_answer_tokens);
  return std::nullopt;
}

/// Sets the tenant, and the priority and zones that follow from it. Returns an error message, or nothing.
std::optional<std::string> set_tenant(const json::object& body, const document::ConfigurationDocument& document,
                                      const document::ZoneRegions& zones, PlacementQuery& query) {
  query.priority = query.route->priority;
  query.tenant = string_field(body, "tenant");
  query.allowed_zones = document::allowed_zones(zones, *query.route, nullptr);
  if (query.tenant.empty()) {
    return std::nullopt;
  }
  const auto has_name = [&query](const document::TenantSpec& tenant) { return tenant.name == query.tenant; };
  const auto tenants = document.tenants.value_or(std::vector<document::TenantSpec>());
  const auto tenant = std::find_if(tenants.begin(), tenants.end(), has_name);
  if (tenant == tenants.end()) {
    return "no tenant '" + query.tenant + "' in the configuration";
  }
  query.priority = tenant->priority >= 0 ? tenant->priority : query.priority;
  query.allowed_zones = document::allowed_zones(zones, *query.route, &*tenant);
  return std::nullopt;
}

}  // namespace

std::variant<PlacementQuery, PlacementQueryError> parse_placement_query(std::string_view body,
                                                                        const document::ConfigurationDocument& document,
                                                                        const document::ZoneRegions& zones) {
  const auto fields = parse_json_object(body);
  const std::string route_name = string_field(fields, "route");
  const auto has_name = [&route_name](const document::Route& route) { return route.name == route_name; };
  const auto route = std::find_if(document.routes.begin(), document.routes.end(), has_name);
  if (route == document.routes.end()) {
    return PlacementQueryError{"no route '" + route_name + "' in the configuration; set \"route\""};
  }
  PlacementQuery query;
  query.route = &*route;
  const auto has_most_weight = [](const auto& left, const auto& right) { return left.weight < right.weight; };
  const auto target = std::max_element(route->services.begin(), route->services.end(), has_most_weight);
  query.service = &document.services.at(target->service);
  if (const auto message = set_model(fields, query)) {
    return PlacementQueryError{*message};
  }
  if (const auto message = set_tenant(fields, document, zones, query)) {
    return PlacementQueryError{*message};
  }
  return query;
}

std::string to_json(const PlacementExplanation& explanation) {
  const auto& query = explanation.query;
  json::object body;
  body["route"] = query.route->name;
  body["service"] = query.service->name;
  body["model"] = query.model;
  body["tenant"] = query.tenant;
  body["priority"] = query.priority;
  body["prompt_tokens"] = query.prompt_tokens;
  body["answer_tokens"] = query.answer_tokens;
  body["objective_ms"] = to_milliseconds(query.route->target_latency);
  body["chosen"] = explanation.chosen;
  body["waiting"] = explanation.waiting;
  body["waiting_ahead"] = explanation.waiting_ahead;
  if (explanation.expected_wait) {
    body["expected_wait_ms"] = to_milliseconds(*explanation.expected_wait);
  }
  if (explanation.tenant_usage && explanation.tenant_share) {
    body["tenant_usage"] = *explanation.tenant_usage;
    body["tenant_share"] = *explanation.tenant_share;
  }
  json::array candidates;
  for (const auto& candidate : explanation.candidates) {
    candidates.push_back(candidate_json(candidate));
  }
  body["candidates"] = std::move(candidates);
  return json::serialize(body);
}

}  // namespace larchlever::fleet
