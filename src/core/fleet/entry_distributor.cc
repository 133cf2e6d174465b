#include "core/fleet/entry_distributor.h"

#include <utility>

#include "core/fleet/entry_view.h"

namespace larchlever::fleet {

void EntryDistributor::take_copy(const wire::FleetState& state) {
  const std::pair order(state.term, state.version);
  if (order <= taken_) {
    return;
  }
  if (state.term != taken_.first) {
    entries_.start_term(state.term);
  }
  taken_ = order;
  entries_.publish(entry_view(state));
}

wire::FleetUpdate EntryDistributor::update_for(TimePoint now, const std::string& node,
                                               const DistributorSource& source) {
  const auto& subscription = source.subscription;
  wire::FleetUpdate update;
  update.leader = source.leader;
  update.term = taken_.first;
  update.document_version = subscription.document_version();
  update.evacuation_revision = subscription.evacuations().revision;
  update.confirmed_age_ms = subscription.confirmed_age_ms(now);
  update.serving_nodes = subscription.serving_nodes();
  entries_.add_document(now, node, subscription.packed_document(), update);
  entries_.add_evacuations(node, subscription.evacuations(), update);
  entries_.add_state(now, node, update);
  return update;
}

void EntryDistributor::send(const std::string& node, wire::FleetUpdate update) {
  wire::Envelope envelope;
  envelope.to_node = node;
  envelope.__isset.fleet_update = true;
  envelope.fleet_update = std::move(update);
  envelopes_.push_back(std::move(envelope));
}

void EntryDistributor::heartbeat(TimePoint now, const wire::Envelope& envelope, const DistributorSource& source) {
  if (!entries_.heard(now, envelope)) {
    return;
  }
  take_copy(source.subscription.state());
  auto update = update_for(now, envelope.from_node, source);
  update.sequence = envelope.fleet_heartbeat.sequence;
  update.control_peers = source.control_peers;
  if (envelope.fleet_heartbeat.wants_loads) {
    update.loads = source.subscription.loads();
  }
  send(envelope.from_node, std::move(update));
}

void EntryDistributor::push_news(TimePoint now, const DistributorSource& source, bool wants_confirmation) {
  take_copy(source.subscription.state());
  const bool new_leader = !source.leader.empty() && source.leader != announced_leader_;
  if (new_leader) {
    announced_leader_ = source.leader;
  }
  const LogRevisions newest{source.subscription.document_version(), source.subscription.evacuations().revision};
  const auto nodes = new_leader ? entries_.live_nodes(now) : entries_.nodes_behind(now, newest);
  for (const auto& node : nodes) {
    auto update = update_for(now, node, source);
    update.wants_confirmation = wants_confirmation;
    send(node, std::move(update));
  }
}

std::vector<wire::Envelope> EntryDistributor::take_envelopes() { return std::exchange(envelopes_, {}); }

}  // namespace larchlever::fleet
