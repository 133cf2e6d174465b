// The part of Dispatcher that chooses plain servers, and that knows how many requests a second servers take.

#include <algorithm>
#include <utility>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/server_rates.h"

namespace larchlever::fleet {

// ------------------------------------------------------------ plain servers

std::vector<Dispatcher::Candidate> Dispatcher::candidates_for(TimePoint now, const document::ServiceSpec& service,
                                                              const Demand& demand,
                                                              const std::set<std::string>& excluded) {
  std::vector<Candidate> result;
  for (const auto& [id, instance] : instances_) {
    const bool is_home = demand.allowed_zones == nullptr || demand.allowed_zones->contains(instance.zone);
    const bool fits = instance.service_name == service.name && takes_requests(instance) && is_home;
    if (!fits) {
      continue;
    }
    Candidate candidate;
    candidate.instance = &instance;
    candidate.incarnation = incarnation_name(instance);
    if (excluded.contains(candidate.incarnation) || !notices_.may_send(now, candidate.incarnation)) {
      continue;
    }
    candidate.rate = rate_of(service, instance, candidate.incarnation);
    // Doubtful instances are better than none: they may only be cut off from the control replicas.
    candidate.is_doubtful = instance.silent || health_[candidate.incarnation].is_avoided(now);
    candidate.cost = cost_of(candidate.incarnation, instance.zone);
    result.push_back(std::move(candidate));
  }
  std::stable_sort(result.begin(), result.end(), [](const Candidate& left, const Candidate& right) {
    return std::pair(left.is_doubtful, left.cost) < std::pair(right.is_doubtful, right.cost);
  });
  return result;
}

Target Dispatcher::target_at(const Candidate& candidate) {
  const auto& instance = *candidate.instance;
  return {candidate.incarnation, instance.service_name, "",
          instance.id,           instance.address,      health_[candidate.incarnation].in_flight(),
          candidate.incarnation, {instance.zone}};
}

Choice Dispatcher::choose_by_shares(TimePoint now, const document::ServiceSpec& service,
                                    const std::vector<Candidate>& candidates) {
  Choice choice;
  for (const auto& candidate : candidates) {
    const TimePoint turn = shares_.next_turn(now, candidate.incarnation, candidate.rate, serving_nodes_);
    if (turn <= now) {
      note_rated_sending(now, service, *candidate.instance);
      choice.target = target_at(candidate);
      choice.next_turn.reset();
      return choice;
    }
    choice.next_turn = std::min(turn, choice.next_turn.value_or(turn));
  }
  choice.failure = candidates.empty() ? ChoiceFailure::kNoTarget : ChoiceFailure::kAllBusy;
  return choice;
}

Choice Dispatcher::choose_by_leader(TimePoint now, const std::vector<Candidate>& candidates) {
  const auto may_have_turn = [this, now](const Candidate& candidate) {
    const auto until = no_turn_until_.find(candidate.incarnation);
    return until == no_turn_until_.end() || until->second <= now;
  };
  Choice choice;
  const auto free = std::find_if(candidates.begin(), candidates.end(), [](const auto& item) { return item.rate <= 0; });
  if (free != candidates.end()) {
    choice.target = target_at(*free);
  }
  for (auto candidate = candidates.begin(); candidate != free; ++candidate) {
    if (free == candidates.end() || may_have_turn(*candidate)) {
      choice.rated.push_back(target_at(*candidate));
    }
  }
  choice.failure = candidates.empty() ? ChoiceFailure::kNoTarget : ChoiceFailure::kNone;
  return choice;
}

Choice Dispatcher::choose_instance(TimePoint now, const document::ServiceSpec& service, const Demand& demand,
                                   const std::set<std::string>& excluded, RateAuthority authority) {
  const auto candidates = candidates_for(now, service, demand, excluded);
  return authority == RateAuthority::kLeader ? choose_by_leader(now, candidates)
                                             : choose_by_shares(now, service, candidates);
}

// -------------------------------------------------------------------- rates

void Dispatcher::forget_unrated_servers() {
  if (shares_.empty() && no_turn_until_.empty()) {
    return;
  }
  std::set<std::string> rated;
  for (const auto& [id, instance] : instances_) {
    const std::string incarnation = incarnation_name(instance);
    if (instance.cold || limit_at(incarnation)) {
      rated.insert(incarnation);
    }
  }
  shares_.keep_only(rated);
  std::erase_if(no_turn_until_, [&rated](const auto& item) { return !rated.contains(item.first); });
}

std::optional<double> Dispatcher::limit_at(const std::string& incarnation) const {
  const auto own = limits_.limit_of(incarnation);
  const auto reported = reported_limits_.find(incarnation);
  if (reported == reported_limits_.end()) {
    return own;
  }
  return own ? std::min(*own, reported->second) : reported->second;
}

double Dispatcher::rate_of(const document::ServiceSpec& service, const wire::Instance& instance,
                           const std::string& incarnation) const {
  return rate_in_force(service, {incarnation, instance.cold, limit_at(incarnation)});
}

void Dispatcher::note_rated_sending(TimePoint now, const document::ServiceSpec& service,
                                    const wire::Instance& instance) {
  const std::string incarnation = incarnation_name(instance);
  shares_.note_sent(now, incarnation, rate_of(service, instance, incarnation), serving_nodes_);
}

bool Dispatcher::note_limit(const LimitObservation& observation) {
  const std::string& incarnation = observation.incarnation;
  const bool is_known = limits_.knows(incarnation);
  const bool is_of_interest = observation.per_second || is_known || reported_limits_.contains(incarnation);
  if (!is_of_interest) {
    return false;  // Most servers never name a limit: nothing is kept of them.
  }
  const auto before = limits_.limit_of(incarnation);
  limits_.observe(observation);
  const bool is_news = !is_known || limits_.limit_of(incarnation) != before;
  if (is_news) {
    limit_news_.insert(incarnation);
  }
  return is_news;
}

std::vector<LimitObservation> Dispatcher::take_changed_limits(TimePoint now) {
  if (limit_news_.empty()) {
    return {};
  }
  auto result = limits_.observations(now);
  std::erase_if(result, [this](const auto& item) { return !limit_news_.contains(item.incarnation); });
  limit_news_.clear();
  return result;
}

std::vector<LimitObservation> Dispatcher::take_limits(TimePoint now) {
  limit_news_.clear();
  return limits_.observations(now);
}

}  // namespace larchlever::fleet
