#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Tells from the entries' words whether a group's streams stand still.
///
/// Load pattern: a member dies, and from one pass to the next all streams of its group stop, a few at each of many
/// entries. An entry alone cannot tell that from its own link or from a long pass, and would have to wait for several
/// passes; together they have seen all streams stop at once while every other group went on. So the word of most
/// entries that have streams there counts as soon as the pass that the cost model expects is over. Pure;
/// single-threaded.
class GroupStallDetector {
 public:
  /// How many streams `node` has at `group` now.
  void note_streams(const std::string& node, const std::string& group, int streams);
  /// All groups whose streams at `node` are overdue now.
  void note_quiet(TimePoint now, const std::string& node, const std::vector<std::string>& groups);
  void forget_node(const std::string& node);
  /// Two entries at least say that their streams there are overdue: other groups are better.
  bool is_quiet(TimePoint now, const std::string& group) const;
  /// Most entries with streams there say so, and the group should have brought something by now; `longest_pass` is the
  /// longest that its streams pause by the cost model.
  bool is_stalled(TimePoint now, const std::string& group, Duration longest_pass) const;
  /// Groups of which at least one entry says that they are quiet.
  std::vector<std::string> quiet_groups() const;

 private:
  struct OverdueReport {
    TimePoint first{};
    TimePoint last{};
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
