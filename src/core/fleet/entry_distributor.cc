#include "core/fleet/entry_distributor.h"

#include <algorithm>
#include <utility>

#include "core/fleet/entry_view.h"
#include "core/fleet/relay_peers.h"

namespace larchlever::fleet {

namespace {

/// Relay peers that one entry is told of. They are repeated with each answer, so that an entry always has current ones.
constexpr size_t kRelayPeersPerEntry = 8;
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

std::vector<wire::RelayPeer> EntryDistributor::relay_peers_for(TimePoint now, const wire::Envelope& heartbeat,
                                                               const FleetSubscription& subscription) const {
  auto candidates = subscribers_.relay_peers(now);
  for (const auto& peer : subscription.relay_peers()) {
    const bool is_known = std::any_of(candidates.begin(), candidates.end(),
                                      [&peer](const auto& known) { return known.address == peer.address; });
    if (!is_known) {
      candidates.push_back(peer);
    }
  }
  const auto& report = heartbeat.fleet_heartbeat;
  std::erase_if(candidates, [&report](const auto& peer) { return peer.address == report.relay_address; });
  return select_relay_peers(candidates, heartbeat.from_node, report.zone, kRelayPeersPerEntry);
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
  update.__set_relay_peers(relay_peers_for(now, envelope, source.subscription));
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
