#include "simulation/workload.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kClaimPatience = seconds(2);
constexpr Duration kOperatorPatience = seconds(3);
constexpr Duration kResendPause = milliseconds(300);
constexpr int kOperatorTries = 8;

}  // namespace

Workload::Workload(const WorkloadOptions& options, SimulatedFleet& fleet) : options_(options), fleet_(fleet) {
  fleet_.on_claim = [this](SimulatedNode& node, const node::ClaimOutcome& outcome) { claim_decided(node, outcome); };
  fleet_.on_operator_reply = [this](SimulatedNode& node, const wire::OperatorReply& reply) {
    const auto found = replies_.find({node.name + "#" + std::to_string(node.generation), reply.request_id});
    if (found != replies_.end()) {
      const ReplyHandler handler = std::move(found->second);
      replies_.erase(found);
      handler(reply);
    }
  };
}

SimulatedNode* Workload::any_node() {
  std::vector<SimulatedNode*> up;
  for (auto& [name, node] : fleet_.nodes()) {
    if (fleet_.is_up(node)) {
      up.push_back(&node);
    }
  }
  if (up.empty()) {
    return nullptr;
  }
  return up[std::uniform_int_distribution<size_t>(0, up.size() - 1)(fleet_.random())];
}

void Workload::start(TimePoint end) {
  next_request(end);
  for (int number = 0; number < options_.operators; ++number) {
    next_change(end, number);
  }
}

// ------------------------------------------------------------------- callers

void Workload::next_request(TimePoint end) {
  if (fleet_.queue().now() >= end) {
    return;
  }
  auto& random = fleet_.random();
  auto request = std::make_shared<Request>();
  request->tenant = options_.tenants[std::uniform_int_distribution<size_t>(0, options_.tenants.size() - 1)(random)];
  const bool keyed = std::uniform_int_distribution<int>(0, 1)(random) == 1;
  const int64_t number = next_id_++;
  if (keyed) {
    request->key = "key-" + std::to_string(number);
    request->sends_left = 3;
  }
  if (auto* node = any_node()) {
    send(*node, request);
  }
  const bool race = keyed && std::uniform_int_distribution<int>(0, 3)(random) == 0;
  if (race) {
    auto rival = std::make_shared<Request>(*request);
    rival->sends_left = 1;
    if (auto* node = any_node()) {
      send(*node, rival);
    }
  }
  fleet_.queue().after(options_.request_interval, [this, end] { next_request(end); });
}

void Workload::send(SimulatedNode& node, const RequestPointer& request) {
  ++stats_.requests;
  request->id = "request-" + std::to_string(next_id_++);
  request->attempts_left = 3;
  request->tried.clear();
  const bool may_act = node.controller->entry().has_configuration_lease(fleet_.local_now(node)) ||
                       fleet_.options().defects.entries_ignore_leases;
  if (!may_act) {
    ++stats_.not_run;
    fleet_.monitor().told_not_run(fleet_.queue().now(), request->id);
    resend_later(request);
    return;
  }
  if (request->key.empty() || fleet_.options().defects.dispatch_without_claim) {
    dispatch(node, request);
    return;
  }
  wire::Claim claim;
  claim.tenant = request->tenant;
  claim.key = request->key;
  const TimePoint now = fleet_.local_now(node);
  const int64_t id = node.controller->submit_claim(now, claim, now + kClaimPatience);
  claims_[{node.name + "#" + std::to_string(node.generation), id}] = request;
  fleet_.pump(node);
}

void Workload::claim_decided(SimulatedNode& node, const node::ClaimOutcome& outcome) {
  const auto found = claims_.find({node.name + "#" + std::to_string(node.generation), outcome.request_id});
  if (found == claims_.end()) {
    return;
  }
  const RequestPointer request = found->second;
  claims_.erase(found);
  request->nonce = outcome.request_id;
  if (outcome.granted) {
    dispatch(node, request);
    return;
  }
  if (!outcome.decided) {
    finish(node, request, wire::ClaimState::NOT_RUN);
    return;
  }
  if (outcome.existing_claim.state == wire::ClaimState::RAN) {
    ++stats_.replayed;
    fleet_.monitor().told_answer(fleet_.queue().now(), request->key, outcome.existing_claim.answer_body);
    return;
  }
  ++stats_.unknown;
  resend_later(request);
}

void Workload::plant_dispatch_defects(const routing::Router& router, const routing::TenantWithTemplate* tenant,
                                      routing::RouteDecision& decision) {
  const auto& defects = fleet_.options().defects;
  const bool dispatches = decision.verdict == routing::RouteVerdict::kDispatch;
  if (tenant == nullptr || !(defects.entries_ignore_zones || (defects.entries_ignore_leases && !dispatches))) {
    return;
  }
  const auto& groups = router.table().serving_groups(tenant->tenant.template_name);
  const auto usable = std::find_if(groups.begin(), groups.end(), [&](const auto& group) {
    return defects.entries_ignore_zones || tenant->permits_zone(group.zone);
  });
  if (usable != groups.end()) {
    decision = {routing::RouteVerdict::kDispatch, &*usable};
  }
}

void Workload::dispatch(SimulatedNode& node, const RequestPointer& request) {
  auto& router = node.controller->entry().router();
  routing::RouteQuery query;
  query.tenant = request->tenant;
  const auto* view = router.table().find_tenant(request->tenant);
  query.model = view == nullptr ? "" : view->tenant_template.model;
  query.excluded_group_ids = request->tried;
  auto decision = router.route(fleet_.local_now(node), query);
  plant_dispatch_defects(router, view, decision);
  if (decision.verdict != routing::RouteVerdict::kDispatch) {
    finish(node, request, wire::ClaimState::NOT_RUN);
    return;
  }
  const wire::Group group = *decision.group;
  request->tried.insert(group.id);
  --request->attempts_left;
  router.record_dispatch(group.id);
  const std::string name = node.name;
  fleet_.run_request(node, group, request->tenant, request->id, request->key, options_.service_time,
                     [this, name, request, id = group.id](SimulatedFleet::RunResult result) {
                       SimulatedNode& entry = fleet_.nodes().at(name);
                       entry.controller->entry().router().record_completion(id);
                       if (result == SimulatedFleet::RunResult::kRan) {
                         finish(entry, request, wire::ClaimState::RAN);
                       } else if (result == SimulatedFleet::RunResult::kRefused && request->attempts_left > 0) {
                         dispatch(entry, request);
                       } else {
                         const bool refused = result == SimulatedFleet::RunResult::kRefused;
                         const bool lie = fleet_.options().defects.unknown_told_as_not_run;
                         finish(entry, request, refused || lie ? wire::ClaimState::NOT_RUN : wire::ClaimState::UNKNOWN);
                       }
                     });
}

void Workload::finish(SimulatedNode& node, const RequestPointer& request, wire::ClaimState::type state) {
  if (!request->key.empty() && request->nonce != 0) {
    wire::ClaimResolution resolution;
    resolution.tenant = request->tenant;
    resolution.key = request->key;
    resolution.nonce = request->nonce;
    resolution.state = state;
    resolution.answer_body = request->id;
    resolution.answer_content_type = "text/plain";
    node.controller->resolve_claim(fleet_.local_now(node), resolution);
    fleet_.pump(node);
    request->nonce = 0;
  }
  if (state == wire::ClaimState::RAN) {
    ++stats_.ran;
    if (!request->key.empty()) {
      fleet_.monitor().told_answer(fleet_.queue().now(), request->key, request->id);
    }
    return;
  }
  if (state == wire::ClaimState::NOT_RUN) {
    ++stats_.not_run;
    fleet_.monitor().told_not_run(fleet_.queue().now(), request->id);
  } else {
    ++stats_.unknown;
  }
  resend_later(request);
}

void Workload::resend_later(const RequestPointer& request) {
  if (--request->sends_left <= 0) {
    return;
  }
  // A fresh copy: the earlier send may still be under way.
  auto again = std::make_shared<Request>(*request);
  again->nonce = 0;
  fleet_.queue().after(kResendPause, [this, again] {
    if (auto* node = any_node()) {
      send(*node, again);
    }
  });
}

// ----------------------------------------------------------------- operators

void Workload::operate(const wire::OperatorRequest& request, const ReplyHandler& handler, int tries) {
  auto* node = any_node();
  const auto again = [this, request, handler, tries] {
    if (tries > 1) {
      operate(request, handler, tries - 1);
    }
  };
  if (node == nullptr) {
    fleet_.queue().after(kOperatorPatience, again);
    return;
  }
  const TimePoint now = fleet_.local_now(*node);
  const int64_t id = node->controller->submit_operator_request(now, request, now + kOperatorPatience);
  const std::pair<std::string, int64_t> slot(node->name + "#" + std::to_string(node->generation), id);
  auto answered = std::make_shared<bool>(false);
  replies_[slot] = [handler, answered, again](const wire::OperatorReply& reply) {
    *answered = true;
    if (reply.leader.empty()) {
      again();
    } else {
      handler(reply);
    }
  };
  fleet_.pump(*node);
  // The node may crash and its answer be lost: the operator then asks another, under the same command id.
  fleet_.queue().after(kOperatorPatience * 2, [this, slot, answered, again] {
    if (!*answered) {
      replies_.erase(slot);
      again();
    }
  });
}

void Workload::note_answer(const wire::ConfigurationChange& change, const wire::OperatorReply& reply) {
  const TimePoint now = fleet_.queue().now();
  fleet_.monitor().told_verdict(now, change.command_id, reply.answer);
  answered_[change.command_id] = change;
  const bool in_force = reply.in_force || fleet_.options().defects.in_force_at_commit;
  if (reply.answer.verdict == wire::Verdict::ACCEPTED && in_force) {
    ++stats_.in_force;
    fleet_.monitor().in_force(now, reply.answer.revision);
  }
}

void Workload::send_change(const wire::ConfigurationChange& change, const ReplyHandler& handler) {
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::APPLY;
  request.__set_change(change);
  operate(
      request,
      [this, change, handler](const wire::OperatorReply& reply) {
        note_answer(change, reply);
        handler(reply);
      },
      kOperatorTries);
}

void Workload::apply_change(const std::string& tenant, std::function<void(const wire::OperatorReply&)> done) {
  const std::string key = config::tenant_key(tenant);
  const int64_t read_id = next_id_++;
  fleet_.monitor().read_started(key, read_id);
  if (auto* node = fleet_.options().defects.reads_from_any_node ? any_node() : nullptr) {
    const auto* held = node->controller->entry().records().find(key);
    fleet_.monitor().read_finished(fleet_.queue().now(), key, read_id, held == nullptr ? 0 : held->revision);
  }
  wire::OperatorRequest read;
  read.action = wire::OperatorAction::GET;
  read.prefix = key;
  operate(
      read,
      [this, key, read_id, done](const wire::OperatorReply& reply) {
        const auto record = std::find_if(reply.records.begin(), reply.records.end(),
                                         [&key](const auto& item) { return item.key == key; });
        if (record == reply.records.end()) {
          return;
        }
        fleet_.monitor().read_finished(fleet_.queue().now(), key, read_id, record->revision);
        auto tenant_value = wire::decode<wire::Tenant>(record->value);
        tenant_value->max_concurrent = std::uniform_int_distribution<int>(20, 80)(fleet_.random());
        if (tenant_value->zones.size() > 1) {
          std::rotate(tenant_value->zones.begin(), tenant_value->zones.begin() + 1, tenant_value->zones.end());
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
        write.value = wire::encode(*tenant_value);
        change.writes.push_back(write);
        send_change(change, done);
      },
      kOperatorTries);
}

void Workload::next_change(TimePoint end, int operator_number) {
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
  fleet_.queue().after(options_.change_interval, [this, end, operator_number] { next_change(end, operator_number); });
}

void Workload::configure(const std::vector<wire::KeyWrite>& writes, std::function<void()> done) {
  wire::ConfigurationChange change;
  change.operator_name = "setup";
  change.command_id = "setup";
  change.writes = writes;
  send_change(change, [this, done](const wire::OperatorReply& reply) {
    if (reply.answer.verdict != wire::Verdict::ACCEPTED) {
      fleet_.monitor().fail(fleet_.queue().now(), "the first templates were refused: " + reply.answer.message);
    }
    done();
  });
}

void Workload::resend_all() {
  const auto answered = answered_;
  for (const auto& [id, change] : answered) {
    send_change(change, [](const wire::OperatorReply&) {});
  }
}

}  // namespace larchlever::simulation
