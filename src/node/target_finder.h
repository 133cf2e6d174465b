#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <variant>

#include "node/entry_state.h"
#include "node/relayed_request.h"
#include "node/slot_requester.h"

namespace larchlever::node {

/// Nobody needs the target any more: the caller disconnected, or the hedge was abandoned.
struct SearchAbandoned {};

/// The target of a request, or why there is none.
using FoundTarget = std::variant<fleet::DispatchTarget, Refusal, SearchAbandoned>;

/// What one search for a target is for.
struct TargetSearch {
  /// The hedge that the search belongs to; null for the only attempt of a request. A hedge takes a target at any time
  /// before the request's deadline, but none that is silent as well.
  const Hedge* hedge = nullptr;

  bool is_over(const RelayedRequest& request) const {
    return request.caller_disconnected || (hedge != nullptr && hedge->is_abandoned);
  }
};

/// Finds the target of each attempt. For engine groups, and for plain servers if their slots are counted, the leader
/// grants slots; otherwise, and while no leader answers, the entry chooses itself.
///
/// Guarantees: returns within a fifth of the route's latency objective, or within all of it for a request that waited
/// for a configuration lease. For a stream that has started, or a hedge, returns before the request's deadline. Runs on
/// one executor; not thread-safe.
class TargetFinder {
 public:
  TargetFinder(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slot_requester)
      : executor_(std::move(executor)), state_(state), slot_requester_(slot_requester) {}

  boost::asio::awaitable<FoundTarget> find(RelayedRequest& request, const TargetSearch& search);
  /// Returns a refusal if every server that could run the request has asked for a pause that ends after `until`.
  std::optional<Refusal> refusal_if_all_backing_off(const RelayedRequest& request, TimePoint until) const;

 private:
  /// Asks the leader. Returns a target, a refusal, or nothing if the leader did not decide.
  boost::asio::awaitable<std::optional<FoundTarget>> ask_leader(RelayedRequest& request, const TargetSearch& search,
                                                                TimePoint wait_until);
  /// The same for a slot of a plain server.
  boost::asio::awaitable<std::optional<FoundTarget>> request_server_slot(RelayedRequest& request,
                                                                         const TargetSearch& search,
                                                                         TimePoint wait_until);
  boost::asio::awaitable<FoundTarget> choose_locally(RelayedRequest& request, const TargetSearch& search,
                                                     TimePoint wait_until);
  /// Asks the leader for a permit at one of the rate-limited servers of the choice. Returns nothing if there is no
  /// permit and another server may take the request.
  boost::asio::awaitable<std::optional<FoundTarget>> request_rate_permit(RelayedRequest& request,
                                                                         const TargetSearch& search,
                                                                         const fleet::DispatchDecision& choice,
                                                                         TimePoint wait_until);
  /// Returns the refusal for a request that has no target, or nothing if it may wait longer.
  std::optional<Refusal> refusal_without_target(const RelayedRequest& request, const fleet::DispatchDecision& choice,
                                                TimePoint now, TimePoint wait_until) const;
  /// The refusal of a request for which no target has room. With turn forecasts its retry time is spread at random.
  Refusal busy_refusal() const;
  /// The refusal of a request that the leader refused. `cause` is its title if the leader names a time to retry.
  Refusal refusal_from_grant(const wire::SlotGrant& grant, const char* cause) const;
  /// Returns until when a request may wait for a target.
  static TimePoint wait_deadline(const RelayedRequest& request);
  /// One search, which does not see groups that are sound again after it began.
  boost::asio::awaitable<FoundTarget> search_until(RelayedRequest& request, const TargetSearch& search,
                                                   TimePoint wait_until);
  /// Whether servers may take the request before its deadline, although none does now.
  bool may_find_later(const RelayedRequest& request) const;
  wire::SlotRequest make_slot_request(RelayedRequest& request, const TargetSearch& search, TimePoint now,
                                      TimePoint wait_until) const;

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slot_requester_;
};

}  // namespace larchlever::node
