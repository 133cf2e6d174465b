// The part of Dispatcher that chooses plain servers and applies the rate limits of servers.

#include <algorithm>
#include <utility>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/server_rate_limiter.h"

namespace larchlever::fleet {

// ------------------------------------------------------------ plain servers

std::vector<Dispatcher::InstanceCandidate> Dispatcher::rank_instances(TimePoint now,
                                                                      const document::ServiceSpec& service,
                                                                      const RequestRequirements& requirements,
                                                                      const std::set<std::string>& excluded) {
  std::vector<InstanceCandidate> result;
  for (const auto& [id, instance] : instances_) {
    const bool is_in_allowed_zones =
        requirements.allowed_zones == nullptr || requirements.allowed_zones->contains(instance.zone);
    const bool is_eligible = instance.service_name == service.name && is_available(instance) && is_in_allowed_zones &&
                             !is_out_of_reach(instance);
    if (!is_eligible) {
      continue;
    }
    InstanceCandidate candidate;
    candidate.instance = &instance;
    candidate.incarnation = incarnation_name(instance);
    if (excluded.contains(candidate.incarnation) || !notices_.may_send(now, candidate.incarnation)) {
      continue;
    }
    candidate.rate_per_second = request_rate_limit(service, instance, candidate.incarnation);
    // Suspect instances are better than none: they may only be unable to reach the control replicas.
    candidate.is_suspect = instance.silent || health_[candidate.incarnation].is_avoided(now);
    candidate.cost = instance_cost(candidate.incarnation, instance.zone);
    result.push_back(std::move(candidate));
  }
  std::stable_sort(result.begin(), result.end(), [](const InstanceCandidate& left, const InstanceCandidate& right) {
    return std::pair(left.is_suspect, left.cost) < std::pair(right.is_suspect, right.cost);
  });
  return result;
}

DispatchTarget Dispatcher::make_target(const InstanceCandidate& candidate) {
  const auto& instance = *candidate.instance;
  return {candidate.incarnation, instance.service_name, "",
          instance.id,           instance.address,      health_[candidate.incarnation].in_flight(),
          candidate.incarnation, {instance.zone},       {instance.address, instance.zone}};
}

DispatchDecision Dispatcher::choose_by_local_share(TimePoint now, const document::ServiceSpec& service,
                                                   const std::vector<InstanceCandidate>& candidates) {
  DispatchDecision decision;
  for (const auto& candidate : candidates) {
    const TimePoint allowed_at =
        rate_shares_.next_allowed_at(now, candidate.incarnation, candidate.rate_per_second, serving_nodes_);
    if (allowed_at <= now) {
      note_rate_limited_attempt(now, service, *candidate.instance);
      decision.target = make_target(candidate);
      decision.next_allowed_at.reset();
      return decision;
    }
    decision.next_allowed_at = std::min(allowed_at, decision.next_allowed_at.value_or(allowed_at));
  }
  decision.failure = candidates.empty() ? DispatchFailure::kNoTarget : DispatchFailure::kAllBusy;
  return decision;
}

DispatchDecision Dispatcher::choose_for_leader_admission(TimePoint now,
                                                         const std::vector<InstanceCandidate>& candidates) {
  const auto may_be_granted = [this, now](const InstanceCandidate& candidate) {
    const auto until = rate_limited_until_.find(candidate.incarnation);
    return until == rate_limited_until_.end() || until->second <= now;
  };
  DispatchDecision decision;
  const auto unlimited =
      std::find_if(candidates.begin(), candidates.end(), [](const auto& item) { return item.rate_per_second <= 0; });
  if (unlimited != candidates.end()) {
    decision.target = make_target(*unlimited);
  }
  for (auto candidate = candidates.begin(); candidate != unlimited; ++candidate) {
    if (unlimited == candidates.end() || may_be_granted(*candidate)) {
      decision.rate_limited_targets.push_back(make_target(*candidate));
    }
  }
  decision.failure = candidates.empty() ? DispatchFailure::kNoTarget : DispatchFailure::kNone;
  return decision;
}

DispatchDecision Dispatcher::choose_instance(TimePoint now, const document::ServiceSpec& service,
                                             const RequestRequirements& requirements,
                                             const std::set<std::string>& excluded, RateAuthority authority) {
  const auto candidates = rank_instances(now, service, requirements, excluded);
  return authority == RateAuthority::kLeader ? choose_for_leader_admission(now, candidates)
                                             : choose_by_local_share(now, service, candidates);
}

std::vector<DispatchTarget> Dispatcher::plain_server_candidates(TimePoint now, const document::ServiceSpec& service,
                                                                const RequestRequirements& requirements,
                                                                const std::set<std::string>& excluded) {
  std::vector<DispatchTarget> result;
  if (!options_.admission.plain_server_slots) {
    return result;
  }
  const auto candidates = rank_instances(now, service, requirements, excluded);
  for (const auto& candidate : candidates) {
    if (candidate.is_suspect == candidates.front().is_suspect) {  // Suspect servers are ranked last.
      result.push_back(make_target(candidate));
    }
  }
  return result;
}

void Dispatcher::note_response_time(const DispatchTarget& target, Duration elapsed) {
  const bool is_reported = options_.admission.plain_server_slots && target.group.empty();
  if (!is_reported) {
    return;
  }
  ResponseTimeSum& sum = unreported_response_times_[target.key];
  ++sum.count;
  sum.total_ms += std::chrono::duration<double, std::milli>(elapsed).count();
  changed_groups_.insert(target.key);
}

void Dispatcher::move_response_times_to(std::vector<wire::GroupLoad>& loads) {
  for (auto& load : loads) {
    const auto found = unreported_response_times_.find(load.group);
    if (found == unreported_response_times_.end()) {
      continue;
    }
    load.__set_interval_count(found->second.count);
    load.__set_interval_ms(found->second.total_ms / found->second.count);
    unreported_response_times_.erase(found);
  }
}

// -------------------------------------------------------------------- rates

void Dispatcher::remove_unlimited_servers() {
  if (rate_shares_.empty() && rate_limited_until_.empty()) {
    return;
  }
  std::set<std::string> rate_limited_incarnations;
  for (const auto& [id, instance] : instances_) {
    const std::string incarnation = incarnation_name(instance);
    if (instance.cold || known_limit(incarnation)) {
      rate_limited_incarnations.insert(incarnation);
    }
  }
  rate_shares_.retain_servers(rate_limited_incarnations);
  std::erase_if(rate_limited_until_, [&rate_limited_incarnations](const auto& item) {
    return !rate_limited_incarnations.contains(item.first);
  });
}

std::optional<double> Dispatcher::known_limit(const std::string& incarnation) const {
  const auto own = observed_limits_.limit_of(incarnation);
  const auto reported = published_limits_.find(incarnation);
  if (reported == published_limits_.end()) {
    return own;
  }
  return own ? std::min(*own, reported->second) : reported->second;
}

double Dispatcher::request_rate_limit(const document::ServiceSpec& service, const wire::Instance& instance,
                                      const std::string& incarnation) const {
  return effective_rate_limit(service, {incarnation, instance.cold, known_limit(incarnation)});
}

void Dispatcher::note_rate_limited_attempt(TimePoint now, const document::ServiceSpec& service,
                                           const wire::Instance& instance) {
  const std::string incarnation = incarnation_name(instance);
  rate_shares_.note_sent(now, incarnation, request_rate_limit(service, instance, incarnation), serving_nodes_);
}

bool Dispatcher::note_limit(const LimitObservation& observation) {
  const std::string& incarnation = observation.incarnation;
  const bool is_known = observed_limits_.has_observation(incarnation);
  const bool is_relevant = observation.per_second || is_known || published_limits_.contains(incarnation);
  if (!is_relevant) {
    return false;  // Most servers never state a limit; no state is kept for them.
  }
  const auto previous = observed_limits_.limit_of(incarnation);
  observed_limits_.observe(observation);
  const bool is_changed = !is_known || observed_limits_.limit_of(incarnation) != previous;
  if (is_changed) {
    unreported_limits_.insert(incarnation);
  }
  return is_changed;
}

std::vector<LimitObservation> Dispatcher::take_changed_limits(TimePoint now) {
  if (unreported_limits_.empty()) {
    return {};
  }
  auto result = observed_limits_.observations(now);
  std::erase_if(result, [this](const auto& item) { return !unreported_limits_.contains(item.incarnation); });
  unreported_limits_.clear();
  return result;
}

std::vector<LimitObservation> Dispatcher::take_all_limits(TimePoint now) {
  unreported_limits_.clear();
  return observed_limits_.observations(now);
}

}  // namespace larchlever::fleet
