#pragma once

#include <optional>

#include "larchlever_types.h"

namespace larchlever::placement {

enum class GroupEvent {
  kOrdersSent,   ///< The load order was confirmed by every member.
  kAllLoaded,    ///< Every member was seen with the weights of this epoch loaded.
  kServe,        ///< The group is opened for requests.
  kDrain,        ///< The group is to be removed as planned and takes no new requests.
  kDrained,      ///< No in-flight requests remain, or the drain timeout expired.
  kMemberLost,   ///< A member died, was not seen within the presence bound, or restarted with another incarnation.
  kAllReleased,  ///< Every member confirmed its release or is known to be dead.
};

/// The life cycle of a group as a Boost.MSM state machine: planned, loading, ready, serving, draining, releasing, gone.
/// These functions are pure; the current state is stored in the group's record.

/// The state that follows `state` on `event`; empty if the event is not allowed in `state`.
std::optional<wire::GroupState::type> next_state(wire::GroupState::type state, GroupEvent event);

/// The event that leads directly from state `from` to `to`, if any.
std::optional<GroupEvent> find_event(wire::GroupState::type from, wire::GroupState::type to);

}  // namespace larchlever::placement
