#include "node/active_requests.h"

#include <algorithm>

#include "node/logging.h"

namespace larchlever::node {

namespace {

constexpr std::string_view kShutdownCause = "this process is shutting down";

}  // namespace

void ActiveRequests::log_cut_off(const RelayedRequest& request, TimePoint now, TimePoint shutdown_began_at) {
  log_warning("", "request_cut_off",
              {{"request", request.id},
               {"route", request.route == nullptr ? "" : request.route->name},
               {"held_ms", std::to_string((now - request.received_at) / milliseconds(1))},
               {"received_after_ms", std::to_string((request.received_at - shutdown_began_at) / milliseconds(1))},
               {"target", request.main_attempt == nullptr ? "" : request.last_target},
               {"response_started", request.response_started ? "yes" : "no"},
               {"ended_attempts", join_items(request.ended_attempts)},
               {"relayed_for", request.relayed_for}});
}

void ActiveRequests::cut_off(TimePoint now, TimePoint shutdown_began_at) {
  for (auto* request : requests_) {
    log_cut_off(*request, now, shutdown_began_at);
    request->deadline = std::min(request->deadline, now);
    if (request->hedge != nullptr) {
      request->hedge->abandon(kShutdownCause);
    }
    if (request->main_attempt != nullptr) {
      request->main_attempt->cancellation->cancel(kShutdownCause);
    }
  }
}

}  // namespace larchlever::node
