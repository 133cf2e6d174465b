#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "larchlever_types.h"

namespace larchlever::fleet {

bool is_zone_change(const wire::ControlCall& call);

/// An operator's call that evacuates or restores a zone, at the control replica that received it.
///
/// Such a call carries no version. It must not take effect after a later call that another replica acknowledged,
/// however late a suspended process or a broken link delivers it or a copy of it. Therefore it takes two steps: the
/// replica asks the leader for its last zone change, and forwards the call with that change as the expected one. The
/// leader rejects a call whose expected change is no longer its last one, and the steps are repeated. Pure: no clock,
/// no I/O.
class ZoneChange {
 public:
  explicit ZoneChange(wire::ControlCall call) : call_(std::move(call)) {}

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
};

}  // namespace larchlever::fleet
