// The part of ChargedFleet that runs control replicas, charges them for their processor time, and delivers messages.

#include <algorithm>
#include <utility>

#include "core/base/http_status.h"
#include "simulation/charged_fleet_nodes.h"
#include "simulation/processor_clock.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kReplicaTickInterval = milliseconds(20);
/// A replica whose ticks are further apart excludes that time from the timeouts of others, as the daemon does.
constexpr Duration kPauseThreshold = milliseconds(250);
constexpr Duration kDiskSyncTime = microseconds(500);
/// Processor time of sending or receiving one message: system calls and the event loop.
constexpr Duration kMessageCost = microseconds(5);

const char* step_name(const wire::Envelope& envelope) {
  if (envelope.__isset.raft) {
    return "consensus";
  }
  if (envelope.__isset.slot_report) {
    return "slot_report";
  }
  if (envelope.__isset.registrations) {
    return "registrations";
  }
  if (envelope.__isset.fleet_heartbeat) {
    return envelope.fleet_heartbeat.serves_requests ? "entry_heartbeat" : "replica_heartbeat";
  }
  return envelope.__isset.fleet_update ? "update" : "other";
}

}  // namespace

void ChargedFleet::post(Replica& replica, const char* name, std::function<void()> work) {
  replica.steps.push_back({name, std::move(work)});
  if (!replica.is_busy) {
    replica.is_busy = true;
    queue_.schedule_after(Duration::zero(), [this, &replica] { run_next_step(replica); });
  }
}

void ChargedFleet::run_next_step(Replica& replica) {
  const Step step = std::move(replica.steps.front());
  replica.steps.pop_front();
  std::vector<wire::Envelope> sent;
  const int64_t before_ns = thread_processor_time_ns();
  step.work();
  process_outputs(replica, sent);
  for (const auto& envelope : sent) {
    wire::encode(envelope);
  }
  const auto measured =
      std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(thread_processor_time_ns() - before_ns));
  const Duration used = measured + kMessageCost * static_cast<int64_t>(sent.size() + 1);
  const Duration charged = std::chrono::duration_cast<Duration>(used / options_.processor_share);
  replica.load.work.add(step.name, charged);
  if (charged > replica.load.longest_step) {
    replica.load.longest_step = charged;
    replica.load.longest_step_name = step.name;
  }
  queue_.schedule_after(charged, [this, &replica, sent = std::move(sent)] {
    for (const auto& envelope : sent) {
      send(envelope);
    }
    replica.is_busy = !replica.steps.empty();
    if (replica.is_busy) {
      run_next_step(replica);
    }
  });
}

void ChargedFleet::start_replica(Replica& replica) {
  fleet::PeerIdentity identity;
  identity.peer_address = replica.name;
  identity.control_address = replica.name;
  identity.zone = replica.zone;
  identity.incarnation = Incarnation(1);
  const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
  replica.controller = std::make_unique<fleet::FleetController>(options_.fleet, identity, seeds, random_());
  replica.disk.assign_identity(ReplicaId(draw_integer(1, INT64_MAX - 1)));
  replica.controller->start_replica(queue_.now(), replica.disk.replica_id(), Incarnation(1), replica.disk.image());
  if (std::find(seeds.begin(), seeds.end(), replica.name) != seeds.end()) {
    replica.controller->begin_cluster_formation(queue_.now(), "");
  }
  replica.last_tick = queue_.now();
  post(replica, "tick", [this, &replica] { tick_replica(replica); });
}

void ChargedFleet::tick_replica(Replica& replica) {
  const TimePoint now = queue_.now();
  const Duration gap = now - replica.last_tick;
  if (gap > kPauseThreshold) {
    replica.controller->note_own_pause(now, gap);
  }
  replica.load.longest_tick_gap = std::max(replica.load.longest_tick_gap, gap);
  replica.last_tick = now;
  replica.controller->tick(now);
  if (replica.controller->is_leader(now) && replica.name != last_leader_) {
    last_leader_ = replica.name;
    ++result_.leader_changes;
  }
  queue_.schedule_after(kReplicaTickInterval,
                        [this, &replica] { post(replica, "tick", [this, &replica] { tick_replica(replica); }); });
}

void ChargedFleet::process_outputs(Replica& replica, std::vector<wire::Envelope>& sent) {
  auto outputs = replica.controller->take_outputs();
  sent = std::move(outputs.envelopes);
  for (const auto& batch : outputs.storage_batches) {
    replica.disk.submit(batch);
    queue_.schedule_after(kDiskSyncTime, [this, &replica, batch] {
      replica.disk.sync_oldest();
      post(replica, "storage",
           [this, &replica, batch] { replica.controller->handle_storage_synced(queue_.now(), batch); });
    });
  }
  for (const auto& order : outputs.orders) {
    execute_order(replica, order);
  }
  if (outputs.founder_choice) {
    replica.founder_choice = *outputs.founder_choice;
    replica.controller->founder_choice_stored();
  }
  if (outputs.create_log) {
    wire::ReplicaAddress founder;
    founder.replica_id = replica.disk.replica_id().value();
    founder.node = replica.name;
    founder.zone = replica.zone;
    const auto state = consensus::RaftNode::bootstrap(founder);
    consensus::RaftOutput output;
    output.hard_state = state.hard_state;
    output.entries = state.entries;
    replica.disk.submit(output);
    replica.disk.sync_oldest();
    replica.controller->start_replica(queue_.now(), replica.disk.replica_id(), Incarnation(2), replica.disk.image());
  }
  for (const auto& reply : outputs.replies) {
    const auto leaving = pending_leavings_.find({replica.name, reply.id});
    if (leaving != pending_leavings_.end() && reply.status == http_status::kOk) {
      Leaving& acknowledged = leavings_.at(leaving->second);
      acknowledged.acknowledged_at = std::min(acknowledged.acknowledged_at, queue_.now());
    }
  }
}

int ChargedFleet::leader_index() const {
  for (size_t index = 0; index < replicas_.size(); ++index) {
    const auto& controller = replicas_[index]->controller;
    if (controller != nullptr && controller->is_leader(queue_.now())) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

// ------------------------------------------------------------------ network

void ChargedFleet::send(const wire::Envelope& envelope) {
  const auto receiver = replicas_by_name_.find(envelope.to_node);
  const auto sender = replicas_by_name_.find(envelope.from_node);
  if (receiver != replicas_by_name_.end()) {
    const bool is_cut = sender != replicas_by_name_.end() && (sender->second->is_cut || receiver->second->is_cut);
    if (is_cut) {
      return;
    }
    queue_.schedule_after(kNetworkDelay, [this, &replica = *receiver->second, encoded = wire::encode(envelope)] {
      if (replica.controller == nullptr) {
        return;
      }
      const auto decoded = wire::decode<wire::Envelope>(encoded);
      post(replica, step_name(*decoded), [this, &replica, encoded] {
        replica.controller->receive(queue_.now(), *wire::decode<wire::Envelope>(encoded));
      });
    });
    return;
  }
  const auto entry = entries_by_name_.find(envelope.to_node);
  if (entry != entries_by_name_.end()) {
    queue_.schedule_after(kNetworkDelay,
                          [this, &entry = *entry->second, envelope] { deliver_to_entry(entry, envelope); });
  }
}

void ChargedFleet::send_from(const Entry& entry, wire::Envelope envelope) {
  envelope.from_node = entry.name;
  envelope.from_incarnation = entry.incarnation;
  send(envelope);
}

}  // namespace larchlever::simulation
