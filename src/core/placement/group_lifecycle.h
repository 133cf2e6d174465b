#pragma once

#include <optional>

#include "larchlever_types.h"

namespace larchlever::placement {

enum class GroupEvent {
  kOrdersSent,   ///< Every member was told to load the weights.
  kAllLoaded,    ///< Every member was seen holding the weights of this epoch.
  kServe,        ///< The group is opened for requests.
  kDrain,        ///< Planned end: no new work.
  kDrained,      ///< Nothing in flight is left, or the drain's time ran out.
  kMemberLost,   ///< A member died, paused beyond the bound or came back under another incarnation.
  kAllReleased,  ///< Every member confirmed its release or is known dead.
};

/// The group's life as a Boost.MSM machine: planned, loading, ready, serving, draining, releasing, gone. Pure: the
/// state stands in the group's record; these functions only say what follows it.

/// State after `event` in `state`; nothing when the event is not allowed there.
std::optional<wire::GroupState::type> next_state(wire::GroupState::type state, GroupEvent event);

/// The event that leads from one state straight to the other, if any.
std::optional<GroupEvent> find_event(wire::GroupState::type from, wire::GroupState::type to);

}  // namespace larchlever::placement
