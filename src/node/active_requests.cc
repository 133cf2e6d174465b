#include "node/active_requests.h"

#include "node/logging.h"

namespace larchlever::node {

void ActiveRequests::log_cut_off(TimePoint now, TimePoint shutdown_began_at) const {
  for (const auto* request : requests_) {
    const bool is_sent = request->main_attempt != nullptr;
    log_warning("", "request_cut_off",
                {{"request", request->id},
                 {"route", request->route == nullptr ? "" : request->route->name},
                 {"held_ms", std::to_string((now - request->received_at) / milliseconds(1))},
                 {"received_after_ms", std::to_string((request->received_at - shutdown_began_at) / milliseconds(1))},
                 {"target", is_sent ? request->last_target : ""},
                 {"response_started", request->response_started ? "yes" : "no"},
                 {"ended_attempts", join_items(request->ended_attempts)},
                 {"relayed_for", request->relayed_for}});
  }
}

}  // namespace larchlever::node
