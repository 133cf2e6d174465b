#include "node/server_notices.h"

#include "core/base/http_status.h"
#include "core/requests/retry_after.h"
#include "core/requests/server_limit.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace {

constexpr std::string_view kLeavingValue = "1";

void record_retry_after(EntryState& state, const fleet::DispatchTarget& target, std::string_view value) {
  const auto retry_after = requests::parse_retry_after(value);
  state.dispatcher.note_retry_after(monotonic_now(), target, retry_after.delay);
  log_event("", "server_asked_for_rest",
            {{"instance", target.incarnation},
             {"rest_ms", std::to_string(retry_after.delay / milliseconds(1))},
             {"value", std::string(value)},
             {"is_exact", retry_after.parse_status == requests::RetryAfterParseStatus::kExact ? "yes" : "no"}});
}

void record_leaving(EntryState& state, const fleet::DispatchTarget& target, std::string_view value) {
  if (value != kLeavingValue) {
    log_warning("", "leaving_not_understood",
                {{"instance", target.incarnation},
                 {"value", std::string(value)},
                 {"remedy", "a server that shuts down must send 1; this one stays in use"}});
    return;
  }
  if (state.dispatcher.note_leaving(monotonic_now(), target)) {
    log_event("", "server_leaves", {{"instance", target.incarnation}});
  }
}

std::vector<std::string_view> header_values(const net::Headers& headers, const std::string& name) {
  std::vector<std::string_view> values;
  for (const auto& [header, value] : headers.all()) {
    if (net::equals_ignoring_case(header, name)) {
      values.emplace_back(value);
    }
  }
  return values;
}

void record_rate_limit(EntryState& state, const Dialect& dialect, const ServerResponse& response) {
  const auto& [target, sent_at, head] = response;
  const auto values = header_values(head.headers, dialect.limit_header);
  if (values.empty()) {
    // A response without the server's signature may come from another process.
    const bool is_signed = head.headers.contains(dialect.signature_header);
    if (is_signed && state.dispatcher.note_limit({target.incarnation, std::nullopt, sent_at})) {
      log_event("", "server_limit_ended", {{"instance", target.incarnation}});
    }
    return;
  }
  const auto limit = requests::parse_server_limit(values);
  if (!limit.per_second) {
    log_warning("", "server_limit_not_understood",
                {{"instance", target.incarnation},
                 {"value", std::string(values.front())},
                 {"headers", std::to_string(values.size())},
                 {"remedy", "send one header with a decimal number; the previous limit stays in force"}});
    return;
  }
  if (state.dispatcher.note_limit({target.incarnation, limit.per_second, monotonic_now()})) {
    log_event("", "server_limit_named",
              {{"instance", target.incarnation},
               {"per_second", std::to_string(*limit.per_second)},
               {"value", std::string(values.front())},
               {"is_exact", limit.parse_status == requests::ServerLimitParseStatus::kExact ? "yes" : "no"}});
  }
}

}  // namespace

void record_server_notices(EntryState& state, const Dialect& dialect, const ServerResponse& response) {
  const auto& [target, sent_at, head] = response;
  const bool is_overload_status =
      head.status == http_status::kServiceUnavailable || head.status == http_status::kTooManyRequests;
  if (is_overload_status && head.headers.contains(kRetryAfterHeader)) {
    record_retry_after(state, target, head.headers.find(kRetryAfterHeader));
  }
  if (head.headers.contains(dialect.leaving_header)) {
    record_leaving(state, target, head.headers.find(dialect.leaving_header));
  }
  if (head.status != http_status::kMisdirectedRequest) {
    record_rate_limit(state, dialect, response);
  }
}

}  // namespace larchlever::node
