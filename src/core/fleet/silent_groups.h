#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/group_suspicion_event.h"

namespace larchlever::fleet {

/// Longest silence of a sound group. Callers give up a stream after about this time, so a group that is silent for
/// longer serves nobody.
constexpr Duration kMaxSoundSilence = seconds(2);

/// A member of a suspected group, to whose address a connection is to be tried.
struct MemberProbe {
  std::string group;
  std::string instance_id;
  std::string address;
};

enum class MemberProbeResult {
  kRefused,       ///< The machine is reachable, but no process listens there.
  kInconclusive,  ///< Anything else. A process that stands still accepts connections, and a time-out may be the link's.
};

/// What the leader knows of a suspected group.
struct SuspectedGroupState {
  /// When any entry last saw progress; `TimePoint::min()` if none did.
  TimePoint last_progress = TimePoint::min();
  /// Entries have streams there, and most of them see events arrive.
  bool are_streams_moving = false;
  /// Requests are in flight there, or slots are granted.
  bool has_requests = false;
  /// A member's heartbeats are missing.
  bool has_silent_member = false;
  /// When every member had sent a heartbeat, that is, the oldest of their last reports.
  TimePoint all_members_reported_at = TimePoint::min();
};

/// Decides which groups the leader suspects because they are silent, and when it gives them up.
///
/// Load pattern: sound servers fall silent for a second or so and go on, and many streams wait for them meanwhile. A
/// crashed member looks the same for as long. To dissolve the group would cut the streams of the sound one; to go on
/// granting requests would lose those sent to the crashed one. So a silent group is only suspected: it gets no requests
/// while it is silent, and keeps its members and its streams. It is given up when a failure is proven or the silence
/// outlasts `kMaxSoundSilence`.
///
/// A suspicion ends with the first progress. Entries may have moved all requests elsewhere; then no progress can show
/// that the group is sound, and it is tried with new requests once all members sent heartbeats. It is tried only once
/// without progress: a group whose members live but whose engine hangs is given up.
///
/// The members of a suspected group are probed meanwhile: the process of a sound server listens even while it is
/// silent, so a refused connection proves the failure long before the silence does.
///
/// Soft state of one leadership: a new leader counts silence from its own first reports. Single-threaded,
/// deterministic.
class SilentGroups {
 public:
  void clear() { *this = SilentGroups(); }
  /// Suspects a group that is silent since `silent_since`. Returns the event if this is new. Entries that avoid a group
  /// on the leader's word report it as silent too; for a while after a suspicion such reports count for nothing.
  std::optional<SuspicionEvent> suspect(TimePoint now, const std::string& group, SuspicionCause cause,
                                        TimePoint silent_since, const std::vector<std::string>& entries);
  /// Reviews a group. Returns an event if the suspicion ends or the group is given up.
  std::optional<SuspicionEvent> review(TimePoint now, const std::string& group, const SuspectedGroupState& state);
  /// The failure of the group is proven; if it was not suspected, it made progress until `last_progress`. Returns the
  /// event if the group was not given up before.
  std::optional<SuspicionEvent> give_up(TimePoint now, const std::string& group, SuspicionCause cause,
                                        TimePoint last_progress, const std::vector<std::string>& entries);
  /// The suspected groups whose members are to be probed now. Few at a time, because many groups fall silent at once if
  /// it is the leader's own link that failed.
  std::vector<std::string> take_groups_to_probe(TimePoint now);
  /// A member of the group was probed. Returns the event if the group is given up for it.
  std::optional<SuspicionEvent> note_probe(TimePoint now, const std::string& group, MemberProbeResult result);
  /// Forgets all groups but these. Groups that are given up must not be listed once they are being dissolved.
  void retain(const std::set<std::string>& groups);
  /// This process was suspended for `pause` until now, so it could hear of no progress.
  void note_own_pause(TimePoint now, Duration pause);
  /// The groups that need a review: those that are suspected, or were until recently.
  std::vector<std::string> groups_to_review() const;

 private:
  enum class Stage { kSuspected, kCleared, kGivenUp };
  struct Record {
    Stage stage = Stage::kSuspected;
    SuspicionCause cause = SuspicionCause::kStreamsSilent;
    std::vector<std::string> entries;
    TimePoint suspected_at{};
    TimePoint silent_since{};
    TimePoint cleared_at{};
    TimePoint next_probe_at{};
    /// It was granted requests again without progress, and made none since.
    bool is_on_trial = false;
  };

  static SuspicionEvent make_event(TimePoint now, SuspicionStep step, const std::string& group, const Record& record);
  /// Ends the suspicion.
  static SuspicionEvent clear_suspicion(TimePoint now, const std::string& group, Record& record);
  /// Whether a report of silence may still stem from a suspicion that ended.
  static bool is_echo(TimePoint now, const Record& record, SuspicionCause cause);

  std::map<std::string, Record> records_;
  /// When the members of another group may be probed.
  TimePoint next_group_probe_at_{};
};

}  // namespace larchlever::fleet
