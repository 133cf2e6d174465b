#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

/// The configuration document: one text that an operator sends whole, under a version that only rises.
namespace larchlever::document {

/// How often a request of a route may run.
enum class RouteType { kIdempotent, kNonIdempotent, kStreaming };

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteType route_type = RouteType::kNonIdempotent;
  /// Longest time that a request is held.
  Duration timeout{};
  /// Time to the answer, or to a stream's first event, that the operator aims at.
  Duration target_latency{};
  /// Longest pause between a stream's events that the operator aims at; zero when not given.
  Duration target_event_gap{};
  /// 0 is the most urgent.
  int priority = 0;
  /// Most servers that one request may run on.
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  std::vector<WeightedService> services;
  /// Regions in which requests may run; any when empty.
  std::vector<std::string> allowed_regions;

  /// A request of this route may run more than once.
  bool is_retry_safe() const {
    return route_type == RouteType::kIdempotent || (route_type == RouteType::kStreaming && resumable);
  }
};

/// A model that an engine service runs as groups of `size` servers.
struct ModelSpec {
  std::string name;
  int size = 1;
  /// Share of the servers that the model should have before demand is known.
  double initial_server_share = 0;
  /// Factor on all times of the cost model.
  double time_factor = 1;
  Duration load_time{};
  Duration warmup_time{};
};

/// Cost model of an engine service: how long a pass takes, and what limits loads of weights.
struct EngineSpec {
  int slots = 1;
  int64_t kv_capacity = 0;
  double step_ms = 1;
  double per_sequence_ms = 0;
  double per_thousand_context_tokens_ms = 0;
  double prefill_tokens_per_second = 1;
  int steps_per_pass = 1;
  int prefill_chunk_tokens = 1;
  double max_weight_loads_per_second = 1;
  int max_concurrent_weight_loads = 1;
  /// Models whose weights a host keeps besides those in the accelerators; 0 when hosts keep none.
  int max_staged_models_per_host = 0;
  /// How long an opened head takes until it serves.
  Duration group_formation_time{};
  /// Mean tokens of prompt and answer.
  double typical_prompt_tokens = 0;
  double typical_answer_tokens = 0;
  std::vector<ModelSpec> models;

  const ModelSpec* find_model(std::string_view name) const;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  /// Requests a second that a cold server bears; 0 when cold servers bear as many as others.
  double cold_server_requests_per_second = 0;
  /// Present when the service's servers are model engines that work in groups.
  std::optional<EngineSpec> engine;
};

/// Bounds on what callers may send.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct TenantSpec {
  std::string name;
  int priority = -1;  ///< -1 when the route's priority holds.
  std::vector<std::string> api_keys;
  /// Regions in which the tenant's requests may run; any when empty.
  std::vector<std::string> allowed_regions;
};

struct ConfigurationDocument {
  int64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec> services;
  CallerLimits limits;
  /// Absent: no request needs a key.
  std::optional<std::vector<TenantSpec>> tenants;
};

/// Why a document is refused; the message names the place and the remedy.
struct DocumentError {
  std::string message;
};

struct ParsedDocument {
  std::shared_ptr<const ConfigurationDocument> document;
  DocumentError error;
};

/// Reads and validates a document in JSON. Unknown fields are skipped. `document` is null when `error` says why.
ParsedDocument parse_document(std::string_view json_text);

}  // namespace larchlever::document
