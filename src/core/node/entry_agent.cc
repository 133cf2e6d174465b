#include "core/node/entry_agent.h"

#include <algorithm>

namespace larchlever::node {

namespace {

constexpr size_t kMaxTrackedHeartbeats = 64;
/// Unanswered heartbeats before the next control node is tried.
constexpr int kMaxUnansweredHeartbeats = 2;

}  // namespace

EntryAgent::EntryAgent(const control::ControlOptions& options, NodeIdentity identity,
                       std::vector<std::string> control_nodes, routing::RoutingPolicy policy, size_t queue_limit,
                       uint64_t seed)
    : options_(options),
      identity_(std::move(identity)),
      control_nodes_(std::move(control_nodes)),
      router_(policy, seed),
      admission_(queue_limit),
      // Sequence numbers start at the incarnation, so that a late reply to the previous process matches no heartbeat.
      sequence_(identity_.incarnation.value()) {
  try_next_control_node();
}

void EntryAgent::try_next_control_node() {
  if (!control_nodes_.empty()) {
    leader_ = control_nodes_[next_control_node_++ % control_nodes_.size()];
  }
}

void EntryAgent::set_leader_hint(const std::string& node) {
  if (!node.empty() && node != leader_) {
    leader_ = node;
    ++stats_.leader_changes;
    next_heartbeat_at_ = TimePoint::min();
  }
}

std::optional<wire::Envelope> EntryAgent::tick(TimePoint now, ReplicaId replica_id) {
  if (now < next_heartbeat_at_ || leader_.empty()) {
    return std::nullopt;
  }
  const bool leader_is_silent = sequence_ > 0 && now - std::max(last_reply_at_, TimePoint()) >
                                                     kMaxUnansweredHeartbeats * options_.heartbeat_interval;
  if (leader_is_silent && sequence_ % kMaxUnansweredHeartbeats == 0) {
    try_next_control_node();
  }
  next_heartbeat_at_ = now + options_.heartbeat_interval;
  wire::Envelope envelope;
  envelope.from_node = identity_.node;
  envelope.from_incarnation = identity_.incarnation.value();
  envelope.to_node = leader_;
  wire::Heartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.acknowledged_sequence = acknowledged_sequence_;
  heartbeat.zone = identity_.zone;
  heartbeat.applied_revision = records_.revision().value();
  heartbeat.watch_version = watch_version_;
  heartbeat.leaving = leaving_;
  heartbeat.replica_id = replica_id.value();
  heartbeat.peer_address = identity_.peer_address;
  heartbeat.service_address = identity_.service_address;
  for (auto& [machine, timed_sighting] : latest_sightings_) {
    // Each sighting is sent in several heartbeats, so that losing one does not make the machine count as lost.
    wire::MachineSighting sighting = timed_sighting.sighting;
    sighting.seen_ago_ms =
        static_cast<int32_t>(std::chrono::ceil<milliseconds>(now - timed_sighting.poll_sent_at).count());
    if (now - timed_sighting.poll_sent_at <= 4 * options_.heartbeat_interval) {
      heartbeat.sightings.push_back(std::move(sighting));
    }
  }
  for (const auto& [tenant, load] : admission_.tenant_loads(now)) {
    wire::TenantDemand demand;
    demand.tenant = tenant;
    demand.running = load.running;
    demand.waiting = load.waiting;
    demand.held = load.held_budget;
    heartbeat.demand.push_back(std::move(demand));
  }
  envelope.heartbeat = std::move(heartbeat);
  envelope.__isset.heartbeat = true;
  heartbeat_sent_at_[sequence_] = now;
  while (heartbeat_sent_at_.size() > kMaxTrackedHeartbeats) {
    heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
  }
  ++stats_.heartbeats_sent;
  return envelope;
}

void EntryAgent::on_heartbeat_reply(TimePoint now, const wire::Envelope& envelope) {
  const wire::HeartbeatReply& reply = envelope.heartbeat_reply;
  if (reply.not_leader) {
    if (!reply.leader.empty()) {
      set_leader_hint(reply.leader);
    }
    return;
  }
  const auto sent_heartbeat = heartbeat_sent_at_.find(reply.sequence);
  const bool is_stale = sent_heartbeat == heartbeat_sent_at_.end() || reply.lease_ms <= 0 ||
                        reply.sequence <= acknowledged_sequence_ || Revision(reply.revision) < records_.revision();
  if (is_stale) {
    ++stats_.stale_replies;
    return;
  }
  ++stats_.replies;
  acknowledged_sequence_ = reply.sequence;
  last_reply_at_ = now;
  leader_ = envelope.from_node;
  const TimePoint sent_at = sent_heartbeat->second;
  heartbeat_sent_at_.erase(heartbeat_sent_at_.begin(), std::next(sent_heartbeat));
  const bool revision_changed = Revision(reply.revision) > records_.revision();
  stats_.full_copies += reply.full ? 1 : 0;
  if (revision_changed || reply.full) {
    records_.apply_update(reply.records, reply.full, Revision(reply.revision));
    router_.set_table(routing::RoutingTable(records_));
    // Confirm the new revision at once: a change is in force only when every lease holder has confirmed it.
    next_heartbeat_at_ = TimePoint::min();
  }
  // The lease period starts when the heartbeat was sent. The leader starts its own count later, so the lease expires
  // here first.
  const TimePoint lease_until = sent_at + milliseconds(reply.lease_ms);
  router_.set_configuration_lease(std::max(router_.configuration_lease_until(), lease_until));
  router_.set_leases(reply.leases, sent_at + milliseconds(reply.serve_lease_ms));
  for (const auto& budget : reply.budgets) {
    admission_.set_budget(budget.tenant, budget.concurrent, lease_until);
  }
  if (reply.watch_version != watch_version_) {
    watch_version_ = reply.watch_version;
    watch_targets_ = reply.watches;
    std::erase_if(latest_sightings_, [this](const auto& item) {
      return std::none_of(watch_targets_.begin(), watch_targets_.end(),
                          [&item](const auto& target) { return target.machine == item.first; });
    });
  }
}

void EntryAgent::on_sighting(TimePoint poll_sent_at, const wire::MachineSighting& sighting) {
  TimedSighting& timed_sighting = latest_sightings_[sighting.machine];
  timed_sighting.poll_sent_at = poll_sent_at;
  timed_sighting.sighting = sighting;
}

}  // namespace larchlever::node
