#include "core/fleet/silence_watch.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// An entry's word counts for this long; it says so at least once a second while it holds.
constexpr Duration kWordMemory = milliseconds(1200);
/// Entries whose word makes other groups better: one alone may itself be slow or badly connected.
constexpr size_t kQuietWitnesses = 2;
/// Entries, and their part of those with streams there, whose word shows that the group stands still: a zone whose
/// links lose packets holds a third of the entries.
constexpr size_t kStillWitnesses = 3;
constexpr double kStillShare = 0.75;
/// Streams of an entry are silent for about this long when it says so first.
constexpr Duration kSilentWhenTold = milliseconds(80);
/// A group may take this much longer for a pass than the cost model says, and events need some time on their way.
constexpr int kPassPercent = 140;
constexpr Duration kPassSlack = milliseconds(50);

}  // namespace

void SilenceWatch::note_streams(const std::string& node, const std::string& group, int streams) {
  if (streams > 0) {
    groups_[group].streams[node] = streams;
    return;
  }
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  found->second.streams.erase(node);
  if (found->second.is_empty()) {
    groups_.erase(found);
  }
}

void SilenceWatch::forget_empty_groups() {
  std::erase_if(groups_, [](const auto& item) { return item.second.is_empty(); });
}

void SilenceWatch::note_quiet(TimePoint now, const std::string& node, const std::vector<std::string>& groups) {
  for (auto& [name, group] : groups_) {
    if (std::find(groups.begin(), groups.end(), name) == groups.end()) {
      group.quiet.erase(node);
    }
  }
  forget_empty_groups();
  for (const auto& name : groups) {
    Word& word = groups_[name].quiet.try_emplace(node, Word{now, now}).first->second;
    word.first = now - word.last > kWordMemory ? now : word.first;
    word.last = now;
  }
}

void SilenceWatch::forget_node(const std::string& node) {
  for (auto& [name, group] : groups_) {
    group.streams.erase(node);
    group.quiet.erase(node);
  }
  forget_empty_groups();
}

bool SilenceWatch::is_quiet(TimePoint now, const std::string& group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  const auto& quiet = found->second.quiet;
  const auto witnesses = std::count_if(quiet.begin(), quiet.end(),
                                       [now](const auto& item) { return now - item.second.last < kWordMemory; });
  return static_cast<size_t>(witnesses) >= kQuietWitnesses;
}

bool SilenceWatch::stands_still(TimePoint now, const std::string& group, Duration longest_pass) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  const Duration allowed = longest_pass * kPassPercent / 100 + kPassSlack - kSilentWhenTold;
  const auto& [streams, quiet] = found->second;
  size_t witnesses = 0;
  for (const auto& [node, word] : quiet) {
    const bool counts = streams.contains(node) && now - word.last < kWordMemory && now - word.first >= allowed;
    witnesses += counts ? 1 : 0;
  }
  return witnesses >= kStillWitnesses &&
         static_cast<double>(witnesses) >= kStillShare * static_cast<double>(streams.size());
}

std::vector<std::string> SilenceWatch::quiet_groups() const {
  std::vector<std::string> result;
  for (const auto& [name, group] : groups_) {
    if (!group.quiet.empty()) {
      result.push_back(name);
    }
  }
  return result;
}

}  // namespace larchlever::fleet
