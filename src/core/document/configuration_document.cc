#include "core/document/configuration_document.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <stdexcept>

namespace larchlever::document {

namespace json = boost::json;

namespace {

/// Thrown when the document is invalid; its message becomes the DocumentError.
class InvalidDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Numbers of the document are clamped to these ranges, so that later computations cannot overflow.
constexpr double kMaxInteger = 2e9;
constexpr double kMaxMicroseconds = 1e13;
constexpr double kMaxByteCount = 1e12;

Duration from_microseconds_clamped(double value) {
  return Duration(static_cast<int64_t>(std::clamp(value, -kMaxMicroseconds, kMaxMicroseconds)));
}
Duration from_milliseconds(double value) { return from_microseconds_clamped(value * 1000.0); }
Duration from_seconds(double value) { return from_microseconds_clamped(value * 1e6); }
size_t to_bytes(double value) { return static_cast<size_t>(std::clamp(value, 0.0, kMaxByteCount)); }

/// Typed access to the fields of one JSON object. `json_path` identifies the object in error messages.
class FieldReader {
 public:
  FieldReader(const json::value& value, std::string json_path) : json_path_(std::move(json_path)) {
    if (!value.is_object()) {
      throw InvalidDocument(json_path_ + " must be a JSON object; correct its type");
    }
    object_ = &value.as_object();
  }

  const json::value* find(const char* key) const {
    const auto* value = object_->if_contains(key);
    return value == nullptr || value->is_null() ? nullptr : value;
  }

  std::string text(const char* key) const {
    const auto* value = find(key);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string()) {
      throw_wrong_type(key, "a string");
    }
    return std::string(value->as_string());
  }

  double number(const char* key, double fallback) const {
    const auto* value = find(key);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number()) {
      throw_wrong_type(key, "a number");
    }
    return value->to_number<double>();
  }

  int integer(const char* key, int fallback) const {
    return static_cast<int>(std::clamp(number(key, fallback), -kMaxInteger, kMaxInteger));
  }

  bool flag(const char* key) const {
    const auto* value = find(key);
    if (value != nullptr && !value->is_bool()) {
      throw_wrong_type(key, "true or false");
    }
    return value != nullptr && value->as_bool();
  }

  /// The list under `key`; an empty list if it is absent.
  const json::array& list(const char* key) const {
    static const json::array empty;
    const auto* value = find(key);
    if (value == nullptr) {
      return empty;
    }
    if (!value->is_array()) {
      throw_wrong_type(key, "a list");
    }
    return value->as_array();
  }

  const std::string& json_path() const { return json_path_; }

 private:
  [[noreturn]] void throw_wrong_type(const char* key, const char* expected) const {
    throw InvalidDocument(json_path_ + "." + key + " must be " + expected + "; correct its type");
  }

  std::string json_path_;
  const json::object* object_ = nullptr;
};

RouteType read_route_type(const FieldReader& route) {
  const auto type = route.text("type");
  if (type == "idempotent") {
    return RouteType::kIdempotent;
  }
  if (type == "streaming") {
    return RouteType::kStreaming;
  }
  if (type == "non_idempotent" || type.empty()) {
    return RouteType::kNonIdempotent;
  }
  throw InvalidDocument(route.json_path() + ".type '" + type +
                        "' is unknown; use idempotent, non_idempotent or streaming");
}

std::vector<WeightedService> read_route_services(const FieldReader& route) {
  std::vector<WeightedService> services;
  double total = 0;
  for (const auto& item : route.list("backends")) {
    const FieldReader backend(item, route.json_path() + ".backends");
    services.push_back({backend.text("service"), backend.number("weight", 0)});
    if (services.back().weight < 0) {
      throw InvalidDocument(route.json_path() + " has a negative weight; weights are 0 or more");
    }
    total += services.back().weight;
  }
  if (services.empty()) {
    services.push_back({route.text("service"), 1});
    total = 1;
  }
  if (total <= 0) {
    throw InvalidDocument(route.json_path() + ": the weights add up to 0; set at least one weight above 0");
  }
  return services;
}

std::vector<std::string> read_strings(const FieldReader& reader, const char* key) {
  std::vector<std::string> result;
  for (const auto& item : reader.list(key)) {
    if (!item.is_string()) {
      throw InvalidDocument(reader.json_path() + "." + key + " must contain only strings; correct its items");
    }
    result.emplace_back(item.as_string());
  }
  return result;
}

Route read_route(const json::value& value, size_t index) {
  const FieldReader reader(value, "routes[" + std::to_string(index) + "]");
  Route route;
  route.name = reader.text("name");
  route.host = reader.text("host");
  route.path_prefix = reader.text("path_prefix");
  route.route_type = read_route_type(reader);
  route.timeout = from_milliseconds(reader.number("timeout_ms", 0));
  route.target_latency = from_milliseconds(reader.number("target_latency_ms", 0));
  route.target_event_gap = from_milliseconds(reader.number("target_gap_ms", 0));
  route.priority = reader.integer("priority", 0);
  route.max_attempts = std::max(1, reader.integer("max_attempts", 1));
  route.is_public = reader.flag("public");
  route.resumable = reader.flag("resumable");
  route.services = read_route_services(reader);
  route.allowed_regions = read_strings(reader, "allowed_regions");
  if (route.timeout <= Duration::zero()) {
    throw InvalidDocument(reader.json_path() + ".timeout_ms must be above 0; set the maximum time of a request");
  }
  return route;
}

ModelSpec read_model(const json::value& value, const std::string& json_path) {
  const FieldReader reader(value, json_path + ".models");
  ModelSpec model;
  model.name = reader.text("name");
  model.size = std::max(1, reader.integer("size", 1));
  model.initial_server_share = reader.number("fraction", 0);
  model.time_factor = reader.number("pace", 1);
  model.load_time = from_seconds(reader.number("load_s", 0));
  model.warmup_time = from_seconds(reader.number("warm_s", 0));
  return model;
}

EngineSpec read_engine(const json::value& value, const std::string& json_path) {
  const FieldReader reader(value, json_path);
  EngineSpec engine;
  engine.slots = std::max(1, reader.integer("slots", 1));
  engine.kv_capacity = static_cast<int64_t>(to_bytes(reader.number("kv_capacity", 0)));
  engine.step_ms = reader.number("step_ms", 1);
  engine.per_sequence_ms = reader.number("per_seq_ms", 0);
  engine.per_thousand_context_tokens_ms = reader.number("context_per_k", 0);
  engine.prefill_tokens_per_second = std::max(1.0, reader.number("read_per_s", 1e6));
  engine.steps_per_pass = std::max(1, reader.integer("stride", 1));
  engine.prefill_chunk_tokens = std::max(1, reader.integer("chunk", 1 << 30));
  engine.max_weight_loads_per_second = reader.number("loads_per_s", 1e6);
  engine.max_concurrent_weight_loads = std::max(1, reader.integer("loads_at_once", 1 << 20));
  engine.max_staged_models_per_host = reader.integer("cached_prefixes", 0);
  engine.group_formation_time = from_milliseconds(reader.number("form_ms", 0));
  if (const auto* typical = reader.find("usual")) {
    const FieldReader typical_reader(*typical, json_path + ".usual");
    engine.typical_prompt_tokens = typical_reader.number("prompt", 0);
    engine.typical_answer_tokens = typical_reader.number("answer", 0);
  }
  for (const auto& model : reader.list("models")) {
    engine.models.push_back(read_model(model, json_path));
  }
  return engine;
}

ServiceSpec read_service(const json::value& value, size_t index) {
  const std::string json_path = "services[" + std::to_string(index) + "]";
  const FieldReader reader(value, json_path);
  ServiceSpec service;
  service.name = reader.text("name");
  service.health_path = reader.text("health_path");
  service.max_connections = reader.integer("max_connections", 0);
  service.cold_server_requests_per_second = std::max(0.0, reader.number("cold_per_s", 0));
  if (const auto* engine = reader.find("engine")) {
    service.engine = read_engine(*engine, json_path + ".engine");
  }
  return service;
}

CallerLimits read_limits(const json::value& value) {
  const FieldReader reader(value, "limits");
  CallerLimits limits;
  limits.max_header_bytes = to_bytes(reader.number("max_header_bytes", 16 * 1024));
  limits.max_body_bytes = to_bytes(reader.number("max_body_bytes", 4 * 1024 * 1024));
  limits.header_timeout = from_milliseconds(reader.number("header_timeout_ms", 3000));
  limits.idle_timeout = from_milliseconds(reader.number("idle_timeout_ms", 15000));
  return limits;
}

std::vector<TenantSpec> read_tenants(const json::array& list) {
  std::vector<TenantSpec> tenants;
  std::map<std::string, std::string> tenant_by_key;
  for (const auto& item : list) {
    const FieldReader reader(item, "tenants[" + std::to_string(tenants.size()) + "]");
    TenantSpec tenant;
    tenant.name = reader.text("name");
    tenant.priority = reader.integer("priority", -1);
    tenant.allowed_regions = read_strings(reader, "allowed_regions");
    tenant.api_keys = read_strings(reader, "api_keys");
    for (const auto& key : tenant.api_keys) {
      const auto [key_owner, is_new] = tenant_by_key.emplace(key, tenant.name);
      if (!is_new && key_owner->second != tenant.name) {
        throw InvalidDocument("tenants '" + key_owner->second + "' and '" + tenant.name +
                              "' share a key; use each key for one tenant only");
      }
    }
    tenants.push_back(std::move(tenant));
  }
  return tenants;
}

void check_routes(const ConfigurationDocument& document) {
  std::set<std::pair<std::string, std::string>> seen_hosts_and_prefixes;
  for (const auto& route : document.routes) {
    if (!seen_hosts_and_prefixes.emplace(route.host, route.path_prefix).second) {
      throw InvalidDocument("two routes share host '" + route.host + "' and prefix '" + route.path_prefix +
                            "'; remove one of them");
    }
    for (const auto& target : route.services) {
      if (!document.services.contains(target.service)) {
        throw InvalidDocument("route '" + route.name + "' refers to the unknown service '" + target.service +
                              "'; add the service or correct the name");
      }
    }
  }
}

std::shared_ptr<const ConfigurationDocument> read_document(const json::value& value) {
  const FieldReader reader(value, "document");
  auto document = std::make_shared<ConfigurationDocument>();
  const auto* version = reader.find("version");
  if (version == nullptr || !version->is_int64()) {
    throw InvalidDocument("document.version must be an integer; set the version of the document");
  }
  document->version = version->as_int64();
  for (const auto& route : reader.list("routes")) {
    document->routes.push_back(read_route(route, document->routes.size()));
  }
  size_t index = 0;
  for (const auto& item : reader.list("services")) {
    auto service = read_service(item, index++);
    const std::string name = service.name;
    document->services[name] = std::move(service);
  }
  if (const auto* limits = reader.find("limits")) {
    document->limits = read_limits(*limits);
  }
  if (reader.find("tenants") != nullptr) {
    document->tenants = read_tenants(reader.list("tenants"));
  }
  check_routes(*document);
  return document;
}

}  // namespace

const ModelSpec* EngineSpec::find_model(std::string_view name) const {
  for (const auto& model : models) {
    if (model.name == name) {
      return &model;
    }
  }
  return nullptr;
}

ParsedDocument parse_document(std::string_view json_text) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(json_text.data(), json_text.size()), error);
  if (error) {
    return {nullptr, {"the document is not valid JSON (" + error.message() + "); send it whole"}};
  }
  try {
    return {read_document(value), {}};
  } catch (const InvalidDocument& invalid) {
    return {nullptr, {invalid.what()}};
  }
}

}  // namespace larchlever::document
