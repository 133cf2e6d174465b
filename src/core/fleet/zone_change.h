#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// Returns whether the caller that sent a call still waits for its answer. Empty if that is not known.
using IsCallerWaiting = std::function<bool()>;

bool is_zone_change(const wire::ControlCall& call);

/// An operator's call that evacuates or restores a zone, at the control replica that received it.
///
/// Such a call carries no version. It must not take effect after a later call that another replica acknowledged,
/// however late a suspended process or a broken link delivers it or a copy of it. Therefore it takes two steps: the
/// replica asks the leader for its last zone change; then, if the caller still waits, it forwards the call with that
/// change as the expected one. The leader rejects a call whose expected change is no longer its last one, and the steps
/// are repeated. Pure: no clock, no I/O.
class ZoneChange {
 public:
  ZoneChange(wire::ControlCall call, IsCallerWaiting is_caller_waiting)
      : call_(std::move(call)), is_caller_waiting_(std::move(is_caller_waiting)) {}

  /// Id of the operator's call at this replica.
  int64_t id() const { return call_.id; }
  /// The call that asks the leader for its last zone change.
  wire::ControlCall make_query() const;
  /// Returns the call to forward next, or the reply to the operator, after the leader's `reply` to `forwarded`.
  std::variant<wire::ControlCall, wire::ControlCallReply> continue_after(const wire::ControlCall& forwarded,
                                                                         const wire::ControlCallReply& reply) const;

 private:
  wire::ControlCall make_change(const wire::ControlCallReply& query_reply) const;
  wire::ControlCallReply make_reply(int status, std::string body) const;

  wire::ControlCall call_;
  IsCallerWaiting is_caller_waiting_;
};

}  // namespace larchlever::fleet
