#include "core/fleet/fleet_subscription.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/fleet/fleet_log.h"
#include "core/fleet/state_history.h"

namespace larchlever::fleet {

namespace {

/// Number of unanswered heartbeats whose send times are kept; an answer to an older one does not extend the lease.
constexpr size_t kMaxUnansweredHeartbeats = 64;
/// Heartbeat interval while no replica answers; each heartbeat goes to the next replica.
constexpr Duration kSearchInterval = milliseconds(50);
/// Heartbeat interval of an entry while only replicas without a leader answer; each heartbeat goes to the next replica.
/// It reaches five replicas in half a second without overloading replicas that hold an election.
constexpr Duration kLeaderlessSearchInterval = milliseconds(100);
/// How often an entry that uses another replica tries its preferred one again.
constexpr Duration kPreferredReplicaRetryInterval = seconds(2);

std::pair<int64_t, int64_t> state_version(const wire::FleetState& state) { return {state.term, state.version}; }

}  // namespace

void set_no_document_age(TimePoint now, TimePoint no_document_until, wire::FleetUpdate& update) {
  if (no_document_until != TimePoint::min()) {
    update.__set_no_document_age_ms((now - no_document_until) / milliseconds(1) + 1);
  }
}

FleetSubscription::FleetSubscription(const FleetOptions& options, PeerIdentity identity, std::vector<std::string> seeds)
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

void FleetSubscription::set_leader_hint(const std::string& leader) {
  if (!leader.empty() && leader != leader_) {
    wire::ControlPeer peer;
    peer.address = leader;
    peers_.add(peer);
    leader_ = leader;
    has_untried_hint_ = true;
    send_heartbeat_on_next_tick();
  }
}

bool FleetSubscription::is_searching(TimePoint now) const {
  return last_answer_ == TimePoint::min() || now - last_answer_ > options_.heartbeat_timeout;
}

bool FleetSubscription::is_publisher_stale(TimePoint now) const {
  return last_leader_confirmation_ == TimePoint::min() || now - last_leader_confirmation_ > options_.publisher_timeout;
}

Duration FleetSubscription::current_heartbeat_interval(TimePoint now) const {
  if (is_searching(now)) {
    return kSearchInterval;
  }
  if (!is_entry()) {
    return options_.heartbeat_interval;
  }
  return is_publisher_stale(now) ? kLeaderlessSearchInterval : options_.entry_heartbeat_interval;
}

std::string FleetSubscription::choose_target(TimePoint now) {
  if (!is_entry()) {
    if (leader_.empty() || (is_searching(now) && !std::exchange(has_untried_hint_, false))) {
      leader_ = peers_.next_in_rotation();
    }
    return leader_;
  }
  if (publisher_.empty() || is_searching(now) || is_publisher_stale(now)) {
    publisher_ = peers_.next_in_rotation();
    return publisher_;
  }
  if (publisher_ != peers_.preferred() && now >= next_preferred_replica_retry_) {
    next_preferred_replica_retry_ = now + kPreferredReplicaRetryInterval;
    return peers_.preferred();
  }
  return publisher_;
}

std::optional<wire::Envelope> FleetSubscription::tick(TimePoint now, const wire::FleetHeartbeat& content) {
  if (now < next_heartbeat_) {
    return std::nullopt;
  }
  next_heartbeat_ = now + current_heartbeat_interval(now);
  wire::Envelope envelope;
  envelope.to_node = choose_target(now);
  if (!is_searching(now)) {
    heartbeats_in_search_.clear();
  }
  ++heartbeats_in_search_[envelope.to_node];
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
  if (std::exchange(attach_state_, false)) {
    heartbeat.__set_held_state(state_);
  }
  heartbeat_sent_at_[heartbeat.sequence] = now;
  if (heartbeat_sent_at_.size() > kMaxUnansweredHeartbeats) {
    heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
  }
  return envelope;
}

void FleetSubscription::handle_not_leader(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  const bool is_hint_useful = envelope.from_node == leader_ || is_searching(now);
  if (is_hint_useful && update.leader != envelope.from_node) {
    set_leader_hint(update.leader);
  }
  if (envelope.from_node == leader_) {
    // Only the next heartbeat advances to another replica. Advancing here as well would skip every second replica, and
    // with an even number of replicas might never reach the leader.
    leader_.clear();
  }
}

void FleetSubscription::record_answer(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  if (!is_entry()) {
    last_answer_ = now;
    leader_ = envelope.from_node;
    return;
  }
  if (!update.leader.empty()) {
    leader_ = update.leader;
  }
  // The age of the leader's confirmation counts, not the time of this answer. Otherwise an entry would stay with a
  // replica that lost its leader for twice `publisher_timeout` and miss configurations confirmed in the meantime.
  const Duration age = milliseconds(update.confirmed_age_ms);
  const bool is_confirmation_fresh = update.confirmed_age_ms >= 0 && age < options_.publisher_timeout;
  if (update.sequence == 0 && envelope.from_node != publisher_) {
    return;  // A push from a previous publisher.
  }
  last_answer_ = now;
  if (!is_confirmation_fresh) {
    return;
  }
  const bool may_switch_publisher = is_publisher_stale(now) || envelope.from_node == peers_.preferred();
  if (may_switch_publisher && envelope.from_node != publisher_) {
    publisher_ = envelope.from_node;
    next_preferred_replica_retry_ = now + kPreferredReplicaRetryInterval;
  }
  last_leader_confirmation_ = std::max(last_leader_confirmation_, now - age);
  peers_.restart_rotation();
}

bool FleetSubscription::apply_content(const wire::FleetUpdate& update) {
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
  if (update.__isset.state && state_version(update.state) > state_version(state_)) {
    state_ = update.state;
    changed = true;
  }
  if (update.__isset.state_change) {
    const bool builds_on_lost_update =
        update.state_change.term == state_.term && update.state_change.from_version > state_.version;
    missed_state_changes_ += builds_on_lost_update ? 1 : 0;
    changed = apply_change(state_, update.state_change) || changed;
  }
  return changed;
}

void FleetSubscription::extend_lease(const wire::FleetUpdate& update) {
  const auto sent = heartbeat_sent_at_.find(update.sequence);
  const bool holds_newest_versions =
      document_.version >= update.document_version && evacuations_.revision >= update.evacuation_revision;
  const bool is_confirmed = update.confirmed_age_ms >= 0 && holds_newest_versions;
  if (sent == heartbeat_sent_at_.end() || !is_confirmed) {
    return;
  }
  // The publisher computes the confirmation's age when it answers, which is not before this node sent the heartbeat.
  lease_start_ = std::max(lease_start_, sent->second - milliseconds(update.confirmed_age_ms));
  heartbeat_sent_at_.erase(heartbeat_sent_at_.begin(), std::next(sent));
}

void FleetSubscription::extend_time_without_document(const wire::FleetUpdate& update) {
  const auto sent = heartbeat_sent_at_.find(update.sequence);
  if (sent == heartbeat_sent_at_.end() || !update.__isset.no_document_age_ms) {
    return;
  }
  // As with the lease, the age counts from a time that is not after the publisher computed it.
  no_document_until_ = std::max(no_document_until_, sent->second - milliseconds(update.no_document_age_ms));
}

void FleetSubscription::update_serving_nodes(TimePoint now, int count) {
  // A publisher that has just started knows only few nodes. Shares of budgets must not grow because of that, so the
  // highest count within the budgets' window is used.
  const bool is_expired =
      serving_nodes_updated_at_ == TimePoint::min() || now - serving_nodes_updated_at_ > options_.retry_window;
  if (count >= serving_nodes_ || is_expired) {
    serving_nodes_ = std::max(1, count);
    serving_nodes_updated_at_ = now;
  }
}

bool FleetSubscription::receive(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  add_peers(update.control_peers);
  if (update.not_leader) {
    handle_not_leader(now, envelope);
    return false;
  }
  record_answer(now, envelope);
  if (!update.loads.empty() || !is_entry()) {
    loads_ = update.loads;
  }
  update_serving_nodes(now, update.serving_nodes);
  if (update.__isset.relay_peers) {
    relay_peers_ = update.relay_peers;
  }
  attach_state_ = update.wants_state && state_.term > 0;
  const bool changed = apply_content(update);
  extend_time_without_document(update);
  extend_lease(update);
  if (update.wants_confirmation || update.__isset.document || update.__isset.evacuations || attach_state_) {
    send_heartbeat_on_next_tick();
  }
  return changed;
}

void FleetSubscription::restore_state(const wire::FleetState& state) {
  if (state_version(state) > state_version(state_)) {
    state_ = state;
  }
}

bool FleetSubscription::has_lease(TimePoint now) const {
  return lease_start_ != TimePoint::min() && document_.version > 0 && now - lease_start_ < options_.document_lease;
}

int64_t FleetSubscription::last_answer_age_ms(TimePoint now) const {
  return last_answer_ == TimePoint::min() ? std::numeric_limits<int64_t>::max()
                                          : (now - last_answer_) / milliseconds(1);
}

int64_t FleetSubscription::confirmed_age_ms(TimePoint now) const {
  if (lease_start_ == TimePoint::min() || document_.version == 0) {
    return -1;
  }
  return (now - lease_start_) / milliseconds(1) + 1;
}

}  // namespace larchlever::fleet
