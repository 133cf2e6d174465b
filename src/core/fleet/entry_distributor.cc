#include "core/fleet/entry_distributor.h"

#include <set>
#include <utility>

#include "core/fleet/entry_view.h"
#include "core/fleet/relay_peers.h"

namespace larchlever::fleet {

namespace {

/// Relay peers that one entry is told of.
constexpr size_t kRelayPeersPerEntry = 8;
/// How often an entry is told of its relay peers.
constexpr Duration kRelayPeerInterval = milliseconds(500);
/// How long the list is used from which all entries' peers are selected.
constexpr Duration kRelayCandidateLifetime = milliseconds(250);
/// Relay peers of one replica that the other replicas are told of.
constexpr size_t kSharedRelayPeers = 16;

}  // namespace

void EntryDistributor::publish_state(const wire::FleetState& state) {
  const std::pair state_version(state.term, state.version);
  if (state_version <= published_version_) {
    return;
  }
  if (state.term != published_version_.first) {
    subscribers_.start_term(state.term);
  }
  published_version_ = state_version;
  subscribers_.publish(make_entry_view(state));
}

wire::FleetUpdate EntryDistributor::make_update(TimePoint now, const std::string& node,
                                                const DistributorSource& source) {
  const auto& subscription = source.subscription;
  wire::FleetUpdate update;
  update.leader = source.leader;
  update.term = published_version_.first;
  update.document_version = subscription.document_version();
  update.evacuation_revision = subscription.evacuations().revision;
  update.confirmed_age_ms = subscription.confirmed_age_ms(now);
  update.serving_nodes = subscription.serving_nodes();
  set_no_document_age(now, subscription.no_document_until(), update);
  subscribers_.add_document(now, node, subscription.packed_document(), update);
  subscribers_.add_evacuations(node, subscription.evacuations(), update);
  subscribers_.add_state(now, node, update);
  return update;
}

std::vector<wire::RelayPeer> EntryDistributor::relay_peers_to_share(TimePoint now, const std::string& replica) const {
  return select_relay_peers(subscribers_.relay_peers(now), replica, "", kSharedRelayPeers);
}

const std::vector<wire::RelayPeer>& EntryDistributor::relay_candidates(TimePoint now,
                                                                       const FleetSubscription& subscription) {
  if (now < relay_candidates_until_) {
    return relay_candidates_;
  }
  relay_candidates_until_ = now + kRelayCandidateLifetime;
  relay_candidates_ = subscribers_.relay_peers(now);
  std::set<std::string> known;
  for (const auto& peer : relay_candidates_) {
    known.insert(peer.address);
  }
  for (const auto& peer : subscription.relay_peers()) {
    if (known.insert(peer.address).second) {
      relay_candidates_.push_back(peer);
    }
  }
  return relay_candidates_;
}

void EntryDistributor::add_relay_peers(TimePoint now, const wire::Envelope& heartbeat,
                                       const FleetSubscription& subscription, wire::FleetUpdate& update) {
  if (subscribers_.take_relay_peers_due(now, heartbeat.from_node, kRelayPeerInterval)) {
    const auto& report = heartbeat.fleet_heartbeat;
    update.__set_relay_peers(select_relay_peers(relay_candidates(now, subscription), heartbeat.from_node, report.zone,
                                                kRelayPeersPerEntry, report.relay_address));
  }
}

void EntryDistributor::send(const std::string& node, wire::FleetUpdate update) {
  wire::Envelope envelope;
  envelope.to_node = node;
  envelope.__isset.fleet_update = true;
  envelope.fleet_update = std::move(update);
  envelopes_.push_back(std::move(envelope));
}

void EntryDistributor::handle_heartbeat(TimePoint now, const wire::Envelope& envelope,
                                        const DistributorSource& source) {
  if (!subscribers_.record_heartbeat(now, envelope)) {
    return;
  }
  publish_state(source.subscription.state());
  auto update = make_update(now, envelope.from_node, source);
  update.sequence = envelope.fleet_heartbeat.sequence;
  update.control_peers = source.control_peers;
  add_relay_peers(now, envelope, source.subscription, update);
  if (envelope.fleet_heartbeat.wants_loads) {
    update.loads = source.subscription.loads();
  }
  send(envelope.from_node, std::move(update));
}

void EntryDistributor::push_updates(TimePoint now, const DistributorSource& source, bool wants_confirmation) {
  publish_state(source.subscription.state());
  const bool leader_changed = !source.leader.empty() && source.leader != announced_leader_;
  if (leader_changed) {
    announced_leader_ = source.leader;
  }
  const LogRevisions newest{source.subscription.document_version(), source.subscription.evacuations().revision};
  const auto nodes = leader_changed ? subscribers_.live_nodes(now) : subscribers_.nodes_to_update(now, newest);
  for (const auto& node : nodes) {
    auto update = make_update(now, node, source);
    update.wants_confirmation = wants_confirmation;
    send(node, std::move(update));
  }
}

std::vector<wire::Envelope> EntryDistributor::take_envelopes() { return std::exchange(envelopes_, {}); }

}  // namespace larchlever::fleet
