#include "simulation/workload.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kClaimTimeout = seconds(2);
constexpr Duration kOperatorTimeout = seconds(3);
constexpr Duration kRetryDelay = milliseconds(300);
constexpr int kMaxOperatorAttempts = 8;

}  // namespace

Workload::Workload(const WorkloadOptions& options, SimulatedFleet& fleet) : options_(options), fleet_(fleet) {
  fleet_.on_claim_outcome = [this](SimulatedNode& node, const node::ClaimOutcome& outcome) {
    handle_claim_outcome(node, outcome);
  };
  fleet_.on_operator_reply = [this](SimulatedNode& node, const wire::OperatorReply& reply) {
    const auto found =
        pending_replies_.find({node.name + "#" + std::to_string(node.process_generation), reply.request_id});
    if (found != pending_replies_.end()) {
      const ReplyHandler handler = std::move(found->second);
      pending_replies_.erase(found);
      handler(reply);
    }
  };
}

SimulatedNode* Workload::pick_running_node() {
  std::vector<SimulatedNode*> running_nodes;
  for (auto& [name, node] : fleet_.nodes()) {
    if (fleet_.is_up(node)) {
      running_nodes.push_back(&node);
    }
  }
  if (running_nodes.empty()) {
    return nullptr;
  }
  return running_nodes[std::uniform_int_distribution<size_t>(0, running_nodes.size() - 1)(fleet_.random())];
}

void Workload::start(TimePoint end) {
  send_next_request(end);
  for (int number = 0; number < options_.operator_count; ++number) {
    send_next_change(end, number);
  }
}

// ------------------------------------------------------------------- callers

void Workload::send_next_request(TimePoint end) {
  if (fleet_.queue().now() >= end) {
    return;
  }
  auto& random = fleet_.random();
  auto request = std::make_shared<CallerRequest>();
  request->tenant = options_.tenants[std::uniform_int_distribution<size_t>(0, options_.tenants.size() - 1)(random)];
  const bool has_key = std::uniform_int_distribution<int>(0, 1)(random) == 1;
  const int64_t number = next_id_++;
  if (has_key) {
    request->key = "key-" + std::to_string(number);
    request->remaining_sends = 3;
  }
  if (auto* node = pick_running_node()) {
    send_request(*node, request);
  }
  const bool is_duplicated = has_key && std::uniform_int_distribution<int>(0, 3)(random) == 0;
  if (is_duplicated) {
    auto duplicate = std::make_shared<CallerRequest>(*request);
    duplicate->remaining_sends = 1;
    if (auto* node = pick_running_node()) {
      send_request(*node, duplicate);
    }
  }
  fleet_.queue().schedule_after(options_.request_interval, [this, end] { send_next_request(end); });
}

void Workload::send_request(SimulatedNode& node, const RequestPointer& request) {
  ++stats_.requests;
  request->id = "request-" + std::to_string(next_id_++);
  request->remaining_attempts = 3;
  request->tried_groups.clear();
  const bool may_dispatch = node.controller->entry().has_configuration_lease(fleet_.local_now(node)) ||
                            fleet_.options().defects.entries_ignore_leases;
  if (!may_dispatch) {
    ++stats_.not_run;
    fleet_.monitor().record_not_run_reply(fleet_.queue().now(), request->id);
    schedule_retry(request);
    return;
  }
  if (request->key.empty() || fleet_.options().defects.dispatch_without_claim) {
    dispatch_request(node, request);
    return;
  }
  wire::Claim claim;
  claim.tenant = request->tenant;
  claim.key = request->key;
  const TimePoint now = fleet_.local_now(node);
  const int64_t id = node.controller->submit_claim(now, claim, now + kClaimTimeout);
  pending_claims_[{node.name + "#" + std::to_string(node.process_generation), id}] = request;
  fleet_.process_outputs(node);
}

void Workload::handle_claim_outcome(SimulatedNode& node, const node::ClaimOutcome& outcome) {
  const auto found =
      pending_claims_.find({node.name + "#" + std::to_string(node.process_generation), outcome.request_id});
  if (found == pending_claims_.end()) {
    return;
  }
  const RequestPointer request = found->second;
  pending_claims_.erase(found);
  request->claim_nonce = outcome.request_id;
  if (outcome.granted) {
    dispatch_request(node, request);
    return;
  }
  if (!outcome.decided) {
    finish_request(node, request, wire::ClaimState::NOT_RUN);
    return;
  }
  if (outcome.existing_claim.state == wire::ClaimState::RAN) {
    ++stats_.replayed;
    fleet_.monitor().record_answer(fleet_.queue().now(), request->key, outcome.existing_claim.answer_body);
    return;
  }
  ++stats_.unknown;
  schedule_retry(request);
}

void Workload::apply_dispatch_defects(const routing::Router& router, const routing::TenantWithTemplate* tenant,
                                      routing::RouteDecision& decision) {
  const auto& defects = fleet_.options().defects;
  const bool dispatches = decision.verdict == routing::RouteVerdict::kDispatch;
  if (tenant == nullptr || !(defects.entries_ignore_zones || (defects.entries_ignore_leases && !dispatches))) {
    return;
  }
  const auto& groups = router.table().serving_groups(tenant->tenant.template_name);
  const auto usable_group = std::find_if(groups.begin(), groups.end(), [&](const auto& group) {
    return defects.entries_ignore_zones || tenant->permits_zone(group.zone);
  });
  if (usable_group != groups.end()) {
    decision = {routing::RouteVerdict::kDispatch, &*usable_group};
  }
}

void Workload::dispatch_request(SimulatedNode& node, const RequestPointer& request) {
  auto& router = node.controller->entry().router();
  routing::RouteQuery query;
  query.tenant = request->tenant;
  const auto* tenant_view = router.table().find_tenant(request->tenant);
  query.model = tenant_view == nullptr ? "" : tenant_view->tenant_template.model;
  query.excluded_group_ids = request->tried_groups;
  auto decision = router.route(fleet_.local_now(node), query);
  apply_dispatch_defects(router, tenant_view, decision);
  if (decision.verdict != routing::RouteVerdict::kDispatch) {
    finish_request(node, request, wire::ClaimState::NOT_RUN);
    return;
  }
  const wire::Group group = *decision.group;
  request->tried_groups.insert(group.id);
  --request->remaining_attempts;
  router.record_dispatch(group.id);
  const std::string name = node.name;
  fleet_.run_request(
      node, group, request->tenant, request->id, request->key, options_.service_time,
      [this, name, request, id = group.id](SimulatedFleet::AttemptResult result) {
        SimulatedNode& entry = fleet_.nodes().at(name);
        entry.controller->entry().router().record_completion(id);
        if (result == SimulatedFleet::AttemptResult::kExecuted) {
          finish_request(entry, request, wire::ClaimState::RAN);
        } else if (result == SimulatedFleet::AttemptResult::kRefused && request->remaining_attempts > 0) {
          dispatch_request(entry, request);
        } else {
          const bool is_refused = result == SimulatedFleet::AttemptResult::kRefused;
          const bool misreport = fleet_.options().defects.report_unknown_as_not_run;
          finish_request(entry, request,
                         is_refused || misreport ? wire::ClaimState::NOT_RUN : wire::ClaimState::UNKNOWN);
        }
      });
}

void Workload::finish_request(SimulatedNode& node, const RequestPointer& request, wire::ClaimState::type state) {
  if (!request->key.empty() && request->claim_nonce != 0) {
    wire::ClaimResolution resolution;
    resolution.tenant = request->tenant;
    resolution.key = request->key;
    resolution.nonce = request->claim_nonce;
    resolution.state = state;
    resolution.answer_body = request->id;
    resolution.answer_content_type = "text/plain";
    node.controller->resolve_claim(fleet_.local_now(node), resolution);
    fleet_.process_outputs(node);
    request->claim_nonce = 0;
  }
  if (state == wire::ClaimState::RAN) {
    ++stats_.ran;
    if (!request->key.empty()) {
      fleet_.monitor().record_answer(fleet_.queue().now(), request->key, request->id);
    }
    return;
  }
  if (state == wire::ClaimState::NOT_RUN) {
    ++stats_.not_run;
    fleet_.monitor().record_not_run_reply(fleet_.queue().now(), request->id);
  } else {
    ++stats_.unknown;
  }
  schedule_retry(request);
}

void Workload::schedule_retry(const RequestPointer& request) {
  if (--request->remaining_sends <= 0) {
    return;
  }
  // Use a copy, because the earlier attempt may still be in flight.
  auto retried = std::make_shared<CallerRequest>(*request);
  retried->claim_nonce = 0;
  fleet_.queue().schedule_after(kRetryDelay, [this, retried] {
    if (auto* node = pick_running_node()) {
      send_request(*node, retried);
    }
  });
}

// ----------------------------------------------------------------- operators

void Workload::send_operator_request(const wire::OperatorRequest& request, const ReplyHandler& handler, int attempts) {
  auto* node = pick_running_node();
  const auto retry = [this, request, handler, attempts] {
    if (attempts > 1) {
      send_operator_request(request, handler, attempts - 1);
    }
  };
  if (node == nullptr) {
    fleet_.queue().schedule_after(kOperatorTimeout, retry);
    return;
  }
  const TimePoint now = fleet_.local_now(*node);
  const int64_t id = node->controller->submit_operator_request(now, request, now + kOperatorTimeout);
  const std::pair<std::string, int64_t> reply_key(node->name + "#" + std::to_string(node->process_generation), id);
  auto answered = std::make_shared<bool>(false);
  pending_replies_[reply_key] = [handler, answered, retry](const wire::OperatorReply& reply) {
    *answered = true;
    if (reply.leader.empty()) {
      retry();
    } else {
      handler(reply);
    }
  };
  fleet_.process_outputs(*node);
  // If the node crashes, its reply is lost. The operator then retries through another node with the same command id.
  fleet_.queue().schedule_after(kOperatorTimeout * 2, [this, reply_key, answered, retry] {
    if (!*answered) {
      pending_replies_.erase(reply_key);
      retry();
    }
  });
}

void Workload::record_change_reply(const wire::ConfigurationChange& change, const wire::OperatorReply& reply) {
  const TimePoint now = fleet_.queue().now();
  fleet_.monitor().record_verdict(now, change.command_id, reply.answer);
  answered_changes_[change.command_id] = change;
  const bool in_force = reply.in_force || fleet_.options().defects.in_force_at_commit;
  if (reply.answer.verdict == wire::Verdict::ACCEPTED && in_force) {
    ++stats_.in_force;
    fleet_.monitor().record_revision_in_force(now, reply.answer.revision);
  }
}

void Workload::send_change(const wire::ConfigurationChange& change, const ReplyHandler& handler) {
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::APPLY;
  request.__set_change(change);
  send_operator_request(
      request,
      [this, change, handler](const wire::OperatorReply& reply) {
        record_change_reply(change, reply);
        handler(reply);
      },
      kMaxOperatorAttempts);
}

void Workload::apply_change(const std::string& tenant, std::function<void(const wire::OperatorReply&)> done) {
  const std::string key = config::tenant_key(tenant);
  const int64_t read_id = next_id_++;
  fleet_.monitor().record_read_start(key, read_id);
  if (auto* node = fleet_.options().defects.reads_from_any_node ? pick_running_node() : nullptr) {
    const auto* local_record = node->controller->entry().records().find(key);
    fleet_.monitor().record_read_result(fleet_.queue().now(), key, read_id,
                                        local_record == nullptr ? 0 : local_record->revision);
  }
  wire::OperatorRequest read;
  read.action = wire::OperatorAction::GET;
  read.prefix = key;
  send_operator_request(
      read,
      [this, key, read_id, done](const wire::OperatorReply& reply) {
        const auto record = std::find_if(reply.records.begin(), reply.records.end(),
                                         [&key](const auto& item) { return item.key == key; });
        if (record == reply.records.end()) {
          return;
        }
        fleet_.monitor().record_read_result(fleet_.queue().now(), key, read_id, record->revision);
        auto changed_tenant = wire::decode<wire::Tenant>(record->value);
        changed_tenant->max_concurrent = std::uniform_int_distribution<int>(20, 80)(fleet_.random());
        if (changed_tenant->zones.size() > 1) {
          std::rotate(changed_tenant->zones.begin(), changed_tenant->zones.begin() + 1, changed_tenant->zones.end());
        }
        wire::ConfigurationChange change;
        change.operator_name = "operator";
        change.command_id = "command-" + std::to_string(next_id_++);
        wire::KeyRevision revision;
        revision.key = key;
        revision.revision = record->revision;
        change.reads.push_back(revision);
        wire::KeyWrite write;
        write.key = key;
        write.value = wire::encode(*changed_tenant);
        change.writes.push_back(write);
        send_change(change, done);
      },
      kMaxOperatorAttempts);
}

void Workload::send_next_change(TimePoint end, int operator_number) {
  if (fleet_.queue().now() >= end) {
    return;
  }
  ++stats_.changes;
  auto& random = fleet_.random();
  const auto& tenant = options_.tenants[std::uniform_int_distribution<size_t>(0, options_.tenants.size() - 1)(random)];
  apply_change(tenant, [this](const wire::OperatorReply& reply) {
    stats_.accepted += reply.answer.verdict == wire::Verdict::ACCEPTED ? 1 : 0;
    stats_.conflicts += reply.answer.verdict == wire::Verdict::CONFLICT ? 1 : 0;
  });
  fleet_.queue().schedule_after(options_.change_interval,
                                [this, end, operator_number] { send_next_change(end, operator_number); });
}

void Workload::configure(const std::vector<wire::KeyWrite>& writes, std::function<void()> done) {
  wire::ConfigurationChange change;
  change.operator_name = "setup";
  change.command_id = "setup";
  change.writes = writes;
  send_change(change, [this, done](const wire::OperatorReply& reply) {
    if (reply.answer.verdict != wire::Verdict::ACCEPTED) {
      fleet_.monitor().report_violation(fleet_.queue().now(),
                                        "the initial configuration was rejected: " + reply.answer.message);
    }
    done();
  });
}

void Workload::resend_answered_changes() {
  const auto answered = answered_changes_;
  for (const auto& [id, change] : answered) {
    send_change(change, [](const wire::OperatorReply&) {});
  }
}

}  // namespace larchlever::simulation
