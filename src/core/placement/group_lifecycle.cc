#include "core/placement/group_lifecycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace larchlever::placement {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Planned : front::state<> {};
struct Loading : front::state<> {};
struct Ready : front::state<> {};
struct Serving : front::state<> {};
struct Draining : front::state<> {};
struct Releasing : front::state<> {};
struct Gone : front::state<> {};

struct OrdersSent {};
struct AllLoaded {};
struct Serve {};
struct Drain {};
struct Drained {};
struct MemberLost {};
struct AllReleased {};

// Boost.MSM requires these names.
// NOLINTBEGIN(readability-identifier-naming)
struct LifecycleDefinition : front::state_machine_def<LifecycleDefinition> {
  using initial_state = Planned;
  struct transition_table
      : boost::mpl::vector<
            Row<Planned, OrdersSent, Loading, none, none>, Row<Planned, Drain, Releasing, none, none>,
            Row<Planned, MemberLost, Releasing, none, none>, Row<Loading, AllLoaded, Ready, none, none>,
            Row<Loading, Drain, Releasing, none, none>, Row<Loading, MemberLost, Releasing, none, none>,
            Row<Ready, Serve, Serving, none, none>, Row<Ready, Drain, Releasing, none, none>,
            Row<Ready, MemberLost, Releasing, none, none>, Row<Serving, Drain, Draining, none, none>,
            Row<Serving, MemberLost, Releasing, none, none>, Row<Draining, Drained, Releasing, none, none>,
            Row<Draining, MemberLost, Releasing, none, none>, Row<Releasing, AllReleased, Gone, none, none>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};
// NOLINTEND(readability-identifier-naming)

using Lifecycle = boost::msm::back::state_machine<LifecycleDefinition>;

constexpr size_t kStateCount = 7;
constexpr size_t kEventCount = 7;

void send_event(Lifecycle& machine, GroupEvent event) {
  switch (event) {
    case GroupEvent::kOrdersSent:
      machine.process_event(OrdersSent{});
      break;
    case GroupEvent::kAllLoaded:
      machine.process_event(AllLoaded{});
      break;
    case GroupEvent::kServe:
      machine.process_event(Serve{});
      break;
    case GroupEvent::kDrain:
      machine.process_event(Drain{});
      break;
    case GroupEvent::kDrained:
      machine.process_event(Drained{});
      break;
    case GroupEvent::kMemberLost:
      machine.process_event(MemberLost{});
      break;
    case GroupEvent::kAllReleased:
      machine.process_event(AllReleased{});
      break;
  }
}

/// Transition table of the state machine, built once by visiting all states from the initial one. It is needed because
/// a stored group has only the number of its state, and MSM cannot start a state machine in a given state.
class TransitionTable {
 public:
  TransitionTable() {
    Lifecycle machine;
    machine.start();
    visit_state(machine);
  }

  std::optional<wire::GroupState::type> next(size_t state, size_t event) const {
    const int next = table_.at(state).at(event);
    return next < 0 ? std::nullopt : std::optional(static_cast<wire::GroupState::type>(next));
  }

 private:
  // MSM numbers the states by first appearance in the transition table, sources before targets. This order matches
  // wire::GroupState.
  void visit_state(const Lifecycle& machine) {
    const auto state = static_cast<size_t>(machine.current_state()[0]);
    if (visited_.at(state)) {
      return;
    }
    visited_.at(state) = true;
    for (size_t event = 0; event < kEventCount; ++event) {
      Lifecycle copy = machine;
      send_event(copy, static_cast<GroupEvent>(event));
      const int state_after = copy.current_state()[0];
      table_.at(state).at(event) = state_after == static_cast<int>(state) ? -1 : state_after;
      visit_state(copy);
    }
  }

  std::array<std::array<int, kEventCount>, kStateCount> table_{};
  std::array<bool, kStateCount> visited_{};
};

const TransitionTable& transitions() {
  static const TransitionTable table;
  return table;
}

}  // namespace

std::optional<wire::GroupState::type> next_state(wire::GroupState::type state, GroupEvent event) {
  return transitions().next(static_cast<size_t>(state), static_cast<size_t>(event));
}

std::optional<GroupEvent> find_event(wire::GroupState::type from, wire::GroupState::type to) {
  for (size_t event = 0; event < kEventCount; ++event) {
    if (next_state(from, static_cast<GroupEvent>(event)) == to) {
      return static_cast<GroupEvent>(event);
    }
  }
  return std::nullopt;
}

}  // namespace larchlever::placement
