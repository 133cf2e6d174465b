#include "node/model_call.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/json_fields.h"

namespace larchlever::node {

namespace json = boost::json;

namespace {

constexpr size_t kLongestKey = 256;
constexpr size_t kDeepestJson = 32;

/// The whole prompt as one text, for the prefix hash; false when a message is not of the expected shape.
bool read_messages(const json::object& body, std::string& prompt) {
  const auto* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
    return false;
  }
  for (const auto& message : messages->as_array()) {
    if (!message.is_object() || text_field(message.as_object(), "role").empty()) {
      return false;
    }
    prompt += text_field(message.as_object(), "role") + ":" + text_field(message.as_object(), "content") + "\n";
  }
  return true;
}

std::optional<ModelCall> fail(Problem& problem, int status, std::string title, std::string remedy) {
  problem = Problem{status, std::move(title), std::move(remedy), 0};
  return std::nullopt;
}

}  // namespace

int64_t digest_of(std::string_view body) { return static_cast<int64_t>(XXH3_64bits(body.data(), body.size())); }

std::optional<bool> repeat_header(const net::HttpRequest& request) {
  const auto value = request.headers.find("larchlever-repeat");
  if (net::equals_ignoring_case(value, "safe")) {
    return true;
  }
  if (net::equals_ignoring_case(value, "unsafe")) {
    return false;
  }
  return std::nullopt;
}

std::optional<ModelCall> parse_model_call(const net::HttpRequest& request, const routing::RoutingTable& table,
                                          Problem& problem) {
  ModelCall call;
  call.chat = request.path() == "/v1/chat/completions";
  json::parse_options options;
  options.max_depth = kDeepestJson;
  boost::system::error_code error;
  json::value parsed;
  try {
    parsed = json::parse(request.body, error, {}, options);
  } catch (const std::exception&) {
    return fail(problem, 400, "body could not be read", "send a smaller JSON object");
  }
  if (error || !parsed.is_object()) {
    return fail(problem, 400, "body is not a JSON object in UTF-8", "send the request as a JSON object");
  }
  json::object& body = parsed.as_object();
  call.tenant = std::string(request.headers.find("larchlever-tenant"));
  const auto* tenant = table.find_tenant(call.tenant);
  if (tenant == nullptr) {
    return fail(problem, 403, "unknown tenant '" + call.tenant + "'",
                "name your tenant in the Larchlever-Tenant header, as your operator set it up");
  }
  const std::string model = text_field(body, "model");
  const size_t colon = model.find(':');
  call.model = model.substr(0, colon);
  call.adapter = colon == std::string::npos ? "" : model.substr(colon + 1);
  if (call.model.empty()) {
    return fail(problem, 400, "no model named", "set \"model\" to MODEL or MODEL:ADAPTER");
  }
  call.prompt = text_field(body, "prompt");
  const bool has_prompt = call.chat ? read_messages(body, call.prompt) : !call.prompt.empty();
  if (!has_prompt) {
    return fail(problem, 400, call.chat ? "messages are missing or malformed" : "prompt is missing",
                call.chat ? "send \"messages\" as a list of {role, content}" : "send \"prompt\" as a text");
  }
  const auto* stream = body.if_contains("stream");
  call.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
  call.key = std::string(request.headers.find("idempotency-key"));
  if (call.key.size() > kLongestKey) {
    return fail(problem, 400, "Idempotency-Key is too long", "use at most 256 characters");
  }
  const std::string issued(request.headers.find("larchlever-issued-at"));
  call.issued_at_ms = 1000 * std::atoll(issued.c_str());
  call.safe = repeat_header(request).value_or(tenant->repeat_policy() == wire::RepeatPolicy::SAFE);
  call.priority = tenant->tenant.priority;
  const std::string wished(request.headers.find("larchlever-priority"));
  if (!wished.empty()) {
    // A caller may step back behind its tenant's priority, never ahead of it.
    call.priority = std::clamp(std::atoi(wished.c_str()), 0, call.priority);
  }
  call.body_digest = digest_of(request.body);
  body["stream"] = true;
  call.engine_body = json::serialize(body);
  return call;
}

}  // namespace larchlever::node
