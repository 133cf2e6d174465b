#include "core/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/fleet/instance_directory.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// A failure does not count against a target that made progress for another request more recently than this.
constexpr Duration kRecentProgressAge = milliseconds(700);
/// Progress older than this is not reported.
constexpr Duration kMaxReportedProgressAge = seconds(3);
/// Tolerance for pauses of a healthy group: this percentage of the longest pass of the cost model, plus network delay.
constexpr int kPauseTolerancePercent = 120;
constexpr Duration kNetworkPauseAllowance = milliseconds(40);
constexpr Duration kDefaultLongestPause = seconds(1);
/// A group counts as stalled after this multiple of the longest expected pause.
constexpr int kStallPauseMultiple = 2;
/// Fraction of a head's slots that may be filled, because the load of other entries is known with a delay.
constexpr double kUsableSlotShare = 0.92;
/// Penalty for a target in another zone, in requests in flight and in milliseconds to the first event.
constexpr double kOtherZonePenaltyRequests = 1.0;
constexpr double kOtherZonePenaltyMs = 2.0;
/// Factor by which permits exceed the free slots, because not every entry uses its share.
constexpr double kPermitOverbooking = 2.0;
/// Update interval of other entries' loads; permits are recalculated as often.
constexpr Duration kPermitRefreshInterval = milliseconds(100);
/// How long reported loads of other entries are valid: four update intervals of an entry that requests them.
constexpr Duration kReportedLoadLifetime = seconds(1);
/// Number of randomly sampled groups, of which the best one is chosen. If all entries chose the best of all groups from
/// the same reported loads, they would all choose the same one.
constexpr size_t kSampledGroups = 3;

}  // namespace

Dispatcher::Dispatcher(const FleetOptions& options, std::string zone, uint64_t seed)
    : options_(options),
      zone_(std::move(zone)),
      random_engine_(seed),
      rate_shares_(seed),
      retry_budget_({options.retry_ratio, options.retry_slack, options.retry_window}) {}

std::vector<std::string> Dispatcher::update_state(const wire::FleetState& state) {
  const auto previous = std::exchange(instances_, {});
  std::set<std::string> restarted;
  std::vector<std::string> restarted_keys;
  for (const auto& instance : state.instances) {
    const auto known = previous.find(instance.id);
    if (known != previous.end() && is_other_incarnation(known->second, instance)) {
      restarted.insert(instance.id);
      restarted_keys.push_back(incarnation_name(known->second));
    }
    instances_[instance.id] = instance;
  }
  published_limits_.clear();
  for (const auto& instance : state.instances) {
    if (const auto limit = rate_limit_of(instance)) {
      published_limits_[incarnation_name(instance)] = *limit;
    }
  }
  for (const auto& group : groups_) {
    if (restarted.contains(group.members.front())) {
      restarted_keys.push_back(group.name);
    }
  }
  groups_ = state.groups;
  std::set<std::string> addresses;
  for (const auto& instance : state.instances) {
    addresses.insert(instance.address);
  }
  links_.retain_servers(addresses);
  remove_unknown_targets();
  remove_unlimited_servers();
  return restarted_keys;
}

void Dispatcher::remove_unknown_targets() {
  std::set<std::string> known;
  for (const auto& group : groups_) {
    known.insert(group.name);
  }
  for (const auto& [id, instance] : instances_) {
    known.insert(incarnation_name(instance));
  }
  std::erase_if(health_, [&](const auto& item) { return item.second.in_flight() == 0 && !known.contains(item.first); });
  std::erase_if(unreported_response_times_, [&known](const auto& item) { return !known.contains(item.first); });
}

void Dispatcher::update_services(const std::map<std::string, document::ServiceSpec>& services) {
  longest_pauses_.clear();
  min_gap_objectives_.clear();  // Routes may have other objectives now.
  for (const auto& [name, service] : services) {
    if (!service.engine) {
      continue;
    }
    for (const auto& model : service.engine->models) {
      longest_pauses_[{name, model.name}] =
          engine::max_pass_duration(*service.engine, model) * kPauseTolerancePercent / 100 + kNetworkPauseAllowance;
    }
  }
}

Duration Dispatcher::longest_pause(const std::string& service, const std::string& model) const {
  const std::pair key(service, model);
  const auto from_cost_model = longest_pauses_.find(key);
  const auto from_objective = min_gap_objectives_.find(key);
  const Duration longest = from_cost_model == longest_pauses_.end() ? kDefaultLongestPause : from_cost_model->second;
  return from_objective == min_gap_objectives_.end()
             ? longest
             : std::min(longest, from_objective->second + kNetworkPauseAllowance);
}

void Dispatcher::record_gap_objective(const std::string& service, const std::string& model, Duration gap) {
  if (gap > Duration::zero()) {
    const auto [smallest, is_first] = min_gap_objectives_.try_emplace({service, model}, gap);
    smallest->second = std::min(smallest->second, gap);
  }
}

std::vector<std::string> Dispatcher::quiet_groups(TimePoint now) const {
  std::vector<std::string> result;
  for (const auto& group : groups_) {
    const auto health = health_.find(group.name);
    const bool is_overdue =
        health != health_.end() && health->second.is_overdue(now, longest_pause(group.service_name, group.model));
    if (is_overdue && !links_.are_all_silent_since(health->second.last_progress())) {
      result.push_back(group.name);
    }
  }
  return result;
}

void Dispatcher::update_loads(TimePoint now, const std::vector<wire::GroupLoad>& totals) {
  clear_reported_loads();
  loads_reported_at_ = now;
  for (const auto& load : totals) {
    const TargetHealth& own = health_[load.group];
    OtherEntriesLoad others_load;
    others_load.in_flight = std::max(0, load.in_flight - own.in_flight());
    others_load.streaming = std::max(0, load.streaming - own.streaming());
    others_load.waiting_tokens = std::max(0.0, static_cast<double>(load.waiting_tokens) - own.waiting_tokens());
    if (load.progress_age_ms != kUnknownProgressAge) {
      others_load.last_progress = now - milliseconds(load.progress_age_ms);
    }
    health_[load.group].set_other_entries_load(others_load);
  }
}

void Dispatcher::clear_reported_loads() {
  for (auto& [key, health] : health_) {
    health.set_other_entries_load({});
  }
  loads_reported_at_ = TimePoint::min();
}

void Dispatcher::expire_reported_loads(TimePoint now) {
  // Loads are reported only while there is no leader. If kept longer, streams that other entries once had would look
  // stalled, and the group would be avoided forever, because without new requests nothing would show that it works.
  if (loads_reported_at_ != TimePoint::min() && now - loads_reported_at_ > kReportedLoadLifetime) {
    clear_reported_loads();
  }
}

const std::string& Dispatcher::choose_service(const document::Route& route) {
  double total = 0;
  for (const auto& target : route.services) {
    total += target.weight;
  }
  double draw = std::uniform_real_distribution<double>(0, total)(random_engine_);
  for (const auto& target : route.services) {
    draw -= target.weight;
    if (target.weight > 0 && draw <= 0) {
      return target.service;
    }
  }
  return route.services.back().service;
}

double Dispatcher::instance_cost(const std::string& key, const std::string& zone) {
  const double tie_break = std::uniform_real_distribution<double>(0, 1)(random_engine_);
  return health_[key].total_in_flight() + (zone == zone_ ? 0.0 : kOtherZonePenaltyRequests) + tie_break;
}

void Dispatcher::record_demand(const std::string& service, const RequestRequirements& requirements,
                               const engine::RequestTokenCounts& sizes) {
  size_estimates_[{service, requirements.model}].add_sample(sizes.prompt, sizes.answer);
  wire::ModelDemand& total = demand_by_model_[{service, requirements.model}];
  total.service_name = service;
  total.model = requirements.model;
  ++total.received;
  total.prompt_tokens += static_cast<int64_t>(sizes.prompt);
  total.answer_tokens += static_cast<int64_t>(sizes.answer);
  const auto target_ms = static_cast<int32_t>(requirements.target_latency / milliseconds(1));
  total.target_latency_ms = total.target_latency_ms == 0 ? target_ms : std::min(total.target_latency_ms, target_ms);
}

std::vector<wire::ModelDemand> Dispatcher::demand_totals() const {
  std::vector<wire::ModelDemand> result;
  for (const auto& [key, total] : demand_by_model_) {
    result.push_back(total);
  }
  return result;
}

int Dispatcher::max_in_flight(const document::ServiceSpec& service, const RequestRequirements& requirements) const {
  const auto& engine = *service.engine;
  const int filled = std::max(1, static_cast<int>(engine.slots * kUsableSlotShare));
  const auto* model = engine.find_model(requirements.model);
  if (model == nullptr || requirements.target_latency <= Duration::zero()) {
    return filled;
  }
  const engine::RequestTokenCounts usual{engine.typical_prompt_tokens, engine.typical_answer_tokens};
  const auto estimate = size_estimates_.find({service.name, requirements.model});
  const auto sizes = estimate == size_estimates_.end() ? usual : estimate->second.sizes(usual);
  return std::min(filled, engine::max_running_requests(engine, *model, sizes, requirements.target_latency));
}

double Dispatcher::group_cost_ms(const document::ServiceSpec& service, const RequestRequirements& requirements,
                                 const OpenGroup& candidate) const {
  const auto& [group, head] = candidate;
  const auto* model = service.engine->find_model(group->model);
  const auto found = health_.find(group->name);
  if (model == nullptr || found == health_.end()) {
    return 0;
  }
  const auto first_event =
      engine::expected_time_to_first_event(*service.engine, *model, found->second.total_in_flight(),
                                           found->second.total_waiting_tokens(), requirements.prompt_tokens);
  return std::chrono::duration<double, std::milli>(first_event).count() +
         (head->zone == zone_ ? 0.0 : kOtherZonePenaltyMs);
}

DispatchTarget Dispatcher::make_target(const wire::EngineGroup& group, const wire::Instance& head) {
  const int in_flight = health_[group.name].total_in_flight();
  return {group.name,
          group.service_name,
          group.name,
          head.id,
          head.address,
          in_flight,
          incarnation_name(head),
          group_zones(group, head),
          {head.address, head.zone}};
}

size_t Dispatcher::cheapest_of_sample(const document::ServiceSpec& service, const RequestRequirements& requirements,
                                      std::vector<OpenGroup>& open) {
  std::shuffle(open.begin(), open.end(), random_engine_);
  size_t best = 0;
  double best_cost = group_cost_ms(service, requirements, open[0]);
  for (size_t index = 1; index < std::min(open.size(), kSampledGroups); ++index) {
    const double cost = group_cost_ms(service, requirements, open[index]);
    if (cost < best_cost) {
      best_cost = cost;
      best = index;
    }
  }
  return best;
}

void Dispatcher::refresh_permits(TimePoint now, const std::string& service, const std::string& model,
                                 int in_flight_limit) {
  const auto [refreshed_at, is_first] = permits_refreshed_at_.try_emplace({service, model}, now);
  if (!is_first && now - refreshed_at->second < kPermitRefreshInterval) {
    return;
  }
  refreshed_at->second = now;
  for (const auto& group : groups_) {
    if (group.service_name != service || group.model != model) {
      continue;
    }
    TargetHealth& health = health_[group.name];
    const double permit_share =
        std::max(0.0, kPermitOverbooking * (in_flight_limit - health.total_in_flight()) / serving_nodes_);
    const double whole_permits = std::floor(permit_share);
    const bool has_extra_permit =
        std::uniform_real_distribution<double>(0, 1)(random_engine_) < permit_share - whole_permits;
    health.set_permits(static_cast<int>(whole_permits) + (has_extra_permit ? 1 : 0));
  }
}

DispatchDecision Dispatcher::choose_group(TimePoint now, const document::ServiceSpec& service,
                                          const RequestRequirements& requirements,
                                          const std::set<std::string>& excluded) {
  const int in_flight_limit = max_in_flight(service, requirements);
  refresh_permits(now, service.name, requirements.model, in_flight_limit);
  bool any_full = false;
  std::optional<TimePoint> next_allowed_at;
  std::vector<OpenGroup> open;
  std::vector<OpenGroup> quiet;
  for (const auto& group : groups_) {
    const auto* head = available_head(group, service.name, requirements.model);
    if (head == nullptr || excluded.contains(group.name) || is_out_of_reach(*head) ||
        !is_in_allowed_zones(requirements, group, *head)) {
      continue;
    }
    const TargetHealth& health = health_[group.name];
    if (health.is_avoided(now) || !notices_.may_send(now, incarnation_name(*head))) {
      continue;
    }
    if (health.total_in_flight() >= in_flight_limit || !health.has_permit()) {
      any_full = true;
      continue;
    }
    const std::string incarnation = incarnation_name(*head);
    const double rate_per_second = request_rate_limit(service, *head, incarnation);
    const TimePoint allowed_at = rate_shares_.next_allowed_at(now, incarnation, rate_per_second, serving_nodes_);
    if (allowed_at > now) {
      next_allowed_at = std::min(allowed_at, next_allowed_at.value_or(allowed_at));
      continue;
    }
    auto& list = health.is_quiet(now, longest_pause(service.name, group.model)) ? quiet : open;
    list.emplace_back(&group, head);
  }
  if (open.empty() && !requirements.excludes_quiet_groups) {
    open = std::move(quiet);  // Better than no target: all groups may pause for a legitimate reason.
  }
  DispatchDecision decision;
  if (open.empty()) {
    decision.failure = any_full || next_allowed_at ? DispatchFailure::kAllBusy : DispatchFailure::kNoTarget;
    decision.next_allowed_at = any_full ? std::nullopt : next_allowed_at;
    return decision;
  }
  const size_t best = cheapest_of_sample(service, requirements, open);
  const auto& [group, head] = open[best];
  note_rate_limited_attempt(now, service, *head);
  decision.target = make_target(*group, *head);
  return decision;
}

DispatchDecision Dispatcher::choose_target(TimePoint now, const document::ServiceSpec& service,
                                           const RequestRequirements& requirements,
                                           const std::set<std::string>& excluded, RateAuthority authority) {
  expire_reported_loads(now);
  return service.engine ? choose_group(now, service, requirements, excluded)
                        : choose_instance(now, service, requirements, excluded, authority);
}

const wire::Instance* Dispatcher::find_available_instance(const std::string& id) const {
  const auto found = instances_.find(id);
  return found != instances_.end() && is_available(found->second) ? &found->second : nullptr;
}

bool Dispatcher::is_available(const wire::Instance& instance) const {
  return instance.state == wire::InstanceState::READY && !is_evacuated(evacuations_, instance.zone);
}

const wire::Instance* Dispatcher::available_head(const wire::EngineGroup& group, const std::string& service,
                                                 const std::string& model) const {
  const bool is_eligible = group.phase == wire::GroupPhase::OPEN && group.service_name == service &&
                           group.model == model && !is_evacuated(evacuations_, group);
  return is_eligible ? find_available_instance(group.members.front()) : nullptr;
}

bool Dispatcher::may_send(TimePoint now, const DispatchTarget& target) const {
  const bool reaches_evacuated_zone = std::any_of(
      target.zones.begin(), target.zones.end(), [this](const auto& zone) { return is_evacuated(evacuations_, zone); });
  return !reaches_evacuated_zone && notices_.may_send(now, target.incarnation);
}

bool Dispatcher::is_in_allowed_zones(const RequestRequirements& requirements, const wire::EngineGroup& group,
                                     const wire::Instance& head) {
  return requirements.allowed_zones == nullptr ||
         document::all_zones_allowed(requirements.allowed_zones, group_zones(group, head));
}

std::vector<std::string> Dispatcher::group_zones(const wire::EngineGroup& group, const wire::Instance& head) {
  return group.zones.empty() ? std::vector<std::string>{head.zone} : group.zones;
}

bool Dispatcher::are_all_servers_evacuated(const std::string& service, const std::string& model,
                                           const std::set<std::string>* allowed_zones) const {
  if (evacuations_.zones.empty()) {
    return false;
  }
  const auto is_in_allowed_zones = [allowed_zones](const std::string& zone) {
    return document::all_zones_allowed(allowed_zones, {zone});
  };
  const auto servers = available_servers(service, model);
  const bool has_server = std::any_of(servers.begin(), servers.end(),
                                      [&](const auto* server) { return is_in_allowed_zones(server->zone); });
  const bool has_evacuated_server = std::any_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    const auto& instance = item.second;
    return instance.service_name == service && is_evacuated(evacuations_, instance.zone) &&
           is_in_allowed_zones(instance.zone);
  });
  return !has_server && has_evacuated_server;
}

std::vector<const wire::Instance*> Dispatcher::available_servers(const std::string& service,
                                                                 const std::string& model) const {
  std::vector<const wire::Instance*> result;
  if (model.empty()) {
    for (const auto& [id, instance] : instances_) {
      if (instance.service_name == service && is_available(instance)) {
        result.push_back(&instance);
      }
    }
    return result;
  }
  for (const auto& group : groups_) {
    if (const auto* head = available_head(group, service, model)) {
      result.push_back(head);
    }
  }
  return result;
}

std::optional<TimePoint> Dispatcher::all_backing_off_until(TimePoint now, const std::string& service,
                                                           const std::string& model) const {
  if (notices_.size() == 0) {
    return std::nullopt;  // Fast path, because this is called for each request.
  }
  TimePoint first = TimePoint::max();
  for (const auto* server : available_servers(service, model)) {
    first = std::min(first, notices_.available_at(now, incarnation_name(*server)));
  }
  const bool all_back_off = first > now && first != TimePoint::max();
  return all_back_off ? std::optional(first) : std::nullopt;
}

std::optional<DispatchTarget> Dispatcher::target_of_group(TimePoint now, const std::string& group) {
  const auto matching_group = std::find_if(groups_.begin(), groups_.end(), [this, &group](const auto& item) {
    return item.name == group && item.phase == wire::GroupPhase::OPEN && !is_evacuated(evacuations_, item);
  });
  const auto* head =
      matching_group == groups_.end() ? nullptr : find_available_instance(matching_group->members.front());
  if (head == nullptr || is_out_of_reach(*head) || health_[group].is_avoided(now)) {
    return std::nullopt;
  }
  return make_target(*matching_group, *head);
}

std::vector<std::string> Dispatcher::groups_to_avoid(TimePoint now, const std::string& service,
                                                     const std::string& model, bool includes_all_quiet) {
  expire_reported_loads(now);
  std::vector<std::string> result;
  const Duration pause = longest_pause(service, model);
  for (const auto& group : groups_) {
    if (group.service_name != service || group.model != model) {
      continue;
    }
    const auto health = health_.find(group.name);
    const bool is_suspect = health != health_.end() &&
                            (health->second.is_avoided(now) ||
                             (health->second.is_quiet(now, pause) &&
                              (includes_all_quiet || !links_.are_all_silent_since(health->second.last_progress()))));
    const auto* head = find_available_instance(group.members.front());
    const bool refuses_requests =
        head != nullptr && (is_out_of_reach(*head) || !notices_.may_send(now, incarnation_name(*head)));
    if (is_suspect || refuses_requests) {
      result.push_back(group.name);
    }
  }
  return result;
}

void Dispatcher::mark_load_changed(const DispatchTarget& target) {
  if (is_load_reported(target)) {
    changed_groups_.insert(target.key);
  }
}

void Dispatcher::begin_attempt(TimePoint now, const DispatchTarget& target, const AttemptState& attempt) {
  health_[target.key].begin_attempt(now, attempt);
  mark_load_changed(target);
}

void Dispatcher::end_attempt(const DispatchTarget& target, const AttemptState& attempt) {
  health_[target.key].end_attempt(attempt);
  mark_load_changed(target);
}

void Dispatcher::restart_silence_timers(TimePoint now) {
  for (auto& [key, health] : health_) {
    health.restart_silence_timer(now);
  }
}

void Dispatcher::note_progress(TimePoint now, const DispatchTarget& target) {
  TargetHealth& health = health_[target.key];
  const auto pause = health.note_progress(now);
  if (options_.admission.observed_speeds && pause && !target.group.empty()) {
    health.stream_pauses().add(*pause);
  }
}

void Dispatcher::note_first_event(TimePoint now, const DispatchTarget& target, AttemptState& attempt) {
  health_[target.key].note_first_event(now, attempt);
  mark_load_changed(target);
}

bool Dispatcher::note_failure(TimePoint now, const DispatchTarget& target, FailureEvidence evidence) {
  TargetHealth& health = health_[target.key];
  if (health.progressed_within(now, kRecentProgressAge)) {
    return false;
  }
  health.avoid_until(now + kAvoidanceTime, evidence);
  return true;
}

std::vector<DispatchTarget> Dispatcher::stalled_groups(TimePoint now, Duration base_timeout,
                                                       Duration timeout_per_request) const {
  std::vector<DispatchTarget> result;
  for (const auto& group : groups_) {
    const auto found = health_.find(group.name);
    if (found == health_.end() || found->second.in_flight() == 0 || found->second.is_avoided(now)) {
      continue;
    }
    const TargetHealth& health = found->second;
    Duration allowed = base_timeout + health.in_flight() * timeout_per_request;
    if (health.streaming() > 0) {
      allowed = std::min(allowed, kStallPauseMultiple * longest_pause(group.service_name, group.model));
    }
    if (health.silence_duration(now) > allowed) {
      result.push_back(
          DispatchTarget{group.name, group.service_name, group.name, group.members.front(), "", health.in_flight()});
    }
  }
  return result;
}

Duration Dispatcher::silence_at(TimePoint now, const std::string& key) const {
  const auto found = health_.find(key);
  return found == health_.end() ? Duration::zero() : found->second.silence_duration(now);
}

std::vector<wire::GroupLoad> Dispatcher::group_loads(TimePoint now) {
  std::vector<wire::GroupLoad> result;
  for (auto& [key, health] : health_) {
    if (health.in_flight() > 0 || health.progressed_within(now, kMaxReportedProgressAge)) {
      result.push_back(make_group_load(now, key, health));
    }
  }
  return result;
}

wire::GroupLoad Dispatcher::make_group_load(TimePoint now, const std::string& key, TargetHealth& health) {
  const bool progressed = health.progressed_within(now, kMaxReportedProgressAge);
  wire::GroupLoad load;
  load.group = key;
  load.in_flight = health.in_flight();
  load.streaming = health.streaming();
  load.waiting_tokens = static_cast<int64_t>(health.waiting_tokens());
  load.progress_age_ms =
      progressed ? static_cast<int32_t>((now - health.last_progress()) / milliseconds(1)) : kUnknownProgressAge;
  if (const auto pauses = health.stream_pauses().take_report(health.ongoing_pause(now))) {
    load.__set_interval_count(pauses->count);
    load.__set_interval_ms(std::chrono::duration<double, std::milli>(pauses->typical).count());
  }
  return load;
}

std::vector<wire::GroupLoad> Dispatcher::take_changed_group_loads(TimePoint now) {
  std::vector<wire::GroupLoad> result;
  for (const auto& key : std::exchange(changed_groups_, {})) {
    const auto health = health_.find(key);
    if (health != health_.end()) {
      result.push_back(make_group_load(now, key, health->second));
    }
  }
  return result;
}

std::vector<wire::GroupFailure> Dispatcher::group_failures(TimePoint now) const {
  std::vector<wire::GroupFailure> result;
  for (const auto& group : groups_) {
    const auto health = health_.find(group.name);
    if (health != health_.end() && health->second.is_avoided(now)) {
      const auto* head = find_available_instance(group.members.front());
      wire::GroupFailure failure;
      failure.group = group.name;
      if (head != nullptr && links_.explains_failure(now, {head->address, head->zone})) {
        failure.__set_is_own_link_suspected(true);
      }
      if (health->second.is_avoided_for_silence(now)) {
        failure.__set_is_silence(true);
      }
      result.push_back(std::move(failure));
    }
  }
  return result;
}

}  // namespace larchlever::fleet
