#include "core/fleet/slot_scheduler.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "core/engine/cost_model.h"

namespace larchlever::fleet {

namespace {

/// Part of the objective for pauses that a forecast pass may take; the rest is for the network and for what the cost
/// model leaves out.
constexpr double kGapShare = 0.85;
/// Requests that wait are looked at again this often; a pass of a group takes many times as long.
constexpr Duration kReviewInterval = milliseconds(5);

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void SlotScheduler::start(int64_t term) {
  term_ = term;
  groups_.clear();
  silence_ = SilenceWatch();
  open_groups_.clear();
  nodes_.clear();
  arrived_.clear();
  waiting_.clear();
  blocked_.clear();
}

void SlotScheduler::set_groups(const std::vector<wire::EngineGroup>& groups, const std::set<std::string>& cold) {
  std::set<std::string> known;
  for (const auto& row : groups) {
    known.insert(row.name);
    Group& group = groups_[row.name];
    group.service = row.service_name;
    group.model = row.model;
    group.is_open = row.phase == wire::GroupPhase::OPEN && !group.has_failed;
    group.is_cold = cold.contains(row.name);
    group.zones = row.zones;
  }
  std::erase_if(groups_,
                [&known](const auto& item) { return !known.contains(item.first) && item.second.in_flight == 0; });
  for (auto& [name, group] : groups_) {
    group.is_open = group.is_open && known.contains(name);
  }
  index_open_groups();
}

void SlotScheduler::index_open_groups() {
  open_groups_.clear();
  for (auto& item : groups_) {
    if (item.second.is_open) {
      open_groups_[{item.second.service, item.second.model}].push_back(&item);
    }
  }
}

int SlotScheduler::in_flight(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.in_flight;
}

void SlotScheduler::set_load(Node& node, const std::string& group, int in_flight) {
  int& reported = node.in_flight[group];
  groups_[group].in_flight += in_flight - reported;
  reported = in_flight;
  if (in_flight == 0) {
    node.in_flight.erase(group);
  }
}

void SlotScheduler::note_loads(const std::string& node_name, const std::vector<wire::GroupLoad>& loads,
                               bool is_complete, int64_t grants_term, int64_t grants_seen) {
  Node& node = nodes_[node_name];
  if (is_complete) {
    std::set<std::string> named;
    for (const auto& load : loads) {
      named.insert(load.group);
    }
    const auto before = node.in_flight;
    for (const auto& [group, in_flight] : before) {
      if (!named.contains(group)) {
        set_load(node, group, 0);
        silence_.note_streams(node_name, group, 0);
      }
    }
  }
  for (const auto& load : loads) {
    set_load(node, load.group, load.in_flight);
    silence_.note_streams(node_name, load.group, load.streaming);
  }
  while (grants_term == term_ && !node.granted.empty() && node.granted.front().first <= grants_seen) {
    --groups_[node.granted.front().second].in_flight;
    node.granted.pop_front();
  }
}

std::vector<std::string> SlotScheduler::find_failed_groups(TimePoint now,
                                                           const document::ConfigurationDocument& document) {
  std::vector<std::string> result;
  for (const auto& name : silence_.quiet_groups()) {
    const auto found = groups_.find(name);
    if (found == groups_.end() || !found->second.is_open) {
      continue;
    }
    Group& group = found->second;
    const auto service = document.services.find(group.service);
    const bool known = service != document.services.end() && service->second.engine;
    const auto* model = known ? service->second.engine->find_model(group.model) : nullptr;
    if (model == nullptr) {
      continue;
    }
    const auto next = group.clock.forecast(now, *service->second.engine, *model, group.in_flight, 0);
    const Duration longest_pass = std::max(next.longest_pass, group.clock.longest_recent_pass());
    if (silence_.stands_still(now, name, longest_pass)) {
      group.has_failed = true;
      group.is_open = false;
      result.push_back(name);
    }
  }
  if (!result.empty()) {
    index_open_groups();
  }
  return result;
}

std::vector<std::string> SlotScheduler::nodes_at(const std::string& group) const {
  std::vector<std::string> result;
  for (const auto& [name, node] : nodes_) {
    const bool has_slot =
        std::any_of(node.granted.begin(), node.granted.end(), [&](const auto& slot) { return slot.second == group; });
    if (has_slot || node.in_flight.contains(group)) {
      result.push_back(name);
    }
  }
  return result;
}

void SlotScheduler::forget_node(const std::string& node_name) {
  silence_.forget_node(node_name);
  const auto found = nodes_.find(node_name);
  if (found == nodes_.end()) {
    return;
  }
  for (const auto& [group, in_flight] : found->second.in_flight) {
    groups_[group].in_flight -= in_flight;
  }
  for (const auto& [sequence, group] : found->second.granted) {
    --groups_[group].in_flight;
  }
  nodes_.erase(found);
  const auto is_of_node = [&node_name](const auto& waiting) { return waiting.node == node_name; };
  std::erase_if(arrived_, is_of_node);
  std::erase_if(waiting_, is_of_node);
}

void SlotScheduler::add_request(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  WaitingRequest waiting;
  waiting.node = node;
  waiting.request = request;
  waiting.arrived = now;
  waiting.patience_ends = now + milliseconds(request.patience_ms);
  if (request.gap_ms > 0) {
    const Duration gap = milliseconds(request.gap_ms);
    const auto [smallest, is_first] = smallest_gaps_.try_emplace(key_of(waiting), gap);
    smallest->second = std::min(smallest->second, gap);
  }
  arrived_.push_back(std::move(waiting));
}

bool SlotScheduler::is_late(TimePoint now, const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  return request.first_event_ms > 0 && now >= waiting.arrived + milliseconds(request.first_event_ms);
}

bool SlotScheduler::is_home(const WaitingRequest& waiting, const Group& group) {
  const auto& request = waiting.request;
  const auto& homes = request.allowed_zones;
  return !request.__isset.allowed_zones ||
         (!group.zones.empty() && std::includes(homes.begin(), homes.end(), group.zones.begin(), group.zones.end()));
}

SlotScheduler::Candidate SlotScheduler::best_group(TimePoint now, const document::ServiceSpec& service,
                                                   const document::ModelSpec& model, const WaitingRequest& waiting) {
  const auto& engine = *service.engine;
  const auto& request = waiting.request;
  const auto gap = smallest_gaps_.find(key_of(waiting));
  const Duration longest_pass = gap == smallest_gaps_.end() ? Duration::max() : scaled(gap->second, kGapShare);
  const bool has_objective = request.first_event_ms > 0;
  const Duration left = waiting.arrived + milliseconds(request.first_event_ms) - now;
  const auto open = open_groups_.find(key_of(waiting));
  Candidate best;
  if (open == open_groups_.end()) {
    return best;
  }
  for (auto* item : open->second) {
    auto& [name, group] = *item;
    const auto& excluded = request.excluded_groups;
    const bool fits = group.in_flight < engine.slots && is_home(waiting, group) &&
                      std::find(excluded.begin(), excluded.end(), name) == excluded.end();
    if (!fits || (group.is_cold && !group.cold_grants.has_room(now, service.cold_requests_per_second))) {
      continue;
    }
    const auto forecast = group.clock.forecast(now, engine, model, group.in_flight, request.prompt_tokens);
    if (group.in_flight > 0 && forecast.longest_pass > longest_pass) {
      continue;
    }
    const bool quiet = silence_.is_quiet(now, name);
    const bool is_better = std::pair(quiet, forecast.first_event) < std::pair(best.is_quiet, best.first_event);
    if (best.fit == Fit::kNone || is_better) {
      best.group = name;
      best.first_event = forecast.first_event;
      best.is_quiet = quiet;
      best.fit = has_objective && forecast.first_event > left ? Fit::kLate : Fit::kInTime;
    }
  }
  return best;
}

bool SlotScheduler::is_out_of_reach(const document::EngineSpec& engine, const document::ModelSpec& model,
                                    const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  const Duration alone =
      engine::PassClock().forecast(waiting.arrived, engine, model, 0, request.prompt_tokens).first_event;
  return request.first_event_ms > 0 && alone > milliseconds(request.first_event_ms);
}

void SlotScheduler::answer(const WaitingRequest& waiting, wire::SlotVerdict::type verdict,
                           std::vector<SlotDecision>& decisions) {
  SlotDecision decision;
  decision.node = waiting.node;
  decision.grant.id = waiting.request.id;
  decision.grant.verdict = verdict;
  decisions.push_back(std::move(decision));
}

void SlotScheduler::grant(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                          const WaitingRequest& waiting, const Candidate& candidate,
                          std::vector<SlotDecision>& decisions) {
  Group& group = groups_.at(candidate.group);
  group.clock.add(now, engine, model, group.in_flight, waiting.request.prompt_tokens);
  ++group.in_flight;
  if (group.is_cold) {
    group.cold_grants.note(now);
  }
  Node& node = nodes_[waiting.node];
  SlotDecision decision;
  decision.node = waiting.node;
  decision.grant.id = waiting.request.id;
  decision.grant.sequence = node.next_sequence++;
  decision.grant.verdict = wire::SlotVerdict::GRANTED;
  decision.grant.group = candidate.group;
  decision.grant.expected_ms = static_cast<int32_t>(candidate.first_event / milliseconds(1));
  node.granted.emplace_back(decision.grant.sequence, candidate.group);
  decisions.push_back(std::move(decision));
}

bool SlotScheduler::decide_one(TimePoint now, const document::ConfigurationDocument& document, WaitingRequest& waiting,
                               LateAnswers late_answers, std::vector<SlotDecision>& decisions) {
  const ModelKey key = key_of(waiting);
  const auto service = document.services.find(key.first);
  const bool known = service != document.services.end() && service->second.engine;
  const auto* model = known ? service->second.engine->find_model(key.second) : nullptr;
  if (model == nullptr || !open_groups_.contains(key)) {
    answer(waiting, wire::SlotVerdict::UNDECIDED, decisions);
    return true;
  }
  const auto& engine = *service->second.engine;
  const bool is_last_chance = late_answers == LateAnswers::kAllowed;
  if (!blocked_.contains(queue_of(waiting)) || is_last_chance) {
    const Candidate candidate = best_group(now, service->second, *model, waiting);
    // Late is better than never at the end of its patience, and for who would be late anywhere.
    const bool late_is_fine = is_last_chance || is_out_of_reach(engine, *model, waiting);
    if (candidate.fit == Fit::kInTime || (candidate.fit == Fit::kLate && late_is_fine)) {
      grant(now, engine, *model, waiting, candidate, decisions);
      return true;
    }
    if (candidate.fit == Fit::kNone) {
      blocked_.insert(queue_of(waiting));
    }
  }
  if (is_last_chance) {
    answer(waiting, wire::SlotVerdict::BUSY, decisions);
    return true;
  }
  if (!waiting.is_told) {
    waiting.is_told = true;
    answer(waiting, wire::SlotVerdict::QUEUED, decisions);
  }
  return false;
}

void SlotScheduler::decide_waiting(TimePoint now, const document::ConfigurationDocument& document,
                                   std::vector<SlotDecision>& decisions) {
  next_review_ = now + kReviewInterval;
  blocked_.clear();
  const auto order = [now](const WaitingRequest& item) {
    return std::tuple(item.request.priority, is_late(now, item), item.arrived);
  };
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [&order](const auto& left, const auto& right) { return order(left) < order(right); });
  // First all that can be in time: room that one of them has use for goes to nobody late.
  std::erase_if(waiting_,
                [&](auto& waiting) { return decide_one(now, document, waiting, LateAnswers::kNotYet, decisions); });
  std::erase_if(waiting_, [&](auto& waiting) {
    return now >= waiting.patience_ends && decide_one(now, document, waiting, LateAnswers::kAllowed, decisions);
  });
}

std::vector<SlotDecision> SlotScheduler::decide(TimePoint now, const document::ConfigurationDocument& document) {
  std::vector<SlotDecision> decisions;
  if (now >= next_review_) {
    waiting_.insert(waiting_.end(), std::make_move_iterator(arrived_.begin()), std::make_move_iterator(arrived_.end()));
    arrived_.clear();
    decide_waiting(now, document, decisions);
    return decisions;
  }
  // A request for whose model nobody waits goes at once; behind others it waits for the next review.
  for (auto& arrival : std::exchange(arrived_, {})) {
    if (!decide_one(now, document, arrival, LateAnswers::kNotYet, decisions)) {
      waiting_.push_back(std::move(arrival));
    }
  }
  return decisions;
}

}  // namespace larchlever::fleet
