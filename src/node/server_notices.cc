#include "node/server_notices.h"

#include "core/base/http_status.h"
#include "core/requests/retry_after.h"
#include "core/requests/server_limit.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace {

constexpr std::string_view kLeaves = "1";

void note_rest(EntryState& state, const fleet::DispatchTarget& target, std::string_view value) {
  const auto asked = requests::parse_retry_after(value);
  state.dispatcher.note_retry_after(monotonic_now(), target, asked.rest);
  log_event("", "server_asked_for_rest",
            {{"instance", target.incarnation},
             {"rest_ms", std::to_string(asked.rest / milliseconds(1))},
             {"value", std::string(value)},
             {"is_exact", asked.reading == requests::RetryAfterReading::kExact ? "yes" : "no"}});
}

void note_leaving(EntryState& state, const fleet::DispatchTarget& target, std::string_view value) {
  if (value != kLeaves) {
    log_problem("", "leaving_not_understood",
                {{"instance", target.incarnation},
                 {"value", std::string(value)},
                 {"remedy", "a server that leaves says 1; it is used on"}});
    return;
  }
  if (state.dispatcher.note_leaving(monotonic_now(), target)) {
    log_event("", "server_leaves", {{"instance", target.incarnation}});
  }
}

std::vector<std::string_view> values_of(const net::Headers& headers, const std::string& name) {
  std::vector<std::string_view> values;
  for (const auto& [header, value] : headers.all()) {
    if (net::equals_ignoring_case(header, name)) {
      values.emplace_back(value);
    }
  }
  return values;
}

void note_limit(EntryState& state, const Dialect& dialect, const ServerAnswer& answer) {
  const auto& [target, sent_at, head] = answer;
  const auto values = values_of(head.headers, dialect.limit);
  if (values.empty()) {
    // Without the server's signature another may have answered in its place.
    const bool is_of_server = head.headers.contains(dialect.signature);
    if (is_of_server && state.dispatcher.note_limit({target.incarnation, std::nullopt, sent_at})) {
      log_event("", "server_limit_ended", {{"instance", target.incarnation}});
    }
    return;
  }
  const auto limit = requests::parse_server_limit(values);
  if (!limit.per_second) {
    log_problem("", "server_limit_not_understood",
                {{"instance", target.incarnation},
                 {"value", std::string(values.front())},
                 {"headers", std::to_string(values.size())},
                 {"remedy", "one header with a decimal number; the limit that was held before holds on"}});
    return;
  }
  if (state.dispatcher.note_limit({target.incarnation, limit.per_second, monotonic_now()})) {
    log_event("", "server_limit_named",
              {{"instance", target.incarnation},
               {"per_second", std::to_string(*limit.per_second)},
               {"value", std::string(values.front())},
               {"is_exact", limit.reading == requests::ServerLimitReading::kExact ? "yes" : "no"}});
  }
}

}  // namespace

void note_server_notices(EntryState& state, const Dialect& dialect, const ServerAnswer& answer) {
  const auto& [target, sent_at, head] = answer;
  const bool turns_away =
      head.status == http_status::kServiceUnavailable || head.status == http_status::kTooManyRequests;
  if (turns_away && head.headers.contains(kRetryAfter)) {
    note_rest(state, target, head.headers.find(kRetryAfter));
  }
  if (head.headers.contains(dialect.leaving)) {
    note_leaving(state, target, head.headers.find(dialect.leaving));
  }
  if (head.status != http_status::kMisdirectedRequest) {
    note_limit(state, dialect, answer);
  }
}

}  // namespace larchlever::node
