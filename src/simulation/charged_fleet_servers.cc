// The part of ChargedFleet that plays the hollow servers: heartbeats, orders and crashes.

#include <algorithm>
#include <utility>

#include "simulation/charged_fleet_nodes.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kServerTickInterval = milliseconds(40);
constexpr Duration kHeartbeatInterval = milliseconds(1200);
constexpr Duration kWarmJoinTime = milliseconds(1100);
constexpr Duration kColdJoinTime = seconds(2);
constexpr Duration kHeadStallTime = seconds(5);
/// How long entries take to notice that a server crashed.
constexpr Duration kCrashDetectionTime = milliseconds(20);

}  // namespace

void ChargedFleet::tick_server(Server& server) {
  queue_.schedule_after(kServerTickInterval, [this, &server] { tick_server(server); });
  if (!server.is_up || server.is_gone) {
    return;
  }
  const TimePoint now = queue_.now();
  auto& instance = *server.instance;
  instance.advance(now);
  if (instance.is_open_head()) {
    for (const auto& id : instance.members()) {
      const Server& member = *servers_by_id_.at(id);
      if (!member.is_up || member.instance->membership().group != instance.membership().group) {
        instance.handle_missing_member(now, kHeadStallTime);
      }
    }
  }
  if (instance.has_unreported_changes() || now >= server.next_heartbeat) {
    server.next_heartbeat = now + kHeartbeatInterval;
    send_heartbeat(server);
  }
}

void ChargedFleet::send_heartbeat(Server& server) {
  auto report = server.instance->take_report();
  report.zone = zone_name(server.zone);
  report.born_ms = server.born_ms;
  wire::ControlCall call;
  call.kind = wire::ControlCallKind::HEARTBEAT;
  call.instance_id = report.id;
  call.body = heartbeat_body(report);
  Replica& replica = *replicas_[static_cast<size_t>(server.zone % kReplicaCount)];
  if (replica.controller == nullptr) {
    return;
  }
  post(replica, "server_heartbeat", [this, &replica, call] { replica.controller->submit_call(queue_.now(), call); });
}

void ChargedFleet::execute_order(Replica& replica, const fleet::InstanceOrder& order) {
  queue_.schedule_after(kNetworkDelay, [this, &replica, order] {
    Server& server = *servers_by_id_.at(order.instance_id);
    int status = 0;
    if (server.is_up && !server.is_gone) {
      const auto& staged = server.instance->staged();
      const bool is_warm = std::find(staged.begin(), staged.end(), order.model) != staged.end();
      status = server.instance->execute_order(queue_.now(), order, is_warm ? kWarmJoinTime : kColdJoinTime);
    }
    queue_.schedule_after(kNetworkDelay, [this, &replica, order, status] {
      post(replica, "order_result", [this, &replica, order, status] {
        fleet::InstanceOrderResult result;
        result.order = order;
        result.status = status;
        replica.controller->handle_order_result(queue_.now(), result);
      });
    });
  });
}

void ChargedFleet::lose_requests(const std::string& group, const std::string& incarnation) {
  for (auto& entry : entries_) {
    const bool is_affected = std::any_of(entry->running.begin(), entry->running.end(),
                                         [&group](const auto& item) { return item.second.group == group; });
    if (!is_affected) {
      continue;
    }
    const TimePoint lost_at = queue_.now();
    queue_.schedule_after(kCrashDetectionTime, [this, &entry = *entry, group, incarnation, lost_at] {
      for (auto item = entry.running.begin(); item != entry.running.end();) {
        if (item->second.group != group || item->second.started_at > lost_at) {
          ++item;
          continue;
        }
        entry.tracker.note_server_end({item->second.fingerprint, incarnation, lost_at});
        for (const auto part : item->second.parts) {
          if (!entry.tracker.is_sound_part(lost_at, part)) {
            entry.tracker.note_server_end({part, incarnation, lost_at, fleet::CrashCertainty::kConfirmed,
                                           fleet::CauseKind::kPromptPart, item->second.fingerprint});
          }
        }
        item = entry.running.erase(item);
      }
      entry.failed_groups.insert(group);
      report_load_soon(entry);
    });
  }
}

void ChargedFleet::crash(Server& server, Duration down_time) {
  if (!server.is_up) {
    return;
  }
  server.is_up = false;
  const auto& membership = server.instance->membership();
  if (!membership.group.empty()) {
    lose_requests(membership.group, incarnation_of(server));
  }
  queue_.schedule_after(down_time, [this, &server] {
    server.is_up = true;
    server.born_ms += 1 + queue_.now().time_since_epoch() / milliseconds(1);
    server.instance = std::make_unique<SimulatedInstance>(server.instance->id(), server.address, server.domain,
                                                          server.instance->staged());
  });
}

}  // namespace larchlever::simulation
