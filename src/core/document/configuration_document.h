#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

/// The configuration document: a JSON text that an operator always submits as a whole. Its version only increases.
namespace larchlever::document {

/// Whether requests of a route may run more than once, and whether their responses are streams.
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
  /// Maximum total time of a request.
  Duration timeout{};
  /// Latency objective: time to the response or, for streams, to the first event.
  Duration target_latency{};
  /// Objective for the longest pause between two events of a stream; zero if not configured.
  Duration target_event_gap{};
  /// Lower values are more urgent; 0 is the most urgent.
  int priority = 0;
  /// Maximum number of servers that may run one request, one after the other.
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  std::vector<WeightedService> services;
  /// Regions in which requests may run; any region if empty.
  std::vector<std::string> allowed_regions;

  /// Whether a request that may already have run can be sent again.
  bool is_retry_safe() const {
    return route_type == RouteType::kIdempotent || (route_type == RouteType::kStreaming && resumable);
  }
};

/// A model of an engine service. Each group of `size` servers runs one copy of it.
struct ModelSpec {
  std::string name;
  int size = 1;
  /// Fraction (0 to 1) of the servers assigned to the model until demand has been measured.
  double initial_server_share = 0;
  /// Factor applied to all times of the cost model.
  double time_factor = 1;
  Duration load_time{};
  Duration warmup_time{};
};

/// Cost model of an engine service: the duration of an engine pass, and the limits on loading weights.
///
/// An engine works in passes. Each pass runs `steps_per_pass` decode steps for all running requests and the prefill of
/// pending prompts.
struct EngineSpec {
  /// Maximum number of concurrent requests per group.
  int slots = 1;
  /// Tokens that fit into the key-value cache; 0 if not configured.
  int64_t kv_capacity = 0;
  /// Duration of a decode step, plus an amount per running request and per thousand tokens of their context.
  double step_ms = 1;
  double per_sequence_ms = 0;
  double per_thousand_context_tokens_ms = 0;
  double prefill_tokens_per_second = 1;
  int steps_per_pass = 1;
  int prefill_chunk_tokens = 1;
  double max_weight_loads_per_second = 1;
  int max_concurrent_weight_loads = 1;
  /// Number of models whose weights a host caches in addition to those on its accelerators; 0 if hosts cache none.
  int max_staged_models_per_host = 0;
  /// Time from opening a group's head until it serves.
  Duration group_formation_time{};
  /// Mean request sizes in tokens, assumed until sizes have been measured.
  double typical_prompt_tokens = 0;
  double typical_answer_tokens = 0;
  std::vector<ModelSpec> models;

  const ModelSpec* find_model(std::string_view name) const;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  /// Requests per second that a cold server can handle; 0 if cold servers have no lower limit than others.
  double cold_server_requests_per_second = 0;
  /// Present if the service's servers are model engines that form groups.
  std::optional<EngineSpec> engine;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct TenantSpec {
  std::string name;
  int priority = -1;  ///< Overrides the route's priority; -1 if not set.
  std::vector<std::string> api_keys;
  /// Regions in which the tenant's requests may run; any region if empty.
  std::vector<std::string> allowed_regions;
};

struct ConfigurationDocument {
  int64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec> services;
  CallerLimits limits;
  /// If absent, no request needs an API key.
  std::optional<std::vector<TenantSpec>> tenants;
};

/// Why a document was rejected. The message names the faulty field and the remedy.
struct DocumentError {
  std::string message;
};

struct ParsedDocument {
  std::shared_ptr<const ConfigurationDocument> document;
  DocumentError error;
};

/// Parses and validates a JSON document, ignoring unknown fields. If it is invalid, `document` is null and `error` is
/// set.
ParsedDocument parse_document(std::string_view json_text);

}  // namespace larchlever::document
