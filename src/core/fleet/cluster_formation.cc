#include "core/fleet/cluster_formation.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

constexpr Duration kNoticeInterval = milliseconds(50);
/// How long a majority of the seeds waits for the others. Machines of a fleet come up within some tenths of a second of
/// one another; whoever is later than this joins the log that the others have made.
constexpr Duration kLateSeedPatience = seconds(1);
/// A seed that is not heard for this long is taken to be away.
constexpr Duration kSeedSilence = milliseconds(500);

}  // namespace

ClusterFormation::ClusterFormation(TimePoint now, std::string self, std::vector<std::string> seeds,
                                   std::string stored_choice)
    : self_(std::move(self)), started_(now), choice_(std::move(stored_choice)), is_stored_(!choice_.empty()) {
  for (auto& seed : seeds) {
    seeds_.try_emplace(std::move(seed));
  }
}

std::vector<std::string> ClusterFormation::heard(TimePoint now) const {
  std::vector<std::string> result;
  for (const auto& [address, seed] : seeds_) {
    const bool is_up = seed.last_heard != TimePoint::min() && now - seed.last_heard <= kSeedSilence;
    if (address == self_ || is_up) {
      result.push_back(address);
    }
  }
  return result;
}

void ClusterFormation::choose(TimePoint now) {
  const auto candidates = heard(now);
  const bool all_heard = candidates.size() == seeds_.size();
  const bool is_enough = candidates.size() >= majority() && now - started_ >= kLateSeedPatience;
  if (!all_heard && !is_enough) {
    return;
  }
  const std::string& lowest = candidates.front();
  const bool gives_way = choice_ == self_ && lowest < self_;
  if (choice_.empty() || gives_way) {
    choice_ = lowest;
    is_stored_ = false;
  }
}

std::vector<wire::Envelope> ClusterFormation::tick(TimePoint now) {
  std::vector<wire::Envelope> notices;
  if (is_over_) {
    return notices;
  }
  choose(now);
  if (now < next_notice_) {
    return notices;
  }
  next_notice_ = now + kNoticeInterval;
  for (const auto& [address, seed] : seeds_) {
    if (address == self_) {
      continue;
    }
    wire::Envelope envelope;
    envelope.to_node = address;
    envelope.__isset.formation = true;
    envelope.formation.choice = is_stored_ ? choice_ : "";
    notices.push_back(std::move(envelope));
  }
  return notices;
}

void ClusterFormation::receive(TimePoint now, const std::string& from, const wire::FormationNotice& notice) {
  if (notice.holds_log) {
    is_over_ = true;
    return;
  }
  const auto seed = seeds_.find(from);
  if (seed == seeds_.end()) {
    return;
  }
  seed->second.last_heard = now;
  seed->second.choice = notice.choice;
  choose(now);
}

std::optional<std::string> ClusterFormation::choice_to_store() const {
  return is_stored_ || choice_.empty() ? std::nullopt : std::optional(choice_);
}

void ClusterFormation::choice_stored() {
  is_stored_ = true;
  next_notice_ = TimePoint::min();  // The others wait for it.
}

bool ClusterFormation::may_found() const {
  if (is_over_ || !is_stored_ || choice_ != self_) {
    return false;
  }
  const auto chose_self = [this](const auto& item) { return item.first != self_ && item.second.choice == self_; };
  const auto others = std::count_if(seeds_.begin(), seeds_.end(), chose_self);
  return static_cast<size_t>(others) + 1 >= majority();
}

}  // namespace larchlever::fleet
