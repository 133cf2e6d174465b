#include "node/model_request.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/json_fields.h"

namespace larchlever::node {

namespace json = boost::json;

namespace {

constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxJsonDepth = 32;

/// Appends all messages to `prompt`, as input of the prefix hash. Returns false if a message is malformed.
bool append_messages(const json::object& body, std::string& prompt) {
  const auto* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
    return false;
  }
  for (const auto& message : messages->as_array()) {
    if (!message.is_object() || string_field(message.as_object(), "role").empty()) {
      return false;
    }
    prompt += string_field(message.as_object(), "role") + ":" + string_field(message.as_object(), "content") + "\n";
  }
  return true;
}

std::optional<ModelRequest> reject_request(ProblemDetails& problem, int status, std::string title, std::string remedy) {
  problem = ProblemDetails{status, std::move(title), std::move(remedy), 0};
  return std::nullopt;
}

}  // namespace

int64_t hash_body(std::string_view body) { return static_cast<int64_t>(XXH3_64bits(body.data(), body.size())); }

std::optional<bool> parse_repeat_header(const net::HttpRequest& request) {
  const auto value = request.headers.find("larchlever-repeat");
  if (net::equals_ignoring_case(value, "safe")) {
    return true;
  }
  if (net::equals_ignoring_case(value, "unsafe")) {
    return false;
  }
  return std::nullopt;
}

std::optional<ModelRequest> parse_model_request(const net::HttpRequest& request, const routing::RoutingTable& table,
                                                ProblemDetails& problem) {
  ModelRequest model_request;
  model_request.is_chat = request.path() == "/v1/chat/completions";
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  json::value parsed;
  try {
    parsed = json::parse(request.body, error, {}, options);
  } catch (const std::exception&) {
    return reject_request(problem, 400, "the body cannot be parsed", "send a smaller JSON object");
  }
  if (error || !parsed.is_object()) {
    return reject_request(problem, 400, "the body is not a JSON object in UTF-8", "send the request as a JSON object");
  }
  json::object& body = parsed.as_object();
  model_request.tenant = std::string(request.headers.find("larchlever-tenant"));
  const auto* tenant = table.find_tenant(model_request.tenant);
  if (tenant == nullptr) {
    return reject_request(problem, 403, "unknown tenant '" + model_request.tenant + "'",
                          "set the Larchlever-Tenant header to a tenant that your operator has configured");
  }
  const std::string model = string_field(body, "model");
  const size_t colon = model.find(':');
  model_request.model = model.substr(0, colon);
  model_request.adapter = colon == std::string::npos ? "" : model.substr(colon + 1);
  if (model_request.model.empty()) {
    return reject_request(problem, 400, "the model is missing", "set \"model\" to MODEL or MODEL:ADAPTER");
  }
  model_request.prompt = string_field(body, "prompt");
  const bool has_prompt =
      model_request.is_chat ? append_messages(body, model_request.prompt) : !model_request.prompt.empty();
  if (!has_prompt) {
    return reject_request(
        problem, 400, model_request.is_chat ? "the messages are missing or malformed" : "the prompt is missing",
        model_request.is_chat ? "send \"messages\" as a list of {role, content}" : "send \"prompt\" as a string");
  }
  const auto* stream = body.if_contains("stream");
  model_request.is_streaming = stream != nullptr && stream->is_bool() && stream->as_bool();
  model_request.idempotency_key = std::string(request.headers.find("idempotency-key"));
  if (model_request.idempotency_key.size() > kMaxKeyBytes) {
    return reject_request(problem, 400, "Idempotency-Key is too long", "use at most 256 characters");
  }
  const std::string issued_at_text(request.headers.find("larchlever-issued-at"));
  model_request.issued_at_ms = 1000 * std::atoll(issued_at_text.c_str());
  model_request.is_repeatable =
      parse_repeat_header(request).value_or(tenant->repeat_policy() == wire::RepeatPolicy::SAFE);
  model_request.priority = tenant->tenant.priority;
  const std::string requested_priority(request.headers.find("larchlever-priority"));
  if (!requested_priority.empty()) {
    // A caller may lower its priority below its tenant's, but not raise it.
    model_request.priority = std::clamp(std::atoi(requested_priority.c_str()), 0, model_request.priority);
  }
  model_request.body_digest = hash_body(request.body);
  body["stream"] = true;
  model_request.engine_body = json::serialize(body);
  return model_request;
}

}  // namespace larchlever::node
