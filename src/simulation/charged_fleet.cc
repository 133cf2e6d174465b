// The part of ChargedFleet that builds the fleet, injects events and collects results.

#include "simulation/charged_fleet.h"

#include <algorithm>
#include <utility>

#include "simulation/charged_fleet_nodes.h"

namespace larchlever::simulation {

namespace {

constexpr size_t kToleratedReplicaLosses = 2;
constexpr Duration kCallRetryInterval = seconds(1);
constexpr Duration kEntryRestartTime = milliseconds(500);

std::string make_document() {
  return R"({"version":1,"routes":[],"services":[{"name":"engines","health_path":"/","max_connections":1988,"engine":{)"
         R"("slots":22,"kv_capacity":1400000,"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,)"
         R"("read_per_s":46000,"stride":8,"chunk":2048,"loads_per_s":400,"loads_at_once":1000,"cached_prefixes":1,)"
         R"("form_ms":300,"usual":{"prompt":900,"answer":140},"models":[)"
         R"({"name":"large","size":16,"fraction":0.5,"pace":1.0,"load_s":16,"warm_s":1.6},)"
         R"({"name":"small","size":8,"fraction":0.5,"pace":0.6,"load_s":12,"warm_s":1.1}]}}]})";
}

}  // namespace

ChargedFleet::ChargedFleet(const ChargedFleetOptions& options) : options_(options), random_(options.seed) {
  auto& fleet = options_.fleet;
  fleet.minimum_voters = 2 * kToleratedReplicaLosses + 1;
  fleet.control.minimum_voters = fleet.minimum_voters;
  fleet.control.replica_timeout = milliseconds(1300);
  for (int number = 0; number < kReplicaCount; ++number) {
    auto replica = std::make_unique<Replica>();
    replica->name = "10.0.0." + std::to_string(number + 1) + ":7000";
    replica->zone = zone_name(number % options_.zones);
    replicas_by_name_[replica->name] = replica.get();
    replicas_.push_back(std::move(replica));
  }
  const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
  for (int number = 0; number < options_.entries; ++number) {
    auto entry = std::make_unique<Entry>();
    entry->name = "10.1." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + ":7000";
    entry->relay_address = entry->name.substr(0, entry->name.find(':')) + ":7355";
    entry->zone = zone_name(number % options_.zones);
    entries_by_name_[entry->name] = entry.get();
    entries_.push_back(std::move(entry));
  }
  const int domains = options_.zones * options_.domains_per_zone;
  for (int number = 0; number < domains * options_.servers_per_domain; ++number) {
    auto server = std::make_unique<Server>();
    const int domain = number / options_.servers_per_domain;
    server->zone = domain / options_.domains_per_zone;
    server->domain = "d" + std::to_string(domain);
    server->address = "10.2." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + ":80";
    const std::string id = "i-" + std::to_string(100000 + number);
    // One model's weights are on each host, half of the hosts each.
    const std::vector<std::string> staged = {kModelNames[static_cast<size_t>(number % 2)]};
    server->instance = std::make_unique<SimulatedInstance>(id, server->address, server->domain, staged);
    server->next_heartbeat = TimePoint(milliseconds(draw_integer(0, 1200)));
    servers_by_id_[id] = server.get();
    servers_.push_back(std::move(server));
  }
  for (auto& replica : replicas_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 300)), [this, &replica] { start_replica(*replica); });
  }
  for (auto& entry : entries_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 300)), [this, &entry, seeds] {
      fleet::PeerIdentity identity{entry->name, entry->zone, "", Incarnation(1), true};
      entry->subscription = std::make_unique<fleet::FleetSubscription>(options_.fleet, identity, seeds);
      tick_entry(*entry);
      start_request(*entry);
    });
  }
  for (auto& server : servers_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 40)), [this, &server] { tick_server(*server); });
  }
}

ChargedFleet::~ChargedFleet() = default;

bool ChargedFleet::draw_bool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int64_t ChargedFleet::draw_integer(int64_t minimum, int64_t maximum) {
  return std::uniform_int_distribution<int64_t>(minimum, maximum)(random_);
}

std::string ChargedFleet::incarnation_of(const Server& server) {
  return server.instance->id() + "@" + std::to_string(server.born_ms);
}

// ------------------------------------------------------------------- events

void ChargedFleet::crash_zone(int zone, Duration down_time) {
  for (auto& server : servers_) {
    if (server->zone == zone) {
      crash(*server, down_time);
    }
  }
}

void ChargedFleet::cut_replica(int index, Duration duration) {
  Replica& replica = *replicas_.at(static_cast<size_t>(index));
  replica.is_cut = true;
  queue_.schedule_after(duration, [&replica] { replica.is_cut = false; });
}

void ChargedFleet::restart_entries(double share, Duration duration) {
  for (auto& item : entries_) {
    if (!draw_bool(share)) {
      continue;
    }
    Entry& entry = *item;
    queue_.schedule_after(microseconds(draw_integer(0, duration.count())), [this, &entry] {
      entry.is_running = false;
      queue_.schedule_after(kEntryRestartTime, [this, &entry] {
        const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
        ++entry.incarnation;
        entry.is_running = true;
        const fleet::PeerIdentity identity{entry.name, entry.zone, "", Incarnation(entry.incarnation), true};
        entry.subscription = std::make_unique<fleet::FleetSubscription>(options_.fleet, identity, seeds);
        entry.tracker = {};
        entry.waiting.clear();
        entry.permissions.clear();
        entry.running.clear();
        entry.reported_loads.clear();
        entry.grants_term = 0;
        entry.grants_seen = 0;
      });
    });
  }
}

void ChargedFleet::report_server_ends(int count, Duration duration) {
  for (int number = 0; number < count; ++number) {
    queue_.schedule_after(duration * number / count, [this] {
      Entry& entry = *entries_[static_cast<size_t>(draw_integer(0, static_cast<int64_t>(entries_.size()) - 1))];
      const Server& server = *servers_[static_cast<size_t>(draw_integer(0, static_cast<int64_t>(servers_.size()) - 1))];
      const requests::RequestFingerprint request(next_fingerprint_++);
      const TimePoint now = queue_.now();
      entry.tracker.note_server_end({request, incarnation_of(server), now, fleet::CrashCertainty::kLikely});
      entry.tracker.note_server_end({requests::RequestFingerprint(next_fingerprint_++), incarnation_of(server), now,
                                     fleet::CrashCertainty::kLikely, fleet::CauseKind::kPromptPart, request});
      report_load_soon(entry);
    });
  }
}

void ChargedFleet::deregister_head(int index) {
  const auto head = std::find_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return !server->is_gone && server->instance->is_open_head();
  });
  if (head == servers_.end()) {
    return;
  }
  (*head)->is_gone = true;
  leavings_.push_back({(*head)->instance->id()});
  const size_t number = leavings_.size() - 1;
  auto send_call = std::make_shared<std::function<void()>>();
  *send_call = [this, index, number, send_call] {
    if (leavings_[number].acknowledged_at != TimePoint::max()) {
      return;
    }
    Replica& replica = *replicas_.at(static_cast<size_t>(index));
    post(replica, "deregister", [this, &replica, number] {
      wire::ControlCall call;
      call.kind = wire::ControlCallKind::DEREGISTER;
      call.instance_id = leavings_[number].instance;
      pending_leavings_[{replica.name, replica.controller->submit_call(queue_.now(), call)}] = number;
    });
    queue_.schedule_after(kCallRetryInterval, *send_call);
  };
  (*send_call)();
}

// ------------------------------------------------------------------ running

void ChargedFleet::advance(Duration duration) {
  queue_.run_until(queue_.now() + duration, [] { return false; });
}

bool ChargedFleet::wait_until_serving(double share, Duration timeout) {
  const TimePoint deadline = queue_.now() + timeout;
  bool is_document_sent = false;
  while (queue_.now() < deadline) {
    advance(milliseconds(100));
    const int leader = leader_index();
    if (leader < 0) {
      continue;
    }
    auto& replica = *replicas_[static_cast<size_t>(leader)];
    if (replica.controller->log().document_version() == 0 &&
        replica.controller->raft()->replicas().voters.size() >= options_.fleet.minimum_voters && !is_document_sent) {
      is_document_sent = true;
      post(replica, "document", [this, &replica] {
        wire::ControlCall call;
        call.kind = wire::ControlCallKind::PUT_DOCUMENT;
        call.body = make_document();
        replica.controller->submit_call(queue_.now(), call);
      });
    }
    size_t serving = 0;
    for (const auto& group : replica.controller->leader_view().groups()) {
      serving += group.phase == wire::GroupPhase::OPEN ? group.members.size() : 0;
    }
    if (static_cast<double>(serving) >= share * static_cast<double>(servers_.size())) {
      return true;
    }
  }
  return false;
}

void ChargedFleet::reset_measurements() {
  result_ = ChargedFleetResult();
  measured_since_ = queue_.now();
  for (auto& replica : replicas_) {
    replica->load = ReplicaLoad();
  }
}

ChargedFleetResult ChargedFleet::result() const {
  ChargedFleetResult result = result_;
  const int leader = leader_index();
  if (leader >= 0) {
    result.leader = replicas_[static_cast<size_t>(leader)]->load;
    for (const auto& row : replicas_[static_cast<size_t>(leader)]->controller->leader_view().blocked_requests()) {
      (row.is_suspect ? result.suspected_parts : result.blocked_causes) += 1;
    }
  }
  result.elapsed = queue_.now() - measured_since_;
  result.acknowledged_leavings =
      static_cast<uint64_t>(std::count_if(leavings_.begin(), leavings_.end(), [](const Leaving& leaving) {
        return leaving.acknowledged_at != TimePoint::max();
      }));
  return result;
}

}  // namespace larchlever::simulation
