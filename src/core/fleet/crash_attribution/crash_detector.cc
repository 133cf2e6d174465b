#include "core/fleet/crash_attribution/crash_detector.h"

#include <array>
#include <utility>

namespace larchlever::fleet {

namespace {

/// Times of the probes, relative to the lost response. Frequent at first, since the next copy of a harmful request
/// arrives within tenths of a second; long enough in total for a port that a proxy holds while its server restarts.
constexpr std::array<Duration, 7> kProbeDelays{milliseconds(0),   milliseconds(20),  milliseconds(60),
                                               milliseconds(150), milliseconds(400), milliseconds(1000),
                                               milliseconds(2000)};
/// Data that was in buffers or in transit when a server crashed arrives within this time.
constexpr Duration kResponseTransitTime = milliseconds(100);
/// A port that is open this long after the loss does not close because of a crash: the sockets of a crashed process
/// close within milliseconds.
constexpr Duration kPortCloseTime = milliseconds(60);
/// Probes must fail for this long. A server that closes connections because it has too many accepts some in between.
constexpr Duration kCrashConfirmationTime = milliseconds(100);
/// Longer than a server takes to restart.
constexpr Duration kSuspicionRetention = seconds(10);

}  // namespace

LostResponseOutcome CrashDetector::note_lost_response(TimePoint now, const std::string& incarnation,
                                                      LostRequest request) {
  remove_old_suspicions(now);
  const auto [found, is_first] = suspicions_.try_emplace(incarnation);
  Suspicion& suspicion = found->second;
  if (is_first) {
    suspicion.lost_at = now;
  }
  LostResponseOutcome outcome;
  outcome.starts_probing = is_first;
  if (now - suspicion.lost_at > kResponseTransitTime) {
    return outcome;
  }
  suspicion.requests.push_back(std::move(request));
  if (suspicion.is_decided) {
    outcome.crash = decide(suspicion, suspicion.certainty);
  }
  return outcome;
}

void CrashDetector::note_progress(TimePoint now, const std::string& incarnation) {
  const auto found = suspicions_.find(incarnation);
  if (found != suspicions_.end() && now - found->second.lost_at > kResponseTransitTime) {
    suspicions_.erase(found);
  }
}

std::optional<CrashedServer> CrashDetector::decide(Suspicion& suspicion, CrashCertainty certainty) {
  suspicion.is_decided = true;
  suspicion.certainty = certainty;
  return CrashedServer{suspicion.lost_at, certainty, std::exchange(suspicion.requests, {})};
}

std::optional<CrashedServer> CrashDetector::note_probe(TimePoint now, const std::string& incarnation,
                                                       ProbeResult result) {
  const auto found = suspicions_.find(incarnation);
  if (found == suspicions_.end() || found->second.is_decided) {
    return std::nullopt;
  }
  Suspicion& suspicion = found->second;
  ++suspicion.probes;
  if (result == ProbeResult::kRefused) {
    return decide(suspicion, CrashCertainty::kConfirmed);
  }
  if (result == ProbeResult::kOpen) {
    suspicion.down_since.reset();
    suspicion.port_stays_open = now - suspicion.lost_at >= kPortCloseTime;
    return std::nullopt;
  }
  if (!suspicion.down_since) {
    suspicion.down_since = now;
  }
  if (now - *suspicion.down_since >= kCrashConfirmationTime) {
    return decide(suspicion, CrashCertainty::kLikely);
  }
  return std::nullopt;
}

std::optional<CrashedServer> CrashDetector::take_suspected_crash(const std::string& incarnation) {
  const auto found = suspicions_.find(incarnation);
  if (found == suspicions_.end() || found->second.is_decided || !found->second.port_stays_open) {
    return std::nullopt;
  }
  return decide(found->second, CrashCertainty::kLikely);
}

std::optional<CrashedServer> CrashDetector::note_restart(const std::string& incarnation) {
  const auto found = suspicions_.find(incarnation);
  if (found == suspicions_.end() || found->second.is_decided) {
    return std::nullopt;
  }
  return decide(found->second, CrashCertainty::kConfirmed);
}

std::optional<TimePoint> CrashDetector::next_probe_time(const std::string& incarnation) const {
  const auto found = suspicions_.find(incarnation);
  const bool is_finished = found == suspicions_.end() || found->second.is_decided || found->second.port_stays_open;
  if (is_finished || found->second.probes >= kProbeDelays.size()) {
    return std::nullopt;
  }
  return found->second.lost_at + kProbeDelays.at(found->second.probes);
}

bool CrashDetector::awaits_first_probe(const std::string& incarnation) const {
  const auto found = suspicions_.find(incarnation);
  return found != suspicions_.end() && !found->second.is_decided && found->second.probes == 0;
}

bool CrashDetector::seems_down(const std::string& incarnation) const {
  const auto found = suspicions_.find(incarnation);
  return found != suspicions_.end() && !found->second.is_decided && found->second.down_since.has_value();
}

void CrashDetector::remove_old_suspicions(TimePoint now) {
  std::erase_if(suspicions_, [now](const auto& item) { return now - item.second.lost_at > kSuspicionRetention; });
}

}  // namespace larchlever::fleet
