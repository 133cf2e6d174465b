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

/// Callers that limits hold back are told to come back within this time, even if more are waiting: a limit seldom lasts
/// longer.
constexpr Duration kLongestReturn = seconds(30);

Duration requests_time(double requests, double per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requests / per_second));
}

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void SlotScheduler::start(int64_t term) {
  term_ = term;
  groups_.clear();
  silence_ = GroupStallDetector();
  open_groups_.clear();
  nodes_.clear();
  arrived_.clear();
  waiting_.clear();
  blocked_.clear();
  told_until_.clear();
  rates_.clear();
}

void SlotScheduler::set_groups(const std::vector<wire::EngineGroup>& groups,
                               const std::map<std::string, std::string>& heads) {
  std::set<std::string> known;
  for (const auto& row : groups) {
    known.insert(row.name);
    Group& group = groups_[row.name];
    group.service = row.service_name;
    group.model = row.model;
    group.is_open = row.phase == wire::GroupPhase::OPEN && !group.has_failed;
    const auto head = heads.find(row.name);
    group.rated_head = head == heads.end() ? "" : head->second;
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
    if (silence_.is_stalled(now, name, longest_pass)) {
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

SlotScheduler::QueueKey SlotScheduler::queue_of(const WaitingRequest& waiting) {
  QueueKey key{key_of(waiting), waiting.request.allowed_zones, waiting.request.rated_servers};
  std::sort(key.rated_servers.begin(), key.rated_servers.end());  // Each entry prefers others of them.
  return key;
}

bool SlotScheduler::may_serve(const WaitingRequest& waiting, const std::string& name, const Group& group) {
  const auto& excluded = waiting.request.excluded_groups;
  return is_home(waiting, group) && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
}

SlotScheduler::Candidate SlotScheduler::best_server(TimePoint now, const document::ServiceSpec& service,
                                                    const WaitingRequest& waiting) {
  Candidate best;
  for (const auto& server : waiting.request.rated_servers) {
    if (rates_.next_turn(now, service, server) <= now) {
      best.name = server;
      best.fit = Fit::kInTime;
      break;
    }
  }
  return best;
}

std::optional<SlotScheduler::LimitedServers> SlotScheduler::limited_servers(TimePoint now,
                                                                            const document::ServiceSpec& service,
                                                                            const WaitingRequest& waiting) {
  std::vector<std::string> servers = waiting.request.rated_servers;
  if (!is_plain(waiting)) {
    for (const auto* item : open_groups_.at(key_of(waiting))) {
      if (may_serve(waiting, item->first, item->second)) {
        servers.push_back(item->second.rated_head);
      }
    }
  }
  LimitedServers result{TimePoint::max(), 0};
  for (const auto& server : servers) {
    const auto limit = rates_.limit_of(server);
    if (!limit) {
      return std::nullopt;
    }
    result.next_turn = std::min(result.next_turn, rates_.next_turn(now, service, server));
    result.per_second += *limit;
  }
  return servers.empty() ? std::nullopt : std::optional(result);
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
    const bool fits = group.in_flight < engine.slots && may_serve(waiting, name, group);
    if (!fits || rates_.next_turn(now, service, group.rated_head) > now) {
      continue;
    }
    const auto forecast = group.clock.forecast(now, engine, model, group.in_flight, request.prompt_tokens);
    if (group.in_flight > 0 && forecast.longest_pass > longest_pass) {
      continue;
    }
    const bool quiet = silence_.is_quiet(now, name);
    const bool is_better = std::pair(quiet, forecast.first_event) < std::pair(best.is_quiet, best.first_event);
    if (best.fit == Fit::kNone || is_better) {
      best.name = name;
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

void SlotScheduler::refuse(TimePoint now, const WaitingRequest& waiting, int ahead,
                           std::vector<SlotDecision>& decisions) {
  answer(waiting, wire::SlotVerdict::BUSY, decisions);
  const auto queue = queue_of(waiting);
  const auto blocked = blocked_.find(queue);
  if (blocked == blocked_.end() || !blocked->second) {
    return;
  }
  const auto& limited = *blocked->second;
  TimePoint& told_until = told_until_[queue];
  const TimePoint turn = std::max(limited.next_turn + requests_time(ahead, limited.per_second),
                                  told_until + requests_time(1, limited.per_second));
  told_until = std::min(turn, now + kLongestReturn);
  const auto wait = std::chrono::ceil<milliseconds>(std::max<Duration>(told_until - now, milliseconds(1)));
  decisions.back().grant.__set_retry_after_ms(static_cast<int32_t>(wait.count()));
}

void SlotScheduler::grant_group(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                                const WaitingRequest& waiting, const Candidate& candidate,
                                std::vector<SlotDecision>& decisions) {
  Group& group = groups_.at(candidate.name);
  group.clock.add(now, *service.engine, model, group.in_flight, waiting.request.prompt_tokens);
  ++group.in_flight;
  rates_.note(now, service, group.rated_head);
  Node& node = nodes_[waiting.node];
  answer(waiting, wire::SlotVerdict::GRANTED, decisions);
  auto& grant = decisions.back().grant;
  grant.sequence = node.next_sequence++;
  grant.group = candidate.name;
  grant.expected_ms = static_cast<int32_t>(candidate.first_event / milliseconds(1));
  node.granted.emplace_back(grant.sequence, candidate.name);
}

void SlotScheduler::grant_server(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting,
                                 const Candidate& candidate, std::vector<SlotDecision>& decisions) {
  rates_.note(now, service, candidate.name);
  answer(waiting, wire::SlotVerdict::GRANTED, decisions);
  decisions.back().grant.__set_server(candidate.name);
}

std::optional<SlotScheduler::Asked> SlotScheduler::asked_of(const document::ConfigurationDocument& document,
                                                            const WaitingRequest& waiting) const {
  const ModelKey key = key_of(waiting);
  const auto service = document.services.find(key.first);
  if (service == document.services.end()) {
    return std::nullopt;
  }
  if (is_plain(waiting)) {
    return Asked{service->second, nullptr};
  }
  const auto& engine = service->second.engine;
  const auto* model = engine ? engine->find_model(key.second) : nullptr;
  const bool has_groups = model != nullptr && open_groups_.contains(key);
  return has_groups ? std::optional(Asked{service->second, model}) : std::nullopt;
}

bool SlotScheduler::grant(TimePoint now, const Asked& asked, const WaitingRequest& waiting, LateAnswers late_answers,
                          std::vector<SlotDecision>& decisions) {
  const auto& [service, model] = asked;
  const bool plain = model == nullptr;
  const Candidate candidate = plain ? best_server(now, service, waiting) : best_group(now, service, *model, waiting);
  // Late is better than never at the end of its patience, and for who would be late anywhere.
  const bool late_is_fine =
      late_answers == LateAnswers::kAllowed || (!plain && is_out_of_reach(*service.engine, *model, waiting));
  if (candidate.fit == Fit::kInTime || (candidate.fit == Fit::kLate && late_is_fine)) {
    plain ? grant_server(now, service, waiting, candidate, decisions)
          : grant_group(now, service, *model, waiting, candidate, decisions);
    return true;
  }
  if (candidate.fit == Fit::kNone) {
    blocked_.insert_or_assign(queue_of(waiting), limited_servers(now, service, waiting));
  }
  return false;
}

bool SlotScheduler::decide_one(TimePoint now, const document::ConfigurationDocument& document, WaitingRequest& waiting,
                               LateAnswers late_answers, std::vector<SlotDecision>& decisions) {
  const auto asked = asked_of(document, waiting);
  if (!asked) {
    answer(waiting, wire::SlotVerdict::UNDECIDED, decisions);
    return true;
  }
  const bool is_last_chance = late_answers == LateAnswers::kAllowed;
  const bool may_have_room = is_last_chance || !blocked_.contains(queue_of(waiting));
  if (may_have_room && grant(now, *asked, waiting, late_answers, decisions)) {
    return true;
  }
  const bool has_other_servers = is_plain(waiting) && waiting.request.patience_ms <= 0;
  if (has_other_servers) {
    answer(waiting, wire::SlotVerdict::BUSY, decisions);  // Its caller is not refused, and has no place in the line.
    return true;
  }
  if (is_last_chance) {
    refuse(now, waiting, 0, decisions);
    return true;
  }
  if (!waiting.is_told) {
    waiting.is_told = true;
    answer(waiting, wire::SlotVerdict::QUEUED, decisions);
  }
  return false;
}

void SlotScheduler::refuse_without_turn(TimePoint now, std::vector<SlotDecision>& decisions) {
  std::map<QueueKey, int> ahead;
  std::erase_if(waiting_, [&](const auto& waiting) {
    const auto queue = queue_of(waiting);
    const auto blocked = blocked_.find(queue);
    if (blocked == blocked_.end() || !blocked->second) {
      return false;
    }
    const auto& limited = *blocked->second;
    int& before = ahead[queue];
    if (limited.next_turn + requests_time(before, limited.per_second) <= waiting.patience_ends) {
      ++before;
      return false;
    }
    refuse(now, waiting, before, decisions);
    return true;
  });
}

void SlotScheduler::decide_waiting(TimePoint now, const document::ConfigurationDocument& document,
                                   std::vector<SlotDecision>& decisions) {
  next_review_ = now + kReviewInterval;
  blocked_.clear();
  std::erase_if(told_until_, [now](const auto& item) { return item.second <= now; });
  const auto order = [now](const WaitingRequest& item) {
    return std::tuple(item.request.priority, is_late(now, item), item.arrived);
  };
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [&order](const auto& left, const auto& right) { return order(left) < order(right); });
  // First all that can be in time: room that one of them has use for goes to nobody late.
  std::erase_if(waiting_,
                [&](auto& waiting) { return decide_one(now, document, waiting, LateAnswers::kNotYet, decisions); });
  refuse_without_turn(now, decisions);
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
