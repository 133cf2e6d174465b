// The part of FleetLeader that handles calls of operators and instances. Depending on the call, the reply is sent at
// once, when a command is committed, or when every live node has confirmed the new state.

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/http_status.h"
#include "core/fleet/fleet_leader.h"
#include "core/fleet/placement_explanation.h"
#include "core/fleet/registration.h"

namespace larchlever::fleet {

namespace {

/// The JSON body with all known zones and the evacuated ones.
std::string zones_json(const std::set<std::string>& zones, const wire::ZoneEvacuations& evacuations) {
  namespace json = boost::json;
  json::object body;
  body["zones"] = json::array(zones.begin(), zones.end());
  body["evacuated"] = json::array(evacuations.zones.begin(), evacuations.zones.end());
  body["revision"] = evacuations.revision;
  return json::serialize(body);
}

}  // namespace

void FleetLeader::reply_to_call(const std::string& key, int status, std::string body) {
  wire::ControlCallReply reply;
  reply.status = status;
  reply.body = std::move(body);
  reply_to_call(key, std::move(reply));
}

void FleetLeader::reply_to_call(const std::string& key, wire::ControlCallReply reply) {
  const auto call = open_call_ids_.find(key);
  if (call == open_call_ids_.end()) {
    return;
  }
  reply.id = call->second;
  outputs_.replies.emplace_back(key, std::move(reply));
  open_call_ids_.erase(call);
}

void FleetLeader::handle_call(TimePoint now, const std::string& key, const wire::ControlCall& call,
                              const consensus::RaftNode& raft, const FleetLog& log) {
  if (!open_call_ids_.emplace(key, call.id).second) {
    return;  // A retry of a call that is still pending.
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
      if (log.document_version() == 0) {
        reply_to_call(key, http_status::kServiceUnavailable, error_body("no document has been accepted yet; send one"));
      } else {
        reply_to_call(key, http_status::kOk, log.document_content());
      }
      break;
    case wire::ControlCallKind::EVACUATE_ZONE:
    case wire::ControlCallKind::RESTORE_ZONE:
      change_evacuation(key, call, raft, log);
      break;
    case wire::ControlCallKind::GET_ZONES:
      reply_with_zones(key, raft, log);
      break;
    case wire::ControlCallKind::EXPLAIN_PLACEMENT:
      explain_placement(now, key, call, log);
      break;
  }
}

void FleetLeader::explain_placement(TimePoint now, const std::string& key, const wire::ControlCall& call,
                                    const FleetLog& log) {
  const auto& document = log.parsed_document();
  if (document == nullptr) {
    reply_to_call(key, http_status::kServiceUnavailable, error_body("no document has been accepted yet; send one"));
    return;
  }
  const auto query = parse_placement_query(call.body, *document, options_.zones);
  if (const auto* error = std::get_if<PlacementQueryError>(&query)) {
    reply_to_call(key, http_status::kBadRequest, error_body(error->message));
    return;
  }
  const auto explanation = slot_scheduler_.explain(now, *document, std::get<PlacementQuery>(query));
  reply_to_call(key, http_status::kOk, to_json(explanation));
}

void FleetLeader::handle_registrations(TimePoint now, const wire::RegistrationBatch& batch) {
  for (const auto& report : batch.reports) {
    // A report received before the replica knew of this term may be older than the last orders of the previous leader.
    const bool is_from_this_leadership = report.known_term >= term_;
    const bool changed = is_from_this_leadership ? instance_directory_.handle_report(now, report.instance)
                                                 : instance_directory_.handle_stale_report(now, report.instance);
    version_ += changed ? 1 : 0;
    unblock_survived_requests(now, report.instance);
  }
}

void FleetLeader::unblock_survived_requests(TimePoint now, const wire::Instance& report) {
  // Without a start time, a restarted instance with the same id could not be told from the one that terminated.
  const bool was_unblocked =
      report.born_ms != 0 && request_blocker_.note_incarnation_alive(now, incarnation_name(report));
  if (was_unblocked) {
    ++version_;
    next_push_ = now;
  }
}

void FleetLeader::register_instance(TimePoint now, const std::string& key, const wire::ControlCall& call) {
  bool changed = false;
  bool is_leaving = true;
  if (call.kind == wire::ControlCallKind::DEREGISTER) {
    changed = instance_directory_.deregister(now, call.instance_id, parse_born_ms(call.body));
  } else {
    const auto parsed = parse_registration(call.instance_id, call.body);
    if (const auto* error = std::get_if<MalformedReport>(&parsed)) {
      reply_to_call(key, http_status::kBadRequest, error_body(error->message));
      return;
    }
    const auto* report = std::get_if<wire::Instance>(&parsed);
    is_leaving = report->state == wire::InstanceState::DRAINING;
    changed = instance_directory_.handle_report(now, *report);
    unblock_survived_requests(now, *report);
  }
  version_ += changed ? 1 : 0;
  if (is_leaving) {
    // Acknowledged only once every live node has confirmed it: after that no new request may reach the instance.
    unconfirmed_calls_.push_back({key, version_, now});
  } else {
    reply_to_call(key, http_status::kOk, "{}");
  }
}

void FleetLeader::put_document(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                               const FleetLog& log) {
  const auto parsed = document::parse_document(call.body);
  if (parsed.document == nullptr) {
    reply_to_call(key, http_status::kBadRequest, error_body(parsed.error.message));
    return;
  }
  if (const auto error = document::find_unknown_region(options_.zones, *parsed.document)) {
    reply_to_call(key, http_status::kBadRequest, error_body(error->message));
    return;
  }
  if (!may_propose(key, raft)) {
    return;
  }
  if (parsed.document->version <= log.document_version()) {
    reply_to_call(key, http_status::kOk, "{}");
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
  reply_to_call(key, http_status::kServiceUnavailable,
                error_body("the log does not have enough voters yet; retry the call"));
  return false;
}

wire::ZoneChangeId FleetLeader::last_zone_change() const {
  wire::ZoneChangeId id;
  id.term = term_;
  id.number = zone_change_count_;
  return id;
}

void FleetLeader::reply_with_zones(const std::string& key, const consensus::RaftNode& raft, const FleetLog& log) {
  wire::ControlCallReply reply;
  reply.status = http_status::kOk;
  reply.body = zones_json(known_zones(raft), log.evacuations());
  reply.__set_last_zone_change(last_zone_change());
  reply_to_call(key, std::move(reply));
}

void FleetLeader::change_evacuation(const std::string& key, const wire::ControlCall& call,
                                    const consensus::RaftNode& raft, const FleetLog& log) {
  const auto zones = known_zones(raft);
  if (!zones.contains(call.zone)) {
    std::string names;
    for (const auto& zone : zones) {
      names += (names.empty() ? "" : ", ") + zone;
    }
    reply_to_call(key, http_status::kNotFound, error_body("unknown zone '" + call.zone + "'; the zones are " + names));
    return;
  }
  if (!may_propose(key, raft)) {
    return;
  }
  wire::ZoneEvacuationChange change;
  change.zone = call.zone;
  change.begins = call.kind == wire::ControlCallKind::EVACUATE_ZONE;
  const bool is_superseded = call.__isset.expected_zone_change && call.expected_zone_change != last_zone_change();
  outputs_.zone_calls.push_back({key, change, log.evacuations().revision, is_superseded});
  if (is_superseded) {
    reply_to_call(key, http_status::kConflict, error_body("another zone change came first; retry the call"));
    return;
  }
  // Propose the change even if it seems to be in effect: the log may hold an uncommitted change to the contrary. It
  // also counts as a change in that case, since its acknowledgement supersedes earlier calls.
  ++zone_change_count_;
  Proposal proposal;
  proposal.command.__set_zone_evacuation(change);
  proposal.call_key = key;
  outputs_.proposals.push_back(std::move(proposal));
}

std::set<std::string> FleetLeader::known_zones(const consensus::RaftNode& raft) const {
  std::set<std::string> zones;
  for (const auto& [zone, region] : options_.zones) {
    zones.insert(zone);
  }
  for (const auto& [id, row] : instance_directory_.rows()) {
    zones.insert(row.instance.zone);
  }
  for (const auto& voter : raft.replicas().voters) {
    zones.insert(voter.zone);
  }
  zones.erase("");
  return zones;
}

void FleetLeader::command_proposed(const std::string& key, std::optional<int64_t> index, int64_t term) {
  if (!index) {
    reply_to_call(key, http_status::kServiceUnavailable, error_body("leadership ended; retry the call"));
    return;
  }
  pending_commands_[*index] = {key, term};
}

void FleetLeader::command_applied(int64_t index, int64_t term) {
  const auto pending = pending_commands_.find(index);
  if (pending == pending_commands_.end()) {
    return;
  }
  const auto [key, proposed_term] = pending->second;
  pending_commands_.erase(pending);
  if (term == proposed_term) {
    reply_to_call(key, http_status::kOk, "{}");
  } else {
    reply_to_call(key, http_status::kServiceUnavailable, error_body("leadership changed; retry the call"));
  }
}

bool FleetLeader::is_held_by_all(TimePoint now, int64_t version) const {
  if (!control_subscribers_.is_held_by_all(now, version)) {
    return false;
  }
  const auto nodes = control_subscribers_.live_nodes(now);
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
    const auto entries = entry_subscribers_.find(node);
    return entries != entry_subscribers_.end() && entries->second.term == term_ && entries->second.version >= version;
  });
}

void FleetLeader::reply_to_confirmed_calls(TimePoint now) {
  std::vector<UnconfirmedCall> still_unconfirmed;
  for (const auto& call : unconfirmed_calls_) {
    if (!open_call_ids_.contains(call.key)) {
      continue;
    }
    const bool is_published = !is_recovering_state(now) && control_subscribers_.is_sent_to_all(now, call.version);
    const bool is_timed_out = now - call.received_at > options_.confirmation_timeout;
    if (is_published && (is_timed_out || is_held_by_all(now, call.version))) {
      reply_to_call(call.key, http_status::kOk, "{}");
    } else {
      still_unconfirmed.push_back(call);
    }
  }
  unconfirmed_calls_ = std::move(still_unconfirmed);
}

}  // namespace larchlever::fleet
