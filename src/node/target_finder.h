#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <variant>

#include "node/entry_state.h"
#include "node/relayed_request.h"
#include "node/slot_requester.h"

namespace larchlever::node {

/// The caller left while its request waited.
struct CallerGone {};

/// Where a request goes, or why it goes nowhere.
using FoundTarget = std::variant<fleet::Target, Refusal, CallerGone>;

/// Finds the target of each sending: by the leader's slots for engine groups, by the entry's own choice for plain
/// services and while no leader answers.
///
/// Guarantees: the answer comes within a fifth of the route's latency objective, counted from the request's arrival;
/// or, for a stream that has begun, while it is still due. One executor; not thread-safe.
class TargetFinder {
 public:
  TargetFinder(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slot_requester)
      : executor_(std::move(executor)), state_(state), slot_requester_(slot_requester) {}

  boost::asio::awaitable<FoundTarget> find(RelayedRequest& request);
  /// What the caller is told when every server that could run the request rests until after `until`.
  std::optional<Refusal> refusal_if_all_backing_off(const RelayedRequest& request, TimePoint until) const;

 private:
  /// What the leader said: a target, a refusal, or nothing.
  boost::asio::awaitable<std::optional<FoundTarget>> ask_leader(RelayedRequest& request, TimePoint wait_until);
  boost::asio::awaitable<FoundTarget> choose_locally(RelayedRequest& request, TimePoint wait_until);
  /// Asks the leader for a turn at one of the rated servers of the choice. Nothing where it has none and another server
  /// may serve the request.
  boost::asio::awaitable<std::optional<FoundTarget>> request_rate_permit(RelayedRequest& request,
                                                                         const fleet::Choice& choice,
                                                                         TimePoint wait_until);
  /// Why a request for which no target was found need not wait, if so.
  std::optional<Refusal> refusal_without_target(const RelayedRequest& request, const fleet::Choice& choice,
                                                TimePoint now, TimePoint wait_until) const;
  /// Until when a request may wait for a target.
  static TimePoint wait_deadline(const RelayedRequest& request);
  wire::SlotRequest make_slot_request(const RelayedRequest& request, TimePoint now, TimePoint wait_until) const;

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slot_requester_;
};

}  // namespace larchlever::node
