#include "core/fleet/zone_change.h"

#include <utility>

#include "core/base/http_status.h"
#include "core/fleet/registration.h"

namespace larchlever::fleet {

bool is_zone_change(const wire::ControlCall& call) {
  return call.kind == wire::ControlCallKind::EVACUATE_ZONE || call.kind == wire::ControlCallKind::RESTORE_ZONE;
}

wire::ControlCall ZoneChange::make_query() const {
  wire::ControlCall query;
  query.kind = wire::ControlCallKind::GET_ZONES;
  return query;
}

wire::ControlCall ZoneChange::make_change(const wire::ControlCallReply& query_reply) const {
  wire::ControlCall change = call_;
  if (query_reply.__isset.last_zone_change) {  // A leader that runs an earlier version does not tell it.
    change.__set_expected_zone_change(query_reply.last_zone_change);
  }
  return change;
}

wire::ControlCallReply ZoneChange::make_reply(int status, std::string body) const {
  wire::ControlCallReply reply;
  reply.id = call_.id;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

std::variant<wire::ControlCall, wire::ControlCallReply> ZoneChange::continue_after(
    const wire::ControlCall& forwarded, const wire::ControlCallReply& reply) const {
  const bool was_query = !is_zone_change(forwarded);
  if (!was_query && reply.status == http_status::kConflict) {
    return make_query();
  }
  if (!was_query || reply.status != http_status::kOk) {
    return make_reply(reply.status, reply.body);
  }
  if (is_caller_waiting_ && !is_caller_waiting_()) {
    return make_reply(http_status::kServiceUnavailable, error_body("the caller has gone; nothing was changed"));
  }
  return make_change(reply);
}

}  // namespace larchlever::fleet
