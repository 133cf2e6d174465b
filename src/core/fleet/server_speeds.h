#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Durations that one entry measured at a target since its last report, and what the cost model expects of them.
struct SpeedSample {
  std::string entry;
  /// Name of the group, or incarnation of the plain server.
  std::string target;
  int count = 0;
  double observed_ms = 0;
  double expected_ms = 0;
};

/// How much slower than expected each group and plain server currently is, joined from the observations of all entries.
///
/// Load pattern: a member of a group is throttled, or the links between the members are long, and every pass of the
/// group takes several times as long as the cost model says, for seconds or for good. All entries with streams there
/// see it. An entry whose own link loses packets sees long pauses too, but alone, or at most of its targets.
///
/// Each entry has one vote per target: its recent ratio of observed and expected time. The factor of a target is the
/// median of the votes. A target begins to count as slow only by the votes of two entries, unless only one entry has
/// streams there for a while. Without votes a factor ends after two seconds, because a target that gets no work gives
/// no samples. Single-threaded, deterministic.
class ServerSpeeds {
 public:
  void note_sample(TimePoint now, const SpeedSample& sample);
  /// Factor by which the target takes longer than expected; exactly 1 unless it counts as slow.
  double time_factor(TimePoint now, const std::string& target) const;
  /// Whether the target is slow and had neither samples nor a trial request for a while. If it has no work, it should
  /// get one request, to find out whether it is fast again.
  bool is_trial_due(TimePoint now, const std::string& target) const;
  /// A request was sent to the target although it is slow. The first one since the last sample prolongs the factor
  /// until the request can have given samples.
  void note_trial(TimePoint now, const std::string& name);
  /// The targets that count as slow, with their factors.
  std::map<std::string, double> slow_targets(TimePoint now) const;
  void forget_entry(const std::string& entry);
  /// Removes all targets but these.
  void retain_targets(const std::vector<std::string>& targets);

 private:
  struct Vote {
    /// Starts at 1, so that a first sample of a single long pass is not believed entirely.
    double ratio = 1;
    TimePoint at{};
  };
  struct Target {
    TimePoint first_sample_at{};
    TimePoint last_sample_at{};
    TimePoint last_trial_at = TimePoint::min();
    /// From when the factor holds: the last sample, or the first trial since.
    TimePoint holds_from{};
    /// Since when only one entry votes; `TimePoint::max()` while others do.
    TimePoint sole_voter_since = TimePoint::max();
    /// By entry.
    std::map<std::string, Vote> votes;
    bool is_slow = false;
    /// Median of the votes at the last sample.
    double ratio = 1;
  };

  static void cast_vote(TimePoint now, const SpeedSample& sample, Target& target);
  static double median_ratio(const Target& target);
  /// Whether the votes suffice to call the target slow.
  bool is_confirmed(TimePoint now, const std::string& name, const Target& target) const;
  /// Whether the entry also sees most of its other targets as slow, so that its own link is the likely cause.
  bool sees_most_targets_slow(TimePoint now, const std::string& entry, const std::string& except_target) const;
  static double factor_of(TimePoint now, const Target& target);

  std::map<std::string, Target> targets_;
};

}  // namespace larchlever::fleet
