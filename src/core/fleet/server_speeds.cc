#include "core/fleet/server_speeds.h"

#include <algorithm>
#include <set>

namespace larchlever::fleet {

namespace {

/// A target counts as slow from the first ratio on, until it falls below the second. Smaller deviations are within what
/// the cost model omits, and the margins of callers' objectives cover them.
constexpr double kSlowRatio = 1.5;
constexpr double kNormalRatio = 1.3;
/// Ratio that is needed if fewer entries vote than this number: the pauses that few entries see vary more with the
/// sizes of prompts.
constexpr double kFewVotersSlowRatio = 2;
constexpr size_t kManyVoters = 4;
/// Ratios are limited to this, so that one absurd report is soon outweighed.
constexpr double kMaxRatio = 50;

/// Votes older than this do not count: entries with streams report at least once a second.
constexpr Duration kVoteLifetime = milliseconds(1200);
/// Samples of a target before this age are not believed: a new leader does not know of all prompts there yet.
constexpr Duration kWarmUpTime = milliseconds(500);
/// How long an entry must have been the only one that votes before it alone can make a target slow. Other entries with
/// streams there would have reported by then.
constexpr Duration kSoleVoterTime = seconds(1);

/// A factor holds for this long, which exceeds the report interval of entries, and then falls to 1 in the second time.
constexpr Duration kHoldTime = milliseconds(1500);
constexpr Duration kFadeTime = milliseconds(500);
/// Time from the last sample or trial to the next trial. Longer than a slow target's pauses, and early enough that a
/// target that is fast again is known before its factor ends. Even then fewer than two requests a second pay for it.
constexpr Duration kTrialInterval = milliseconds(600);

/// Weight of a new sample in the vote of its entry: a half for one interval, more for several.
double sample_weight(int count) { return static_cast<double>(count) / (count + 1.0); }

}  // namespace

void ServerSpeeds::note_sample(TimePoint now, const SpeedSample& sample) {
  if (sample.count <= 0 || !(sample.observed_ms > 0) || !(sample.expected_ms > 0)) {
    return;
  }
  const auto [item, is_new] = targets_.try_emplace(sample.target);
  Target& target = item->second;
  target.first_sample_at = is_new ? now : target.first_sample_at;
  target.is_slow = target.is_slow && factor_of(now, target) > 1;
  target.last_sample_at = now;
  target.holds_from = now;
  cast_vote(now, sample, target);
  target.ratio = median_ratio(target);
  if (target.is_slow) {
    target.is_slow = target.ratio >= kNormalRatio;
  } else {
    target.is_slow = is_confirmed(now, sample.target, target);
  }
}

void ServerSpeeds::cast_vote(TimePoint now, const SpeedSample& sample, Target& target) {
  std::erase_if(target.votes, [now](const auto& item) { return now - item.second.at > kVoteLifetime; });
  const bool is_first_vote = target.votes.empty();
  const double ratio = std::min(sample.observed_ms / sample.expected_ms, kMaxRatio);
  Vote& vote = target.votes.try_emplace(sample.entry).first->second;
  vote.ratio += sample_weight(sample.count) * (ratio - vote.ratio);
  vote.at = now;
  if (target.votes.size() > 1) {
    target.sole_voter_since = TimePoint::max();
  } else if (is_first_vote || target.sole_voter_since == TimePoint::max()) {
    target.sole_voter_since = now;
  }
}

double ServerSpeeds::median_ratio(const Target& target) {
  std::vector<double> ratios;
  ratios.reserve(target.votes.size());
  for (const auto& [entry, vote] : target.votes) {
    ratios.push_back(vote.ratio);
  }
  // The lower of the two middle votes, so that one of two entries cannot make a target slow.
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

bool ServerSpeeds::is_confirmed(TimePoint now, const std::string& name, const Target& target) const {
  const double slow_ratio = target.votes.size() < kManyVoters ? kFewVotersSlowRatio : kSlowRatio;
  if (target.ratio < slow_ratio || now - target.first_sample_at < kWarmUpTime) {
    return false;
  }
  if (target.votes.size() > 1) {
    return true;
  }
  return target.sole_voter_since != TimePoint::max() && now - target.sole_voter_since >= kSoleVoterTime &&
         !sees_most_targets_slow(now, target.votes.begin()->first, name);
}

bool ServerSpeeds::sees_most_targets_slow(TimePoint now, const std::string& entry,
                                          const std::string& except_target) const {
  size_t slow_votes = 0;
  size_t other_votes = 0;
  for (const auto& [name, target] : targets_) {
    const auto vote = target.votes.find(entry);
    if (name == except_target || vote == target.votes.end() || now - vote->second.at > kVoteLifetime) {
      continue;
    }
    size_t& votes = vote->second.ratio >= kSlowRatio ? slow_votes : other_votes;
    ++votes;
  }
  return slow_votes > other_votes;
}

double ServerSpeeds::factor_of(TimePoint now, const Target& target) {
  if (!target.is_slow) {
    return 1;
  }
  const Duration age = now - target.holds_from;
  if (age >= kHoldTime + kFadeTime) {
    return 1;
  }
  const auto fade = static_cast<double>(std::max(Duration::zero(), age - kHoldTime).count());
  const double remaining = 1 - fade / static_cast<double>(kFadeTime.count());
  return 1 + (target.ratio - 1) * remaining;
}

double ServerSpeeds::time_factor(TimePoint now, const std::string& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 1 : factor_of(now, found->second);
}

bool ServerSpeeds::is_trial_due(TimePoint now, const std::string& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && factor_of(now, found->second) > 1 &&
         now - std::max(found->second.last_sample_at, found->second.last_trial_at) >= kTrialInterval;
}

void ServerSpeeds::note_trial(TimePoint now, const std::string& name) {
  const auto found = targets_.find(name);
  if (found == targets_.end() || factor_of(now, found->second) <= 1) {
    return;
  }
  Target& target = found->second;
  if (target.last_trial_at <= target.last_sample_at) {
    target.holds_from = now;
  }
  target.last_trial_at = now;
}

std::map<std::string, double> ServerSpeeds::slow_targets(TimePoint now) const {
  std::map<std::string, double> result;
  for (const auto& [name, target] : targets_) {
    const double factor = factor_of(now, target);
    if (factor > 1) {
      result[name] = factor;
    }
  }
  return result;
}

void ServerSpeeds::forget_entry(const std::string& entry) {
  for (auto& [name, target] : targets_) {
    target.votes.erase(entry);
  }
}

void ServerSpeeds::retain_targets(const std::vector<std::string>& targets) {
  const std::set<std::string> retained(targets.begin(), targets.end());
  std::erase_if(targets_, [&retained](const auto& item) { return !retained.contains(item.first); });
}

}  // namespace larchlever::fleet
