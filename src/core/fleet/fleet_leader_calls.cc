// The part of FleetLeader that answers calls of operators and servers: at once, once a command is committed, or once
// every node confirmed what it must know.

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/http_status.h"
#include "core/fleet/fleet_leader.h"
#include "core/fleet/registration.h"

namespace larchlever::fleet {

namespace {

/// The zones, and those of them that are evacuated, as operators read them back.
std::string zones_body(const std::set<std::string>& known, const wire::ZoneEvacuations& evacuations) {
  namespace json = boost::json;
  json::object body;
  body["zones"] = json::array(known.begin(), known.end());
  body["evacuated"] = json::array(evacuations.zones.begin(), evacuations.zones.end());
  body["revision"] = evacuations.revision;
  return json::serialize(body);
}

}  // namespace

void FleetLeader::answer(const std::string& key, int status, std::string body) {
  const auto call = open_calls_.find(key);
  if (call == open_calls_.end()) {
    return;
  }
  wire::ControlCallReply reply;
  reply.id = call->second;
  reply.status = status;
  reply.body = std::move(body);
  outputs_.replies.emplace_back(key, std::move(reply));
  open_calls_.erase(call);
}

void FleetLeader::call(TimePoint now, const std::string& key, const wire::ControlCall& call,
                       const consensus::RaftNode& raft, const FleetLog& log) {
  if (!open_calls_.emplace(key, call.id).second) {
    return;  // Repeated while its first arrival is still waiting.
  }
  switch (call.kind) {
    case wire::ControlCallKind::HEARTBEAT:
    case wire::ControlCallKind::DEREGISTER:
      register_instance(now, key, call);
      break;
    case wire::ControlCallKind::PUT_DOCUMENT:
      put_document(key, call, raft, log);
      break;
    case wire::ControlCallKind::GET_DOCUMENT:
      if (log.version() == 0) {
        answer(key, http_status::kServiceUnavailable, error_body("no document was accepted yet; send one"));
      } else {
        answer(key, http_status::kOk, log.content());
      }
      break;
    case wire::ControlCallKind::EVACUATE_ZONE:
    case wire::ControlCallKind::RESTORE_ZONE:
      change_evacuation(key, call, raft);
      break;
    case wire::ControlCallKind::GET_ZONES:
      answer(key, http_status::kOk, zones_body(known_zones(raft), log.evacuations()));
      break;
  }
}

void FleetLeader::registrations(TimePoint now, const wire::RegistrationBatch& batch) {
  for (const auto& report : batch.reports) {
    // Taken before the replica knew of this leadership, it may be older than the last orders of the one before.
    const bool is_present = report.known_term >= term_;
    const bool changed =
        is_present ? instances_.heard(now, report.instance) : instances_.heard_before(now, report.instance);
    version_ += changed ? 1 : 0;
    note_life(now, report.instance);
  }
}

void FleetLeader::note_life(TimePoint now, const wire::Instance& report) {
  // Without a birth, a later start under the same id would be taken for the one that ended.
  const bool frees_requests = report.born_ms != 0 && blocker_.note_incarnation_alive(now, incarnation_of(report));
  if (frees_requests) {
    ++version_;
    next_push_ = now;
  }
}

void FleetLeader::register_instance(TimePoint now, const std::string& key, const wire::ControlCall& call) {
  bool changed = false;
  bool leaving = true;
  if (call.kind == wire::ControlCallKind::DEREGISTER) {
    changed = instances_.deregister(now, call.instance_id, parse_birth(call.body));
  } else {
    const auto parsed = parse_registration(call.instance_id, call.body);
    if (const auto* fault = std::get_if<MalformedReport>(&parsed)) {
      answer(key, http_status::kBadRequest, error_body(fault->message));
      return;
    }
    const auto* report = std::get_if<wire::Instance>(&parsed);
    leaving = report->state == wire::InstanceState::DRAINING;
    changed = instances_.heard(now, *report);
    note_life(now, *report);
  }
  version_ += changed ? 1 : 0;
  if (leaving) {
    // Acknowledged only once every live node knows: from then on no new work may reach the instance.
    waiting_.push_back({key, version_, now});
  } else {
    answer(key, http_status::kOk, "{}");
  }
}

void FleetLeader::put_document(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                               const FleetLog& log) {
  const auto parsed = document::parse_document(call.body);
  if (parsed.document == nullptr) {
    answer(key, http_status::kBadRequest, error_body(parsed.error.message));
    return;
  }
  if (const auto error = document::find_unknown_region(options_.zones, *parsed.document)) {
    answer(key, http_status::kBadRequest, error_body(error->message));
    return;
  }
  if (!may_propose(key, raft)) {
    return;
  }
  if (parsed.document->version <= log.version()) {
    answer(key, http_status::kOk, "{}");
    return;
  }
  Proposal proposal;
  proposal.command.__set_document(pack_document(parsed.document->version, call.body));
  proposal.call_key = key;
  outputs_.proposals.push_back(std::move(proposal));
}

bool FleetLeader::may_propose(const std::string& key, const consensus::RaftNode& raft) {
  if (raft.replicas().voters.size() >= options_.minimum_voters) {
    return true;
  }
  answer(key, http_status::kServiceUnavailable, error_body("the log has too few voters yet; send the call again"));
  return false;
}

void FleetLeader::change_evacuation(const std::string& key, const wire::ControlCall& call,
                                    const consensus::RaftNode& raft) {
  const auto known = known_zones(raft);
  if (!known.contains(call.zone)) {
    std::string names;
    for (const auto& zone : known) {
      names += (names.empty() ? "" : ", ") + zone;
    }
    answer(key, http_status::kNotFound, error_body("no zone '" + call.zone + "'; the zones are " + names));
    return;
  }
  if (!may_propose(key, raft)) {
    return;
  }
  // Also an order that seems carried out already: one to the contrary may stand in the log, not committed yet.
  Proposal proposal;
  proposal.command.__isset.zone_evacuation = true;
  proposal.command.zone_evacuation.zone = call.zone;
  proposal.command.zone_evacuation.begins = call.kind == wire::ControlCallKind::EVACUATE_ZONE;
  proposal.call_key = key;
  outputs_.proposals.push_back(std::move(proposal));
}

std::set<std::string> FleetLeader::known_zones(const consensus::RaftNode& raft) const {
  std::set<std::string> zones;
  for (const auto& [zone, region] : options_.zones) {
    zones.insert(zone);
  }
  for (const auto& [id, row] : instances_.rows()) {
    zones.insert(row.instance.zone);
  }
  for (const auto& voter : raft.replicas().voters) {
    zones.insert(voter.zone);
  }
  zones.erase("");
  return zones;
}

void FleetLeader::proposed(const std::string& key, std::optional<int64_t> index, int64_t term) {
  if (!index) {
    answer(key, http_status::kServiceUnavailable, error_body("leadership ended; send the call again"));
    return;
  }
  pending_commands_[*index] = {key, term};
}

void FleetLeader::applied(int64_t index, int64_t term) {
  const auto pending = pending_commands_.find(index);
  if (pending == pending_commands_.end()) {
    return;
  }
  const auto [key, proposed_term] = pending->second;
  pending_commands_.erase(pending);
  if (term == proposed_term) {
    answer(key, http_status::kOk, "{}");
  } else {
    answer(key, http_status::kServiceUnavailable, error_body("leadership changed; send the call again"));
  }
}

bool FleetLeader::all_hold(TimePoint now, int64_t version) const {
  if (!subscribers_.all_hold(now, version)) {
    return false;
  }
  const auto nodes = subscribers_.live_nodes(now);
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
    const auto entries = entries_of_.find(node);
    return entries != entries_of_.end() && entries->second.term == term_ && entries->second.version >= version;
  });
}

void FleetLeader::answer_confirmed(TimePoint now) {
  std::vector<WaitingCall> still_waiting;
  for (const auto& waiting : waiting_) {
    if (!open_calls_.contains(waiting.key)) {
      continue;
    }
    const bool is_published = !is_collecting(now) && subscribers_.all_were_sent(now, waiting.version);
    const bool patience_over = now - waiting.since > options_.confirmation_patience;
    if (is_published && (patience_over || all_hold(now, waiting.version))) {
      answer(waiting.key, http_status::kOk, "{}");
    } else {
      still_waiting.push_back(waiting);
    }
  }
  waiting_ = std::move(still_waiting);
}

}  // namespace larchlever::fleet
