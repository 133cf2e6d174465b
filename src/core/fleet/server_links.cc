#include "core/fleet/server_links.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

const std::string kAllZones = "*";
/// A server that is waited for is silent after this time: several times the pause between events of a stream.
constexpr Duration kSilenceThreshold = milliseconds(150);
/// Failures of a server that was heard more recently than this do not count: it resets surplus connections, for
/// instance.
constexpr Duration kRecentContact = milliseconds(200);
constexpr int kFailuresUntilLost = 2;
/// Failures of several servers within this time have a common cause.
constexpr Duration kSimultaneousFailures = milliseconds(100);
/// Silence of everything that is waited for, after which links are doubtful.
constexpr Duration kDoubtThreshold = milliseconds(50);
/// Servers of a scope that must fail or be silent together before the scope is presumed lost.
constexpr size_t kServersUntilScopeLost = 2;
/// Losses and contacts within this time are compared with each other.
constexpr Duration kEvidenceWindow = seconds(1);
/// Probes of lost links: at most this many at each interval.
constexpr Duration kProbeInterval = milliseconds(200);
constexpr size_t kProbesPerInterval = 3;
/// The same for the time after a probe has succeeded.
constexpr Duration kFastProbeInterval = milliseconds(50);
constexpr Duration kFastProbingTime = milliseconds(600);
/// Losses closer together than this are links that come and go. Probes must then succeed for a hold time, which doubles
/// with each further loss.
constexpr Duration kRelapseWindow = seconds(5);
constexpr Duration kMinHoldTime = milliseconds(700);
constexpr Duration kMaxHoldTime = milliseconds(2800);

}  // namespace

ServerLinks::Link& ServerLinks::link_of(const LinkedServer& server) {
  Link& link = links_[server.address];
  link.zone = server.zone;
  return link;
}

void ServerLinks::begin_wait(TimePoint now, const LinkedServer& server) {
  Link& link = link_of(server);
  if (link.waits++ == 0) {
    link.waiting_since = now;
  }
}

void ServerLinks::end_wait(const LinkedServer& server) {
  Link& link = link_of(server);
  link.waits = std::max(0, link.waits - 1);
}

void ServerLinks::note_contact(TimePoint now, const LinkedServer& server) {
  Link& link = link_of(server);
  link.last_contact = now;
  link.failures = 0;
  if (!has_lost_links()) {
    return;
  }
  reopen_zone(now, server.zone);
  const auto lost = lost_since_.find(server.address);
  const bool is_later_than_loss = lost != lost_since_.end() && now - lost->second > kSimultaneousFailures;
  if (is_later_than_loss && hold_time_ == Duration::zero()) {
    regain(now, server.address, link);  // Connections that were open before the loss still work.
  }
}

bool ServerLinks::has_other_failed_at(TimePoint now, const std::string& address) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
    const TimePoint failed_at = item.second.last_failure;
    return item.first != address && failed_at != TimePoint::min() && now - failed_at < kSimultaneousFailures;
  });
}

void ServerLinks::note_failure(TimePoint now, const LinkedServer& server) {
  Link& link = link_of(server);
  link.last_failure = now;
  const bool others_fail = has_other_failed_at(now, server.address);
  const bool was_heard = link.last_contact != TimePoint::min() && now - link.last_contact < kRecentContact;
  if (was_heard && !others_fail) {
    return;
  }
  if (link.failures++ == 0) {
    link.failing_since = now;
  }
  if (link.failures >= kFailuresUntilLost || others_fail) {
    mark_lost(now, server.address, link);
  }
}

void ServerLinks::mark_lost(TimePoint now, const std::string& address, const Link& link) {
  const bool is_new = lost_since_.try_emplace(address, link.failures > 0 ? link.failing_since : now).second;
  if (is_new) {
    update_hold_time(now, link);
    next_probe_ = std::min(next_probe_, now + kProbeInterval);
  }
}

void ServerLinks::update_hold_time(TimePoint now, const Link& lost_link) {
  const auto is_within = [now](TimePoint since, Duration time) {
    return since != TimePoint::min() && now - since < time;
  };
  if (is_within(lost_link.regained_at, kRelapseWindow)) {
    if (!is_within(hold_time_raised_at_, kMinHoldTime)) {  // One relapse loses many links.
      hold_time_ = std::clamp(2 * hold_time_, kMinHoldTime, kMaxHoldTime);
      hold_time_raised_at_ = now;
    }
  } else if (lost_since_.size() == 1) {
    hold_time_ = Duration::zero();
  }
}

void ServerLinks::restart_silence_timers(TimePoint now) {
  for (auto& [address, link] : links_) {
    link.waiting_since = now;
  }
}

void ServerLinks::retain_servers(const std::set<std::string>& addresses) {
  const auto is_unknown = [&addresses](const auto& item) { return !addresses.contains(item.first); };
  std::erase_if(links_, [&](const auto& item) { return is_unknown(item) && item.second.waits == 0; });
  std::erase_if(lost_since_, is_unknown);
  remove_empty_scopes();
}

void ServerLinks::forget_server(const std::string& address) {
  links_.erase(address);
  lost_since_.erase(address);
  remove_empty_scopes();
}

void ServerLinks::remove_empty_scopes() {
  std::erase_if(lost_scopes_, [this](const auto& item) {
    return std::none_of(links_.begin(), links_.end(), [&item](const auto& link) {
      return item.first == kAllZones || link.second.zone == item.first;
    });
  });
}

std::optional<TimePoint> ServerLinks::evidence_start(TimePoint now, const std::string& address,
                                                     const Link& link) const {
  const auto lost = lost_since_.find(address);
  if (lost != lost_since_.end()) {
    return now - lost->second < kEvidenceWindow ? std::optional(lost->second) : std::nullopt;
  }
  if (link.failures > 0) {
    return now - link.failing_since < kEvidenceWindow ? std::optional(link.failing_since) : std::nullopt;
  }
  const TimePoint silent_since = std::max(link.waiting_since, link.last_contact);
  const bool is_silent = link.waits > 0 && now - silent_since >= kSilenceThreshold;
  return is_silent ? std::optional(silent_since) : std::nullopt;
}

TimePoint ServerLinks::newest_contact(const std::string& scope) const {
  TimePoint newest = TimePoint::min();
  for (const auto& [address, link] : links_) {
    if (scope == kAllZones || link.zone == scope) {
      newest = std::max(newest, link.last_contact);
    }
  }
  return newest;
}

void ServerLinks::check_scope(TimePoint now, const std::string& scope, const std::vector<Evidence>& evidence) {
  if (lost_scopes_.contains(scope) || lost_scopes_.contains(kAllZones)) {
    return;
  }
  const TimePoint last_heard = newest_contact(scope);
  const auto unheard = std::count_if(evidence.begin(), evidence.end(), [&](const Evidence& item) {
    return (scope == kAllZones || item.zone == scope) && item.since >= last_heard;
  });
  if (static_cast<size_t>(unheard) >= kServersUntilScopeLost) {
    lost_scopes_[scope] = now;
    next_probe_ = now;
  }
}

void ServerLinks::tick(TimePoint now) {
  std::vector<Evidence> evidence;
  for (const auto& [address, link] : links_) {
    if (const auto start = evidence_start(now, address, link)) {
      evidence.push_back({link.zone, *start});
    }
  }
  if (evidence.size() < kServersUntilScopeLost) {
    return;
  }
  check_scope(now, kAllZones, evidence);
  for (const auto& item : evidence) {
    check_scope(now, item.zone, evidence);
  }
}

bool ServerLinks::is_in_lost_scope(const std::string& zone, TimePoint last_contact) const {
  const auto is_lost_since = [&](const std::string& scope) {
    const auto found = lost_scopes_.find(scope);
    return found != lost_scopes_.end() && last_contact <= found->second;
  };
  return is_lost_since(kAllZones) || is_lost_since(zone);
}

bool ServerLinks::is_lost(const LinkedServer& server) const {
  if (!has_lost_links()) {
    return false;
  }
  if (lost_since_.contains(server.address)) {
    return true;
  }
  const auto link = links_.find(server.address);
  return is_in_lost_scope(server.zone, link == links_.end() ? TimePoint::min() : link->second.last_contact);
}

bool ServerLinks::explains_failure(TimePoint now, const LinkedServer& server) const {
  if (!is_lost(server)) {
    return false;
  }
  const auto link = links_.find(server.address);
  if (link == links_.end() || is_in_lost_scope(server.zone, link->second.last_contact)) {
    return true;
  }
  const auto heard = static_cast<size_t>(std::count_if(links_.begin(), links_.end(), [&](const auto& item) {
    return !lost_since_.contains(item.first) && item.second.last_contact != TimePoint::min() &&
           now - item.second.last_contact < kEvidenceWindow;
  }));
  return lost_since_.size() >= kServersUntilScopeLost && lost_since_.size() >= heard;
}

bool ServerLinks::are_all_silent_since(TimePoint since) const {
  size_t waited_for = 0;
  for (const auto& [address, link] : links_) {
    if (link.last_contact > since) {
      return false;
    }
    waited_for += link.waits > 0 ? 1 : 0;
  }
  return waited_for >= kServersUntilScopeLost;
}

bool ServerLinks::are_doubtful(TimePoint now) const {
  TimePoint newest_contact = TimePoint::min();
  TimePoint longest_wait = TimePoint::max();
  for (const auto& [address, link] : links_) {
    newest_contact = std::max(newest_contact, link.last_contact);
    if (link.waits > 0) {
      longest_wait = std::min(longest_wait, link.waiting_since);
    }
  }
  return longest_wait != TimePoint::max() && now - std::max(longest_wait, newest_contact) >= kDoubtThreshold;
}

// ------------------------------------------------------------------- probes

std::vector<LinkedServer> ServerLinks::take_due_probes(TimePoint now) {
  std::vector<LinkedServer> result;
  if (!has_lost_links() || now < next_probe_) {
    return result;
  }
  next_probe_ = now + (now < fast_probing_until_ ? kFastProbeInterval : kProbeInterval);
  std::vector<std::pair<const std::string*, Link*>> candidates;
  for (auto& [address, link] : links_) {
    if (is_lost({address, link.zone})) {
      candidates.emplace_back(&address, &link);
    }
  }
  // Requests wait for some servers, and these are probed first: their requests can be sent another way.
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    const auto key = [](const Link& link) { return std::pair(link.last_probe, -link.waits); };
    return key(*left.second) < key(*right.second);
  });
  for (const auto& [address, link] : candidates) {
    if (result.size() == kProbesPerInterval) {
      break;
    }
    link->last_probe = now;
    result.push_back({*address, link->zone});
  }
  return result;
}

void ServerLinks::note_probe(TimePoint now, const LinkedServer& server, bool has_responded) {
  const auto found = links_.find(server.address);
  if (found == links_.end() || !is_lost(server)) {
    return;
  }
  Link& link = found->second;
  if (!has_responded) {
    link.probed_well_since.reset();
    mark_lost(now, server.address, link);
    confirmed_losses_.insert(server.address);
    return;
  }
  link.probed_well_since = link.probed_well_since.value_or(now);
  if (hold_time_ == Duration::zero()) {
    fast_probing_until_ = now + kFastProbingTime;
    next_probe_ = std::min(next_probe_, now + kFastProbeInterval);
  }
  if (now - *link.probed_well_since >= hold_time_) {
    regain(now, server.address, link);
  }
}

void ServerLinks::regain(TimePoint now, const std::string& address, Link& link) {
  link.last_contact = now;
  link.failures = 0;
  link.probed_well_since.reset();
  lost_since_.erase(address);
  confirmed_losses_.erase(address);
  regained_.insert(address);
  link.regained_at = now;
  reopen_zone(now, link.zone);
}

void ServerLinks::reopen_zone(TimePoint now, const std::string& zone) {
  if (lost_scopes_.erase(kAllZones) > 0) {
    for (const auto& [address, link] : links_) {
      if (link.zone != zone) {
        lost_scopes_.try_emplace(link.zone, now);
      }
    }
  }
  lost_scopes_.erase(zone);
}

std::vector<std::string> ServerLinks::take_confirmed_losses() {
  const auto losses = std::exchange(confirmed_losses_, {});
  return {losses.begin(), losses.end()};
}

std::vector<std::string> ServerLinks::take_regained() {
  const auto regained = std::exchange(regained_, {});
  return {regained.begin(), regained.end()};
}

bool ServerLinks::reaches_no_server() const {
  return has_lost_links() && !links_.empty() && std::all_of(links_.begin(), links_.end(), [this](const auto& item) {
           return is_lost({item.first, item.second.zone});
         });
}

LinkSummary ServerLinks::summary() const {
  LinkSummary result;
  for (const auto& [address, since] : lost_since_) {
    result.lost_servers.push_back(address);
  }
  for (const auto& [scope, since] : lost_scopes_) {
    result.lost_scopes.push_back(scope);
  }
  return result;
}

}  // namespace larchlever::fleet
