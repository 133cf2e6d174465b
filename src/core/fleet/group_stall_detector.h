#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Streams of a group that stopped at most entries.
struct StalledStreams {
  /// When the streams stopped at the last of `entries`.
  TimePoint silent_since{};
  /// The entries that report it.
  std::vector<std::string> entries;
};

/// Detects from reports of the entries that a group has stalled.
///
/// Load pattern: a member crashes, and all streams of its group stop from one engine pass (the step that produces the
/// next tokens of all streams) to the next, a few streams at each of many entries. A single entry cannot distinguish
/// this from a failure of its own link or from a long pass and would have to wait for several passes. Together, the
/// entries see all streams of one group stop at once while other groups make progress. A group therefore counts as
/// stalled when most entries with streams there report it as quiet and the duration of a pass by the cost model is
/// over.
///
/// An entry reports a group as quiet while its streams there are overdue. Single-threaded.
class GroupStallDetector {
 public:
  /// Sets the number of streams that entry `node` has at `group`.
  void note_streams(const std::string& node, const std::string& group, int streams);
  /// Sets the groups whose streams at entry `node` are overdue.
  void note_quiet(TimePoint now, const std::string& node, const std::vector<std::string>& groups);
  void forget_node(const std::string& node);
  /// At least two entries report the group as quiet: other groups should be preferred.
  bool is_quiet(TimePoint now, const std::string& group) const;
  /// Most entries with streams there report the group as quiet, for longer than a pass should take. `longest_pass` is
  /// the longest pause of its streams by the cost model.
  bool is_stalled(TimePoint now, const std::string& group, Duration longest_pass) const {
    return find_stall(now, group, longest_pass).has_value();
  }
  /// The same with the evidence; nullopt if the group is not stalled.
  std::optional<StalledStreams> find_stall(TimePoint now, const std::string& group, Duration longest_pass) const;
  /// Entries have streams of the group, and too few report them as quiet for a stall, whatever the duration.
  bool are_streams_moving(const std::string& group) const;
  /// The group made progress: reports of its silence count from now on.
  void restart_silence(TimePoint now, const std::string& group);
  /// Groups that at least one entry reports as quiet.
  std::vector<std::string> quiet_groups() const;

 private:
  struct OverdueReport {
    TimePoint first_at{};
    TimePoint last_at{};
  };
  struct Group {
    std::map<std::string, int> streams;
    std::map<std::string, OverdueReport> quiet;

    bool is_empty() const { return streams.empty() && quiet.empty(); }
  };

  void forget_empty_groups();

  std::map<std::string, Group> groups_;
};

}  // namespace larchlever::fleet
