#include "node/server_notices.h"

#include "core/base/http_status.h"
#include "core/requests/retry_after.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace {

constexpr std::string_view kLeaves = "1";

void note_rest(EntryState& state, const fleet::Target& target, std::string_view value) {
  const auto asked = requests::parse_retry_after(value);
  state.dispatcher.note_rest(monotonic_now(), target, asked.rest);
  log_event("", "server_asked_for_rest",
            {{"instance", target.incarnation},
             {"rest_ms", std::to_string(asked.rest / milliseconds(1))},
             {"value", std::string(value)},
             {"is_exact", asked.reading == requests::RetryAfterReading::kExact ? "yes" : "no"}});
}

void note_leaving(EntryState& state, const fleet::Target& target, std::string_view value) {
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

}  // namespace

void note_server_notices(EntryState& state, const Dialect& dialect, const fleet::Target& target,
                         const net::HttpResponse& head) {
  const bool turns_away =
      head.status == http_status::kServiceUnavailable || head.status == http_status::kTooManyRequests;
  if (turns_away && head.headers.contains(kRetryAfter)) {
    note_rest(state, target, head.headers.find(kRetryAfter));
  }
  if (head.headers.contains(dialect.leaving)) {
    note_leaving(state, target, head.headers.find(dialect.leaving));
  }
}

}  // namespace larchlever::node
