#include "core/fleet/fleet_subscription.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/fleet/fleet_log.h"
#include "core/fleet/state_history.h"

namespace larchlever::fleet {

namespace {

/// Unanswered questions remembered; an answer to an older one extends no lease.
constexpr size_t kRememberedQuestions = 64;
/// While nobody answers, one replica after the other is asked at this pace.
constexpr Duration kSearchInterval = milliseconds(50);
/// While only replicas answer that hear no leader, entries ask one after the other at this pace: five in half a second,
/// and no flood on replicas that are busy electing.
constexpr Duration kStaleSearchInterval = milliseconds(100);
/// An entry that found another replica than the one it prefers asks that one again at this pace.
constexpr Duration kReturnInterval = seconds(2);

std::pair<int64_t, int64_t> order_of(const wire::FleetState& state) { return {state.term, state.version}; }

}  // namespace

FleetSubscription::FleetSubscription(const FleetOptions& options, FleetIdentity identity,
                                     std::vector<std::string> seeds)
    : options_(options), identity_(std::move(identity)), peers_(identity_.peer_address, identity_.zone) {
  add_peers(seeds);
}

void FleetSubscription::add_peers(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses) {
    wire::ControlPeer peer;
    peer.address = address;
    peers_.add(peer);
  }
}

void FleetSubscription::add_peers(const std::vector<wire::ControlPeer>& peers) {
  for (const auto& peer : peers) {
    peers_.add(peer);
  }
}

void FleetSubscription::hint_leader(const std::string& leader) {
  if (!leader.empty() && leader != leader_) {
    wire::ControlPeer peer;
    peer.address = leader;
    peers_.add(peer);
    leader_ = leader;
    is_hinted_ = true;
    report_now();
  }
}

bool FleetSubscription::is_searching(TimePoint now) const {
  return last_answer_ == TimePoint::min() || now - last_answer_ > options_.heartbeat_timeout;
}

bool FleetSubscription::is_stale(TimePoint now) const {
  return leader_word_ == TimePoint::min() || now - leader_word_ > options_.publisher_timeout;
}

Duration FleetSubscription::interval(TimePoint now) const {
  if (is_searching(now)) {
    return kSearchInterval;
  }
  if (!is_entry()) {
    return options_.heartbeat_interval;
  }
  return is_stale(now) ? kStaleSearchInterval : options_.entry_heartbeat_interval;
}

std::string FleetSubscription::choose_target(TimePoint now) {
  if (!is_entry()) {
    if (leader_.empty() || (is_searching(now) && !std::exchange(is_hinted_, false))) {
      leader_ = peers_.next();
    }
    return leader_;
  }
  if (publisher_.empty() || is_searching(now) || is_stale(now)) {
    publisher_ = peers_.next();
    return publisher_;
  }
  if (publisher_ != peers_.preferred() && now >= next_return_try_) {
    next_return_try_ = now + kReturnInterval;
    return peers_.preferred();
  }
  return publisher_;
}

std::optional<wire::Envelope> FleetSubscription::tick(TimePoint now, const wire::FleetHeartbeat& content) {
  if (now < next_heartbeat_) {
    return std::nullopt;
  }
  next_heartbeat_ = now + interval(now);
  wire::Envelope envelope;
  envelope.to_node = choose_target(now);
  if (!is_searching(now)) {
    asked_in_search_.clear();
  }
  ++asked_in_search_[envelope.to_node];
  envelope.__set_fleet_heartbeat(content);
  auto& heartbeat = envelope.fleet_heartbeat;
  heartbeat.sequence = next_sequence_++;
  heartbeat.zone = identity_.zone;
  heartbeat.control_address = identity_.control_address;
  heartbeat.serves_requests = identity_.serves_requests;
  heartbeat.document_version = document_.version;
  heartbeat.evacuation_revision = evacuations_.revision;
  heartbeat.held_term = state_.term;
  heartbeat.held_version = state_.version;
  if (std::exchange(send_state_, false)) {
    heartbeat.__set_held_state(state_);
  }
  asked_at_[heartbeat.sequence] = now;
  if (asked_at_.size() > kRememberedQuestions) {
    asked_at_.erase(asked_at_.begin());
  }
  return envelope;
}

void FleetSubscription::receive_not_leader(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  const bool is_news = envelope.from_node == leader_ || is_searching(now);
  if (is_news && update.leader != envelope.from_node) {
    hint_leader(update.leader);
  }
  if (envelope.from_node == leader_) {
    // Only the next question moves on to another replica. Moving on here as well would ask every other one of an even
    // number of replicas, over and over, and perhaps never the leader.
    leader_.clear();
  }
}

void FleetSubscription::note_answer(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  if (!is_entry()) {
    last_answer_ = now;
    leader_ = envelope.from_node;
    return;
  }
  if (!update.leader.empty()) {
    leader_ = update.leader;
  }
  // What counts is how old the leader's word is, not when it was passed on: else an entry would stay with a replica
  // that lost its leader for twice its patience, and miss a configuration that is confirmed meanwhile.
  const Duration age = milliseconds(update.confirmed_age_ms);
  const bool is_fresh = update.confirmed_age_ms >= 0 && age < options_.publisher_timeout;
  if (update.sequence == 0 && envelope.from_node != publisher_) {
    return;  // A push of a replica that was left.
  }
  last_answer_ = now;
  if (!is_fresh) {
    return;
  }
  const bool is_better = is_stale(now) || envelope.from_node == peers_.preferred();
  if (is_better && envelope.from_node != publisher_) {
    publisher_ = envelope.from_node;
    next_return_try_ = now + kReturnInterval;
  }
  leader_word_ = std::max(leader_word_, now - age);
  peers_.restart();
}

bool FleetSubscription::take_content(const wire::FleetUpdate& update) {
  bool changed = false;
  if (update.__isset.document && update.document.version > document_.version) {
    if (auto content = unpack_document(update.document)) {
      document_ = update.document;
      document_content_ = std::move(*content);
      changed = true;
    }
  }
  if (update.__isset.evacuations && update.evacuations.revision > evacuations_.revision) {
    evacuations_ = update.evacuations;
    changed = true;
  }
  if (update.__isset.state && order_of(update.state) > order_of(state_)) {
    state_ = update.state;
    changed = true;
  }
  if (update.__isset.state_change) {
    changed = apply_change(state_, update.state_change) || changed;
  }
  return changed;
}

void FleetSubscription::extend_lease(const wire::FleetUpdate& update) {
  const auto asked = asked_at_.find(update.sequence);
  const bool holds_newest =
      document_.version >= update.document_version && evacuations_.revision >= update.evacuation_revision;
  const bool is_confirmed = update.confirmed_age_ms >= 0 && holds_newest;
  if (asked == asked_at_.end() || !is_confirmed) {
    return;
  }
  // The sender counts its age when it answers, which is no earlier than we asked.
  lease_from_ = std::max(lease_from_, asked->second - milliseconds(update.confirmed_age_ms));
  asked_at_.erase(asked_at_.begin(), std::next(asked));
}

void FleetSubscription::note_serving_nodes(TimePoint now, int count) {
  // A publisher that has just started knows few: shares of budgets must not grow by that, so the most nodes heard of
  // within the budgets' window count.
  const bool is_old = serving_nodes_since_ == TimePoint::min() || now - serving_nodes_since_ > options_.retry_window;
  if (count >= serving_nodes_ || is_old) {
    serving_nodes_ = std::max(1, count);
    serving_nodes_since_ = now;
  }
}

bool FleetSubscription::receive(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  add_peers(update.control_peers);
  if (update.not_leader) {
    receive_not_leader(now, envelope);
    return false;
  }
  note_answer(now, envelope);
  if (!update.loads.empty() || !is_entry()) {
    loads_ = update.loads;
  }
  note_serving_nodes(now, update.serving_nodes);
  send_state_ = update.wants_state && state_.term > 0;
  const bool changed = take_content(update);
  extend_lease(update);
  if (update.wants_confirmation || update.__isset.document || update.__isset.evacuations || send_state_) {
    report_now();
  }
  return changed;
}

void FleetSubscription::restore_state(const wire::FleetState& state) {
  if (order_of(state) > order_of(state_)) {
    state_ = state;
  }
}

bool FleetSubscription::has_lease(TimePoint now) const {
  return lease_from_ != TimePoint::min() && document_.version > 0 && now - lease_from_ < options_.document_lease;
}

int64_t FleetSubscription::answer_age_ms(TimePoint now) const {
  return last_answer_ == TimePoint::min() ? std::numeric_limits<int64_t>::max()
                                          : (now - last_answer_) / milliseconds(1);
}

int64_t FleetSubscription::confirmed_age_ms(TimePoint now) const {
  if (lease_from_ == TimePoint::min() || document_.version == 0) {
    return -1;
  }
  return (now - lease_from_) / milliseconds(1) + 1;
}

}  // namespace larchlever::fleet
