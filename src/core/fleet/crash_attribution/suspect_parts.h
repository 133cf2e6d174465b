#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/crash_attribution/server_crash_history.h"
#include "core/requests/recently_answered.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::fleet {

/// Parts of prompts under which servers crashed, until it is known whether they are the cause.
///
/// Load pattern: one part crashes every server that runs a request with it, no two of these requests are alike, and
/// dozens of sound requests that share their other parts run on the same servers. A part is suspected from its first
/// crash on, which is published, so that entries where a request with this part was answered can report that. It is the
/// cause if enough servers crashed under different requests with it, and no entry has objected for `kObjectionTime`. It
/// must also have been present at a considerable share of all crashes meanwhile: when a zone fails, some parts are at
/// several of many crashes. For the same reason a part below that share is not published as a suspect. If several parts
/// were present at the same crashes, it is the one that the fewest requests have in common.
///
/// Limits: `kMaxSuspects` parts, those with the fewest crashes are dropped first. Single-threaded, deterministic.
class SuspectParts {
 public:
  /// Time for entries to learn of a suspect and to report that it was answered.
  static constexpr Duration kObjectionTime = milliseconds(200);
  /// Entries report to a new leader once they learn of it, at the latest after this time.
  static constexpr Duration kReportTime = seconds(1);
  /// How long an inherited suspect is kept without reports of crashes under it.
  static constexpr Duration kInheritedSuspicionTime = seconds(3);
  static constexpr size_t kMaxSuspects = 256;

  /// The previous leader suspected the part. Entries report the crashes under it within `kInheritedSuspicionTime`.
  void inherit(TimePoint now, requests::RequestFingerprint part);
  /// A server crashed, whatever ran there. Must be called before `note_crash`.
  void count_crash(const ServerCrash& crash);
  /// The incarnation reported: its likely crashes did not happen.
  void retract_likely_crashes(const std::string& incarnation);
  /// A server crashed under the part. Returns true if the part is published from now on.
  bool note_crash(const ServerCrash& crash, const ServerCrashHistory& crashes);
  /// A request with the part was answered: it is no cause, and is not suspected again for some time.
  void note_answered(TimePoint now, requests::RequestFingerprint part);
  /// Whether the part is published as a suspect.
  bool is_suspect(requests::RequestFingerprint part) const { return published_.contains(part); }
  /// Whether entries may not have reported yet which servers crashed under the part while another leader led.
  bool awaits_reports(TimePoint now, requests::RequestFingerprint part) const;
  bool is_known_sound(TimePoint now, requests::RequestFingerprint part) { return sound_.contains(now, part); }
  /// Removes suspects without crashes. Returns true if there were any.
  bool remove_cleared(TimePoint now, const ServerCrashHistory& crashes);
  /// Returns a part that is known to be the cause of its crashes now, and removes it from the suspects.
  std::optional<requests::RequestFingerprint> take_cause(TimePoint now, const ServerCrashHistory& crashes);
  /// Chooses again which suspects are published. Returns true if they changed.
  bool update_published(TimePoint now, const ServerCrashHistory& crashes);
  const std::set<requests::RequestFingerprint>& published() const { return published_; }
  /// Number of parts under which servers crashed, published or not.
  size_t tracked_count() const { return suspects_.size(); }

 private:
  struct Suspect {
    /// When the suspicion was published; unset while it is not.
    std::optional<TimePoint> published_at;
    TimePoint first_crash_at{};
    /// When it was taken over from the previous leader; unset if this leader suspected it.
    std::optional<TimePoint> inherited_at;
    /// The requests that had the part when servers crashed, as far as kept.
    std::set<requests::RequestFingerprint> requests;
  };

  /// Whether the part was present at a considerable share of all crashes since shortly before its first one.
  bool explains_crashes(requests::RequestFingerprint part, const Suspect& suspect,
                        const ServerCrashHistory& crashes) const;
  /// Whether the suspicion was taken over from the previous leader and entries may still report on it.
  static bool is_kept_for_reports(TimePoint now, const Suspect& suspect);
  void forget(requests::RequestFingerprint part);
  void drop_least_suspected(const ServerCrashHistory& crashes);
  /// Number of servers that crashed at `from` or later, as far as kept.
  size_t count_crashes_since(TimePoint from) const;
  bool is_cause(TimePoint now, requests::RequestFingerprint part, const Suspect& suspect,
                const ServerCrashHistory& crashes) const;

  /// A part that begins to crash servers, although requests with it were answered before, is suspected after this time.
  static constexpr Duration kSoundPartLifetime = seconds(10);

  std::map<requests::RequestFingerprint, Suspect> suspects_;
  std::set<requests::RequestFingerprint> published_;
  /// One entry per crashed server, in the order of their reports.
  std::deque<ServerCrash> recent_crashes_;
  requests::RecentlyAnsweredRequests sound_{kSoundPartLifetime};
};

}  // namespace larchlever::fleet
