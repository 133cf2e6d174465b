#include "core/fleet/fleet_subscription.h"

#include <algorithm>
#include <utility>

#include "core/fleet/document_log.h"
#include "core/fleet/state_history.h"

namespace larchlever::fleet {

namespace {

/// Unanswered questions remembered; an answer to an older one extends no lease.
constexpr size_t kRememberedQuestions = 64;
/// While nobody leads as far as we know, one replica after the other is asked at this pace.
constexpr Duration kSearchInterval = milliseconds(50);

std::pair<int64_t, int64_t> order_of(const wire::FleetState& state) { return {state.term, state.version}; }

}  // namespace

FleetSubscription::FleetSubscription(const FleetOptions& options, FleetIdentity identity,
                                     std::vector<std::string> seeds)
    : options_(options), identity_(std::move(identity)) {
  add_peers(seeds);
}

void FleetSubscription::add_peers(const std::vector<std::string>& peers) {
  for (const auto& peer : peers) {
    if (!peer.empty() && std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) {
      peers_.push_back(peer);
    }
  }
}

void FleetSubscription::choose_next_target() {
  if (peers_.empty()) {
    return;
  }
  leader_ = peers_[next_peer_++ % peers_.size()];
}

void FleetSubscription::hint_leader(const std::string& leader) {
  if (!leader.empty() && leader != leader_) {
    add_peers({leader});
    leader_ = leader;
    is_hinted_ = true;
    next_heartbeat_ = TimePoint::min();
  }
}

bool FleetSubscription::is_searching(TimePoint now) const {
  return last_answer_ == TimePoint::min() || now - last_answer_ > options_.heartbeat_patience;
}

std::optional<wire::Envelope> FleetSubscription::tick(TimePoint now, const wire::FleetHeartbeat& content) {
  if (now < next_heartbeat_) {
    return std::nullopt;
  }
  const bool searching = is_searching(now);
  if (leader_.empty() || (searching && !std::exchange(is_hinted_, false))) {
    choose_next_target();
  }
  next_heartbeat_ = now + (searching ? kSearchInterval : options_.heartbeat_interval);
  wire::Envelope envelope;
  envelope.to_node = leader_;
  envelope.__set_fleet_heartbeat(content);
  auto& heartbeat = envelope.fleet_heartbeat;
  heartbeat.sequence = next_sequence_++;
  heartbeat.zone = identity_.zone;
  heartbeat.control_address = identity_.control_address;
  heartbeat.serves_requests = identity_.serves_requests;
  heartbeat.document_version = document_version_;
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

bool FleetSubscription::receive(TimePoint now, const wire::Envelope& envelope) {
  const auto& update = envelope.fleet_update;
  add_peers(update.control_peers);
  if (update.not_leader) {
    const bool is_news = envelope.from_node == leader_ || is_searching(now);
    if (is_news && update.leader != envelope.from_node) {
      hint_leader(update.leader);
    }
    if (envelope.from_node == leader_) {
      choose_next_target();
    }
    return false;
  }
  last_answer_ = now;
  leader_ = envelope.from_node;
  loads_ = update.loads;
  serving_nodes_ = std::max(1, update.serving_nodes);
  send_state_ = update.wants_state && state_.term > 0;
  bool changed = false;
  if (update.__isset.document && update.document.version > document_version_) {
    if (auto content = unpack_document(update.document)) {
      document_version_ = update.document.version;
      document_ = std::move(*content);
      changed = true;
    }
  }
  if (update.__isset.state && order_of(update.state) > order_of(state_)) {
    state_ = update.state;
    changed = true;
  }
  if (update.__isset.state_change) {
    changed = apply_change(state_, update.state_change) || changed;
  }
  const auto asked = asked_at_.find(update.sequence);
  if (asked != asked_at_.end() && document_version_ >= update.document_version) {
    lease_from_ = std::max(lease_from_, asked->second);
    asked_at_.erase(asked_at_.begin(), std::next(asked));
  }
  if (update.wants_confirmation || update.__isset.document || send_state_) {
    next_heartbeat_ = TimePoint::min();
  }
  return changed;
}

void FleetSubscription::restore_state(const wire::FleetState& state) {
  if (std::pair(state.term, state.version) > std::pair(state_.term, state_.version)) {
    state_ = state;
  }
}

bool FleetSubscription::has_lease(TimePoint now) const {
  return lease_from_ != TimePoint::min() && document_version_ > 0 && now - lease_from_ < options_.document_lease;
}

}  // namespace larchlever::fleet
