#include "core/fleet/server_ends.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Two reports of one instance's end within this time are of the same one: a server takes some seconds to start again,
/// and entries notice an end within milliseconds of one another.
constexpr Duration kSameEnd = seconds(2);
/// A caller that sends its request again does so within minutes.
constexpr Duration kMemory = std::chrono::minutes(10);
/// At some 250 bytes each, about a megabyte.
constexpr size_t kMostSuspects = 4096;
/// Ends that are known to be caused by another request; each such request has a handful.
constexpr size_t kMostExplained = 1024;

bool is_same(const ServerEnd& left, const ServerEnd& right) {
  const Duration apart = left.at > right.at ? left.at - right.at : right.at - left.at;
  return left.instance_id == right.instance_id && apart < kSameEnd;
}

/// A report that was on the way when its sender ended arrives within this time.
constexpr Duration kReportOnTheWay = milliseconds(300);

bool holds(const std::vector<ServerEnd>& ends, const ServerEnd& end) {
  return std::any_of(ends.begin(), ends.end(), [&end](const ServerEnd& known) { return is_same(known, end); });
}

}  // namespace

size_t ServerEnds::note(const ServerEnd& end) {
  if (is_explained(end)) {
    return count(end.request);
  }
  if (!suspects_.contains(end.request) && suspects_.size() >= kMostSuspects) {
    erase(by_age_.begin()->second);
  }
  Suspect& suspect = suspects_[end.request];
  if (!holds(suspect.ends, end)) {
    suspect.ends.push_back(end);
  }
  by_age_.erase({suspect.last, end.request});
  suspect.last = std::max(suspect.last, end.at);
  by_age_.insert({suspect.last, end.request});
  return suspect.ends.size();
}

size_t ServerEnds::count(requests::RequestFingerprint request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : found->second.ends.size();
}

TimePoint ServerEnds::last_end(requests::RequestFingerprint request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? TimePoint::min() : found->second.last;
}

std::vector<requests::RequestFingerprint> ServerEnds::refute(const std::string& incarnation, TimePoint heard) {
  const auto is_refuted = [&](const ServerEnd& end) {
    return end.instance_id == incarnation && end.certainty == Certainty::kLikely && end.at + kReportOnTheWay < heard;
  };
  std::vector<requests::RequestFingerprint> affected;
  std::vector<requests::RequestFingerprint> cleared;
  for (auto& [request, suspect] : suspects_) {
    if (std::erase_if(suspect.ends, is_refuted) > 0) {
      affected.push_back(request);
    }
    if (suspect.ends.empty()) {
      cleared.push_back(request);
    }
  }
  for (const auto request : cleared) {
    erase(request);
  }
  return affected;
}

void ServerEnds::erase(requests::RequestFingerprint request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    by_age_.erase({found->second.last, request});
    suspects_.erase(found);
  }
}

bool ServerEnds::is_explained(const ServerEnd& end) const {
  return std::any_of(explained_.begin(), explained_.end(),
                     [&end](const ServerEnd& known) { return known.request != end.request && is_same(known, end); });
}

void ServerEnds::explain(requests::RequestFingerprint request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return;
  }
  const auto ends = found->second.ends;
  for (const auto& end : ends) {
    if (!holds(explained_, end)) {
      explained_.push_back(end);
    }
  }
  if (explained_.size() > kMostExplained) {
    explained_.erase(explained_.begin(), explained_.end() - kMostExplained);
  }
  std::vector<requests::RequestFingerprint> cleared;
  for (auto& [other, suspect] : suspects_) {
    if (other == request) {
      continue;
    }
    std::erase_if(suspect.ends, [&ends](const ServerEnd& end) { return holds(ends, end); });
    if (suspect.ends.empty()) {
      cleared.push_back(other);
    }
  }
  for (const auto other : cleared) {
    erase(other);
  }
}

void ServerEnds::forget_old(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.begin()->first > kMemory) {
    erase(by_age_.begin()->second);
  }
  std::erase_if(explained_, [now](const ServerEnd& end) { return now - end.at > kMemory; });
}

std::vector<ServerEnd> ServerEnds::newest(size_t most) const {
  std::vector<ServerEnd> result;
  for (auto item = by_age_.rbegin(); item != by_age_.rend(); ++item) {
    const auto& ends = suspects_.at(item->second).ends;
    if (result.size() + ends.size() > most) {
      break;
    }
    result.insert(result.end(), ends.begin(), ends.end());
  }
  return result;
}

}  // namespace larchlever::fleet
