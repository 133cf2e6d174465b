#include "core/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/fleet/instance_directory.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// A target that made progress more recently than this for another request is not taken for dead.
constexpr Duration kRecentProgress = milliseconds(700);
/// Progress older than this is not reported.
constexpr Duration kReportedProgress = seconds(3);
/// A healthy group's pause may be this much of the cost model's longest pass, and this time on the way.
constexpr int kPausePercent = 120;
constexpr Duration kPauseSlack = milliseconds(40);
constexpr Duration kUnknownPause = seconds(1);
/// A group whose streams pause for this many times the longest pause stands still.
constexpr int kStallPauses = 2;
/// Share of the budget that entries use: they learn of each other with a delay.
constexpr double kBudgetShare = 0.7;
/// Share of a head's slots that may be filled: the loads of other entries are known with a delay.
constexpr double kFilledShare = 0.92;
/// What a target in another zone costs, in requests in flight, and in milliseconds to the first event.
constexpr double kOtherZoneCost = 1.0;
constexpr double kOtherZoneMs = 2.0;
/// Not every entry uses its part of the free places: this many times as many are handed out.
constexpr double kOverbooking = 2.0;
/// Loads of other entries are this old, and permits are drawn anew as often.
constexpr Duration kPermitInterval = milliseconds(100);
/// How long loads of other entries count: as many as four answers to an entry that asks for them.
constexpr Duration kLoadMemory = seconds(1);
/// Groups drawn by lot, of which the best is taken: were all entries to take the best of all by what they last heard,
/// they would all take the same one.
constexpr size_t kGroupsCompared = 3;

}  // namespace

Dispatcher::Dispatcher(const FleetOptions& options, std::string zone, uint64_t seed)
    : options_(options), zone_(std::move(zone)), random_(seed), shares_(seed) {}

std::vector<std::string> Dispatcher::update_state(const wire::FleetState& state) {
  const auto before = std::exchange(instances_, {});
  std::set<std::string> restarted;
  std::vector<std::string> lost;
  for (const auto& instance : state.instances) {
    const auto known = before.find(instance.id);
    if (known != before.end() && is_other_incarnation(known->second, instance)) {
      restarted.insert(instance.id);
      lost.push_back(incarnation_name(known->second));
    }
    instances_[instance.id] = instance;
  }
  reported_limits_.clear();
  for (const auto& instance : state.instances) {
    if (const auto limit = rate_limit_of(instance)) {
      reported_limits_[incarnation_name(instance)] = *limit;
    }
  }
  for (const auto& group : groups_) {
    if (restarted.contains(group.members.front())) {
      lost.push_back(group.name);
    }
  }
  groups_ = state.groups;
  forget_unknown_targets();
  forget_unrated_servers();
  return lost;
}

void Dispatcher::forget_unknown_targets() {
  std::set<std::string> known;
  for (const auto& group : groups_) {
    known.insert(group.name);
  }
  for (const auto& [id, instance] : instances_) {
    known.insert(incarnation_name(instance));
  }
  std::erase_if(health_, [&](const auto& item) { return item.second.in_flight() == 0 && !known.contains(item.first); });
}

void Dispatcher::update_services(const std::map<std::string, document::ServiceSpec>& services) {
  longest_pauses_.clear();
  smallest_gaps_.clear();  // Routes may have other objectives now.
  for (const auto& [name, service] : services) {
    if (!service.engine) {
      continue;
    }
    for (const auto& model : service.engine->models) {
      longest_pauses_[{name, model.name}] =
          engine::longest_pass(*service.engine, model) * kPausePercent / 100 + kPauseSlack;
    }
  }
}

Duration Dispatcher::longest_pause(const std::string& service, const std::string& model) const {
  const std::pair key(service, model);
  const auto by_cost = longest_pauses_.find(key);
  const auto by_objective = smallest_gaps_.find(key);
  const Duration longest = by_cost == longest_pauses_.end() ? kUnknownPause : by_cost->second;
  return by_objective == smallest_gaps_.end() ? longest : std::min(longest, by_objective->second + kPauseSlack);
}

void Dispatcher::note_gap(const std::string& service, const std::string& model, Duration gap) {
  if (gap > Duration::zero()) {
    const auto [smallest, is_first] = smallest_gaps_.try_emplace({service, model}, gap);
    smallest->second = std::min(smallest->second, gap);
  }
}

std::vector<std::string> Dispatcher::quiet_groups(TimePoint now) const {
  std::vector<std::string> result;
  for (const auto& group : groups_) {
    const auto health = health_.find(group.name);
    const bool is_overdue =
        health != health_.end() && health->second.is_overdue(now, longest_pause(group.service_name, group.model));
    if (is_overdue) {
      result.push_back(group.name);
    }
  }
  return result;
}

void Dispatcher::update_loads(TimePoint now, const std::vector<wire::GroupLoad>& totals) {
  forget_loads();
  loads_told_at_ = now;
  for (const auto& load : totals) {
    const TargetHealth& own = health_[load.group];
    OthersLoad of_others;
    of_others.in_flight = std::max(0, load.in_flight - own.in_flight());
    of_others.streaming = std::max(0, load.streaming - own.streaming());
    of_others.waiting_tokens = std::max(0.0, static_cast<double>(load.waiting_tokens) - own.waiting_tokens());
    if (load.progress_age_ms != kNoProgressAge) {
      of_others.last_progress = now - milliseconds(load.progress_age_ms);
    }
    health_[load.group].set_others(of_others);
  }
}

void Dispatcher::forget_loads() {
  for (auto& [key, health] : health_) {
    health.set_others({});
  }
  loads_told_at_ = TimePoint::min();
}

void Dispatcher::forget_old_loads(TimePoint now) {
  // Loads are told only while nobody leads. Kept beyond that, streams that others had once would seem to stand still,
  // and their group would be left alone for good: nothing sent there, nothing is seen to the contrary.
  if (loads_told_at_ != TimePoint::min() && now - loads_told_at_ > kLoadMemory) {
    forget_loads();
  }
}

const std::string& Dispatcher::choose_service(const document::Route& route) {
  double total = 0;
  for (const auto& target : route.services) {
    total += target.weight;
  }
  double draw = std::uniform_real_distribution<double>(0, total)(random_);
  for (const auto& target : route.services) {
    draw -= target.weight;
    if (target.weight > 0 && draw <= 0) {
      return target.service;
    }
  }
  return route.services.back().service;
}

double Dispatcher::cost_of(const std::string& key, const std::string& zone) {
  const double tie_break = std::uniform_real_distribution<double>(0, 1)(random_);
  return health_[key].total_in_flight() + (zone == zone_ ? 0.0 : kOtherZoneCost) + tie_break;
}

void Dispatcher::note_demand(const std::string& service, const Demand& demand, const engine::RequestSizes& sizes) {
  sizes_[{service, demand.model}].note(sizes.prompt, sizes.answer);
  wire::ModelDemand& total = demand_[{service, demand.model}];
  total.service_name = service;
  total.model = demand.model;
  ++total.received;
  total.prompt_tokens += static_cast<int64_t>(sizes.prompt);
  total.answer_tokens += static_cast<int64_t>(sizes.answer);
  const auto target_ms = static_cast<int32_t>(demand.target_latency / milliseconds(1));
  total.target_latency_ms = total.target_latency_ms == 0 ? target_ms : std::min(total.target_latency_ms, target_ms);
}

std::vector<wire::ModelDemand> Dispatcher::demand_totals() const {
  std::vector<wire::ModelDemand> result;
  for (const auto& [key, total] : demand_) {
    result.push_back(total);
  }
  return result;
}

int Dispatcher::most_in_flight(const document::ServiceSpec& service, const Demand& demand) const {
  const auto& engine = *service.engine;
  const int filled = std::max(1, static_cast<int>(engine.slots * kFilledShare));
  const auto* model = engine.find_model(demand.model);
  if (model == nullptr || demand.target_latency <= Duration::zero()) {
    return filled;
  }
  const engine::RequestSizes usual{engine.usual_prompt, engine.usual_answer};
  const auto estimate = sizes_.find({service.name, demand.model});
  const auto sizes = estimate == sizes_.end() ? usual : estimate->second.sizes(usual);
  return std::min(filled, engine::most_running(engine, *model, sizes, demand.target_latency));
}

double Dispatcher::cost_of_group(const document::ServiceSpec& service, const Demand& demand,
                                 const OpenGroup& candidate) const {
  const auto& [group, head] = candidate;
  const auto* model = service.engine->find_model(group->model);
  const auto found = health_.find(group->name);
  if (model == nullptr || found == health_.end()) {
    return 0;
  }
  const auto first_event = engine::expected_first_event(*service.engine, *model, found->second.total_in_flight(),
                                                        found->second.total_waiting_tokens(), demand.prompt_tokens);
  return std::chrono::duration<double, std::milli>(first_event).count() + (head->zone == zone_ ? 0.0 : kOtherZoneMs);
}

Target Dispatcher::target_at(const wire::EngineGroup& group, const wire::Instance& head) {
  const int in_flight = health_[group.name].total_in_flight();
  return {group.name, group.service_name,     group.name,           head.id, head.address,
          in_flight,  incarnation_name(head), zones_of(group, head)};
}

size_t Dispatcher::better_of_few(const document::ServiceSpec& service, const Demand& demand,
                                 std::vector<OpenGroup>& open) {
  std::shuffle(open.begin(), open.end(), random_);
  size_t best = 0;
  double best_cost = cost_of_group(service, demand, open[0]);
  for (size_t index = 1; index < std::min(open.size(), kGroupsCompared); ++index) {
    const double cost = cost_of_group(service, demand, open[index]);
    if (cost < best_cost) {
      best_cost = cost;
      best = index;
    }
  }
  return best;
}

void Dispatcher::draw_permits(TimePoint now, const std::string& service, const std::string& model, int most) {
  const auto [drawn, is_first] = permits_drawn_.try_emplace({service, model}, now);
  if (!is_first && now - drawn->second < kPermitInterval) {
    return;
  }
  drawn->second = now;
  for (const auto& group : groups_) {
    if (group.service_name != service || group.model != model) {
      continue;
    }
    TargetHealth& health = health_[group.name];
    const double part = std::max(0.0, kOverbooking * (most - health.total_in_flight()) / serving_nodes_);
    const double whole = std::floor(part);
    const bool one_more = std::uniform_real_distribution<double>(0, 1)(random_) < part - whole;
    health.set_permits(static_cast<int>(whole) + (one_more ? 1 : 0));
  }
}

Choice Dispatcher::choose_group(TimePoint now, const document::ServiceSpec& service, const Demand& demand,
                                const std::set<std::string>& excluded) {
  const int most = most_in_flight(service, demand);
  draw_permits(now, service.name, demand.model, most);
  bool any_busy = false;
  std::optional<TimePoint> next_turn;
  std::vector<OpenGroup> open;
  std::vector<OpenGroup> quiet;
  for (const auto& group : groups_) {
    const auto* head = ready_head(group, service.name, demand.model);
    if (head == nullptr || excluded.contains(group.name) || !is_home(demand, group, *head)) {
      continue;
    }
    const TargetHealth& health = health_[group.name];
    if (health.is_avoided(now) || !notices_.may_send(now, incarnation_name(*head))) {
      continue;
    }
    if (health.total_in_flight() >= most || !health.has_permit()) {
      any_busy = true;
      continue;
    }
    const std::string incarnation = incarnation_name(*head);
    const double rate = rate_of(service, *head, incarnation);
    const TimePoint turn = shares_.next_turn(now, incarnation, rate, serving_nodes_);
    if (turn > now) {
      next_turn = std::min(turn, next_turn.value_or(turn));
      continue;
    }
    auto& list = health.is_quiet(now, longest_pause(service.name, group.model)) ? quiet : open;
    list.emplace_back(&group, head);
  }
  if (open.empty()) {
    open = std::move(quiet);  // Better than none: all may pause for a reason of their own.
  }
  Choice choice;
  if (open.empty()) {
    choice.failure = any_busy || next_turn ? ChoiceFailure::kAllBusy : ChoiceFailure::kNoTarget;
    choice.next_turn = any_busy ? std::nullopt : next_turn;
    return choice;
  }
  const size_t best = better_of_few(service, demand, open);
  const auto& [group, head] = open[best];
  note_rated_sending(now, service, *head);
  choice.target = target_at(*group, *head);
  return choice;
}

Choice Dispatcher::choose(TimePoint now, const document::ServiceSpec& service, const Demand& demand,
                          const std::set<std::string>& excluded, RateAuthority authority) {
  forget_old_loads(now);
  return service.engine ? choose_group(now, service, demand, excluded)
                        : choose_instance(now, service, demand, excluded, authority);
}

const wire::Instance* Dispatcher::find_ready(const std::string& id) const {
  const auto found = instances_.find(id);
  return found != instances_.end() && takes_requests(found->second) ? &found->second : nullptr;
}

bool Dispatcher::takes_requests(const wire::Instance& instance) const {
  return instance.state == wire::InstanceState::READY && !is_evacuated(evacuations_, instance.zone);
}

const wire::Instance* Dispatcher::ready_head(const wire::EngineGroup& group, const std::string& service,
                                             const std::string& model) const {
  const bool fits = group.phase == wire::GroupPhase::OPEN && group.service_name == service && group.model == model &&
                    !is_evacuated(evacuations_, group);
  return fits ? find_ready(group.members.front()) : nullptr;
}

bool Dispatcher::may_send(TimePoint now, const Target& target) const {
  const bool is_emptied = std::any_of(target.zones.begin(), target.zones.end(),
                                      [this](const auto& zone) { return is_evacuated(evacuations_, zone); });
  return !is_emptied && notices_.may_send(now, target.incarnation);
}

bool Dispatcher::is_home(const Demand& demand, const wire::EngineGroup& group, const wire::Instance& head) {
  return demand.allowed_zones == nullptr || document::are_allowed(demand.allowed_zones, zones_of(group, head));
}

std::vector<std::string> Dispatcher::zones_of(const wire::EngineGroup& group, const wire::Instance& head) {
  return group.zones.empty() ? std::vector<std::string>{head.zone} : group.zones;
}

bool Dispatcher::is_emptied(const std::string& service, const std::string& model,
                            const std::set<std::string>* allowed_zones) const {
  if (evacuations_.zones.empty()) {
    return false;
  }
  const auto is_home = [allowed_zones](const std::string& zone) {
    return document::are_allowed(allowed_zones, {zone});
  };
  const auto servers = servers_of(service, model);
  const bool has_server =
      std::any_of(servers.begin(), servers.end(), [&](const auto* server) { return is_home(server->zone); });
  const bool has_emptied_server = std::any_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    const auto& instance = item.second;
    return instance.service_name == service && is_evacuated(evacuations_, instance.zone) && is_home(instance.zone);
  });
  return !has_server && has_emptied_server;
}

std::vector<const wire::Instance*> Dispatcher::servers_of(const std::string& service, const std::string& model) const {
  std::vector<const wire::Instance*> result;
  if (model.empty()) {
    for (const auto& [id, instance] : instances_) {
      if (instance.service_name == service && takes_requests(instance)) {
        result.push_back(&instance);
      }
    }
    return result;
  }
  for (const auto& group : groups_) {
    if (const auto* head = ready_head(group, service, model)) {
      result.push_back(head);
    }
  }
  return result;
}

std::optional<TimePoint> Dispatcher::all_rest_until(TimePoint now, const std::string& service,
                                                    const std::string& model) const {
  if (notices_.size() == 0) {
    return std::nullopt;  // Asked for each request: servers are looked at only where one has asked for rest.
  }
  TimePoint first = TimePoint::max();
  for (const auto* server : servers_of(service, model)) {
    first = std::min(first, notices_.free_at(now, incarnation_name(*server)));
  }
  const bool all_rest = first > now && first != TimePoint::max();
  return all_rest ? std::optional(first) : std::nullopt;
}

std::optional<Target> Dispatcher::target_of_group(TimePoint now, const std::string& group) {
  const auto row = std::find_if(groups_.begin(), groups_.end(), [this, &group](const auto& item) {
    return item.name == group && item.phase == wire::GroupPhase::OPEN && !is_evacuated(evacuations_, item);
  });
  const auto* head = row == groups_.end() ? nullptr : find_ready(row->members.front());
  if (head == nullptr || health_[group].is_avoided(now)) {
    return std::nullopt;
  }
  return target_at(*row, *head);
}

std::vector<std::string> Dispatcher::doubtful_groups(TimePoint now, const std::string& service,
                                                     const std::string& model) {
  forget_old_loads(now);
  std::vector<std::string> result;
  const Duration pause = longest_pause(service, model);
  for (const auto& group : groups_) {
    if (group.service_name != service || group.model != model) {
      continue;
    }
    const auto health = health_.find(group.name);
    const bool is_doubtful =
        health != health_.end() && (health->second.is_avoided(now) || health->second.is_quiet(now, pause));
    const auto* head = find_ready(group.members.front());
    const bool wants_none = head != nullptr && !notices_.may_send(now, incarnation_name(*head));
    if (is_doubtful || wants_none) {
      result.push_back(group.name);
    }
  }
  return result;
}

void Dispatcher::note_change(const Target& target) {
  if (!target.group.empty()) {
    changed_.insert(target.group);
  }
}

void Dispatcher::begin(TimePoint now, const Target& target, const SendingMark& mark) {
  health_[target.key].begin(now, mark);
  note_change(target);
}

void Dispatcher::end(const Target& target, const SendingMark& mark) {
  health_[target.key].end(mark);
  note_change(target);
}

void Dispatcher::note_own_pause(TimePoint now) {
  for (auto& [key, health] : health_) {
    health.restart_watch(now);
  }
}

void Dispatcher::note_progress(TimePoint now, const Target& target) { health_[target.key].note_progress(now); }

void Dispatcher::note_first_event(TimePoint now, const Target& target, SendingMark& mark) {
  health_[target.key].note_first_event(now, mark);
  note_change(target);
}

bool Dispatcher::note_failure(TimePoint now, const Target& target) {
  TargetHealth& health = health_[target.key];
  if (health.progressed_within(now, kRecentProgress)) {
    return false;
  }
  health.avoid_until(now + kAvoidance);
  return true;
}

std::vector<Target> Dispatcher::stalled_groups(TimePoint now, Duration patience, Duration patience_each) const {
  std::vector<Target> result;
  for (const auto& group : groups_) {
    const auto found = health_.find(group.name);
    if (found == health_.end() || found->second.in_flight() == 0 || found->second.is_avoided(now)) {
      continue;
    }
    const TargetHealth& health = found->second;
    Duration allowed = patience + health.in_flight() * patience_each;
    if (health.streaming() > 0) {
      allowed = std::min(allowed, kStallPauses * longest_pause(group.service_name, group.model));
    }
    if (health.silence(now) > allowed) {
      result.push_back(
          Target{group.name, group.service_name, group.name, group.members.front(), "", health.in_flight()});
    }
  }
  return result;
}

void Dispatcher::forget_old(TimePoint now, Budget& budget) const {
  for (auto* times : {&budget.requests, &budget.retries}) {
    while (!times->empty() && now - times->front() > options_.retry_window) {
      times->pop_front();
    }
  }
}

void Dispatcher::note_request(TimePoint now, const std::string& service) {
  Budget& budget = budgets_[service];
  forget_old(now, budget);
  budget.requests.push_back(now);
}

int Dispatcher::retries_left(TimePoint now, const std::string& service) {
  Budget& budget = budgets_[service];
  forget_old(now, budget);
  const double allowed = kBudgetShare * (options_.retry_ratio * static_cast<double>(budget.requests.size()) +
                                         options_.retry_slack / serving_nodes_);
  return static_cast<int>(allowed) - static_cast<int>(budget.retries.size());
}

bool Dispatcher::take_retry(TimePoint now, const std::string& service) {
  if (retries_left(now, service) < 1) {
    return false;
  }
  budgets_[service].retries.push_back(now);
  return true;
}

std::vector<wire::GroupLoad> Dispatcher::loads(TimePoint now) const {
  std::vector<wire::GroupLoad> result;
  for (const auto& [key, health] : health_) {
    if (health.in_flight() > 0 || health.progressed_within(now, kReportedProgress)) {
      result.push_back(load_of(now, key, health));
    }
  }
  return result;
}

wire::GroupLoad Dispatcher::load_of(TimePoint now, const std::string& key, const TargetHealth& health) {
  const bool progressed = health.progressed_within(now, kReportedProgress);
  wire::GroupLoad load;
  load.group = key;
  load.in_flight = health.in_flight();
  load.streaming = health.streaming();
  load.waiting_tokens = static_cast<int64_t>(health.waiting_tokens());
  load.progress_age_ms =
      progressed ? static_cast<int32_t>((now - health.last_progress()) / milliseconds(1)) : kNoProgressAge;
  return load;
}

std::vector<wire::GroupLoad> Dispatcher::take_changed_loads(TimePoint now) {
  std::vector<wire::GroupLoad> result;
  for (const auto& key : std::exchange(changed_, {})) {
    const auto health = health_.find(key);
    if (health != health_.end()) {
      result.push_back(load_of(now, key, health->second));
    }
  }
  return result;
}

std::vector<wire::GroupFailure> Dispatcher::failures(TimePoint now) const {
  std::vector<wire::GroupFailure> result;
  for (const auto& group : groups_) {
    const auto health = health_.find(group.name);
    if (health != health_.end() && health->second.is_avoided(now)) {
      wire::GroupFailure failure;
      failure.group = group.name;
      result.push_back(std::move(failure));
    }
  }
  return result;
}

}  // namespace larchlever::fleet
