#include "core/fleet/cluster_formation.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

constexpr Duration kFormationNoticeInterval = milliseconds(50);
/// How long a majority of the seeds waits for the others. Machines of a fleet start within some tenths of a second of
/// each other; a seed that is later than this joins the log that the majority has created.
constexpr Duration kLateSeedGracePeriod = seconds(1);
/// A seed without a notice for this long counts as unreachable.
constexpr Duration kSeedTimeout = milliseconds(500);

}  // namespace

ClusterFormation::ClusterFormation(TimePoint now, std::string self, std::vector<std::string> seeds,
                                   std::string stored_choice)
    : self_(std::move(self)),
      started_at_(now),
      founder_choice_(std::move(stored_choice)),
      is_choice_stored_(!founder_choice_.empty()) {
  for (auto& seed : seeds) {
    seeds_.try_emplace(std::move(seed));
  }
}

std::vector<std::string> ClusterFormation::reachable_seeds(TimePoint now) const {
  std::vector<std::string> result;
  for (const auto& [address, seed] : seeds_) {
    const bool is_reachable = seed.last_notice != TimePoint::min() && now - seed.last_notice <= kSeedTimeout;
    if (address == self_ || is_reachable) {
      result.push_back(address);
    }
  }
  return result;
}

void ClusterFormation::update_founder_choice(TimePoint now) {
  const auto candidates = reachable_seeds(now);
  const bool all_reachable = candidates.size() == seeds_.size();
  const bool is_majority_after_grace_period =
      candidates.size() >= majority() && now - started_at_ >= kLateSeedGracePeriod;
  if (!all_reachable && !is_majority_after_grace_period) {
    return;
  }
  const std::string& lowest_address = candidates.front();
  const bool yields_to_lower_seed = founder_choice_ == self_ && lowest_address < self_;
  if (founder_choice_.empty() || yields_to_lower_seed) {
    founder_choice_ = lowest_address;
    is_choice_stored_ = false;
  }
}

std::vector<wire::Envelope> ClusterFormation::tick(TimePoint now) {
  std::vector<wire::Envelope> notices;
  if (log_exists_) {
    return notices;
  }
  update_founder_choice(now);
  if (now < next_notice_) {
    return notices;
  }
  next_notice_ = now + kFormationNoticeInterval;
  for (const auto& [address, seed] : seeds_) {
    if (address == self_) {
      continue;
    }
    wire::Envelope envelope;
    envelope.to_node = address;
    envelope.__isset.formation = true;
    envelope.formation.choice = is_choice_stored_ ? founder_choice_ : "";
    notices.push_back(std::move(envelope));
  }
  return notices;
}

void ClusterFormation::receive_notice(TimePoint now, const std::string& from, const wire::FormationNotice& notice) {
  if (notice.holds_log) {
    log_exists_ = true;
    return;
  }
  const auto seed = seeds_.find(from);
  if (seed == seeds_.end()) {
    return;
  }
  seed->second.last_notice = now;
  seed->second.choice = notice.choice;
  update_founder_choice(now);
}

std::optional<std::string> ClusterFormation::founder_choice_to_store() const {
  return is_choice_stored_ || founder_choice_.empty() ? std::nullopt : std::optional(founder_choice_);
}

void ClusterFormation::founder_choice_stored() {
  is_choice_stored_ = true;
  next_notice_ = TimePoint::min();  // Send the choice at once; the other seeds wait for it.
}

bool ClusterFormation::may_create_log() const {
  if (log_exists_ || !is_choice_stored_ || founder_choice_ != self_) {
    return false;
  }
  const auto voted_for_self = [this](const auto& item) { return item.first != self_ && item.second.choice == self_; };
  const auto other_votes = std::count_if(seeds_.begin(), seeds_.end(), voted_for_self);
  return static_cast<size_t>(other_votes) + 1 >= majority();
}

}  // namespace larchlever::fleet
