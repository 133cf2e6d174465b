#include "node/sendings_under_way.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// A group that brings nothing to any of this entry's requests for this long stands still.
constexpr Duration kGroupStall = milliseconds(900);
constexpr Duration kGroupStallEach = milliseconds(100);

}  // namespace

void SendingsUnderWay::begin(const RelayedRequest& request, const fleet::DispatchTarget& target) {
  by_target_[target.key][request.cancellation] = request.due;
}

void SendingsUnderWay::end(const RelayedRequest& request, const fleet::DispatchTarget& target) {
  auto& sendings = by_target_[target.key];
  sendings.erase(request.cancellation);
  if (sendings.empty()) {
    by_target_.erase(target.key);
  }
}

SendingsUnderWay::Sendings SendingsUnderWay::sendings_at(const std::string& target_key) const {
  const auto found = by_target_.find(target_key);
  return found == by_target_.end() ? Sendings() : found->second;
}

void SendingsUnderWay::note_failure(const fleet::DispatchTarget& target, TimePoint now) {
  if (!state_.dispatcher.note_failure(now, target)) {
    return;
  }
  ++state_.counters.stalls;
  if (!target.group.empty()) {
    cancel_all_at(target, now);
  }
}

void SendingsUnderWay::cancel_all_at(const fleet::DispatchTarget& target, TimePoint now) {
  int left = state_.dispatcher.remaining_retries(now, target.service);
  for (const auto& [cancellation, due] : sendings_at(target.key)) {
    if (left-- <= 0) {
      return;
    }
    cancellation->cancel();
  }
}

void SendingsUnderWay::abandon_stalled(TimePoint now) {
  for (const auto& target : state_.dispatcher.stalled_groups(now, kGroupStall, kGroupStallEach)) {
    ++state_.counters.stalls;
    log_event("", "group_stalled", {{"group", target.group}, {"requests", std::to_string(target.in_flight)}});
    state_.dispatcher.avoid_target(now, target.key);
    cancel_all_at(target, now);
  }
}

void SendingsUnderWay::abandon_failed(TimePoint now, const std::string& group) {
  const auto target = state_.dispatcher.target_of_group(now, group);
  if (!target) {
    return;  // Avoided already, or gone.
  }
  ++state_.counters.stalls;
  log_event("", "group_failed", {{"group", group}, {"requests", std::to_string(sendings_at(target->key).size())}});
  state_.dispatcher.avoid_target(now, target->key);
  cancel_all_at(*target, now);
}

void SendingsUnderWay::abandon_lost(const std::string& target_key) {
  const auto lost = sendings_at(target_key);
  if (lost.empty()) {
    return;
  }
  log_event("", "server_started_again", {{"target", target_key}, {"requests", std::to_string(lost.size())}});
  for (const auto& [cancellation, due] : lost) {
    cancellation->cancel();
  }
}

void SendingsUnderWay::abandon_overdue(TimePoint now) {
  const auto by_target = by_target_;
  for (const auto& [key, sendings] : by_target) {
    for (const auto& [cancellation, due] : sendings) {
      if (due <= now) {
        cancellation->cancel();
      }
    }
  }
}

}  // namespace larchlever::node
