#include "core/fleet/entry_reports.h"

#include <algorithm>
#include <iterator>

#include "core/fleet/target_health.h"

namespace larchlever::fleet {

namespace {

/// How long an entry's word against a group counts.
constexpr Duration kAccusationMemory = seconds(3);
/// A group that any entry saw make progress this recently is not dead, only slow for others.
constexpr Duration kAliveProgress = milliseconds(500);
/// An entry reports at least once a second; one that is silent for this long has ended or is cut off.
constexpr Duration kEntrySilence = milliseconds(3500);

}  // namespace

void EntryReports::start() {
  entries_.clear();
  accusations_.clear();
  progress_.clear();
}

bool EntryReports::note(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.slot_report;
  Entry& entry = entries_[envelope.from_node];
  const bool is_new = entry.incarnation != envelope.from_incarnation;
  if (is_new || report.is_complete) {
    entry.loads.clear();
  }
  entry.incarnation = envelope.from_incarnation;
  entry.last_heard = now;
  for (const auto& load : report.loads) {
    if (load.in_flight > 0) {
      entry.loads[load.group] = load;
    } else {
      entry.loads.erase(load.group);
    }
    if (load.progress_age_ms != kUnknownProgressAge) {
      TimePoint& progress = progress_.try_emplace(load.group, TimePoint::min()).first->second;
      progress = std::max(progress, now - milliseconds(load.progress_age_ms));
    }
  }
  for (const auto& failure : report.failures) {
    accusations_[failure.group][envelope.from_node] = now;
  }
  return is_new;
}

void EntryReports::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, entry] : entries_) {
    entry.last_heard = heard_after_pause(now, entry.last_heard, pause);
  }
}

std::vector<std::string> EntryReports::forget_silent(TimePoint now) {
  std::vector<std::string> forgotten;
  for (auto item = entries_.begin(); item != entries_.end();) {
    const bool is_silent = now - item->second.last_heard > kEntrySilence;
    if (is_silent) {
      forgotten.push_back(item->first);
    }
    item = is_silent ? entries_.erase(item) : std::next(item);
  }
  return forgotten;
}

std::map<std::string, wire::GroupLoad> EntryReports::totals(TimePoint now) const {
  std::map<std::string, wire::GroupLoad> result;
  for (const auto& [node, entry] : entries_) {
    for (const auto& [group, load] : entry.loads) {
      auto& total = result[group];
      total.group = group;
      total.in_flight += load.in_flight;
      total.streaming += load.streaming;
      total.waiting_tokens += load.waiting_tokens;
    }
  }
  for (auto& [group, total] : result) {
    const auto progress = progress_.find(group);
    total.progress_age_ms = progress == progress_.end()
                                ? kUnknownProgressAge
                                : static_cast<int32_t>((now - progress->second) / milliseconds(1));
  }
  return result;
}

size_t EntryReports::accusers(TimePoint now, const std::string& group) {
  auto& accusers = accusations_[group];
  std::erase_if(accusers, [now](const auto& item) { return now - item.second > kAccusationMemory; });
  return accusers.size();
}

bool EntryReports::is_alive(TimePoint now, const std::string& group) const {
  const auto progress = progress_.find(group);
  return progress != progress_.end() && now - progress->second < kAliveProgress;
}

}  // namespace larchlever::fleet
