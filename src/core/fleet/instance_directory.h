#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Whether two reports of an instance say the same; the call number alone is no news.
bool says_the_same(const wire::Instance& left, const wire::Instance& right);

struct InstanceRow {
  wire::Instance instance;
  TimePoint last_heard{};
  /// False while nothing is known but what the instance said before this leadership.
  bool heard_here = false;
  /// Since when the instance is heard at an address that another one holds; nothing once that is settled. Until then it
  /// may be a late heartbeat of an instance that ended long ago.
  std::optional<TimePoint> contends_since = std::nullopt;

  /// Heard by this leader, and alone at its address: what the row says is the instance's own word.
  bool is_settled() const { return heard_here && !contends_since; }
};

/// The leader's table of registered instances.
///
/// Guarantees: an instance's state never goes back (ready, draining, gone), whatever arrives late; reports of one
/// instance take effect in the order of their call numbers; an address belongs to the instance that goes on reporting
/// from it, so a heartbeat that arrives after its sender was replaced displaces nobody. Single-threaded, deterministic.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(Duration silence) : silence_(silence) {}

  /// A leadership begins with the copy of the previous leader's state. Nobody counts as silent at first.
  void start(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Adds rows of a copy that arrived later; rows that are known already only move forward.
  void merge(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Notes a heartbeat. True when it changed something that subscribers must know.
  bool heard(TimePoint now, const wire::Instance& report);
  /// Notes a heartbeat that may be older than this leadership: news, but not the instance's word on what it does now.
  /// True when it changed something that subscribers must know.
  bool heard_before(TimePoint now, const wire::Instance& report);
  /// The instance said that it leaves for good. True when that is news.
  bool deregister(TimePoint now, const std::string& id);
  /// Marks instances silent or heard again, and forgets those long gone. True when something changed. When more than
  /// half of all ready instances are silent at once, it is we who are cut off: nothing is marked.
  bool tick(TimePoint now);

  const std::map<std::string, InstanceRow>& rows() const { return rows_; }
  const wire::Instance* find(const std::string& id) const;
  std::vector<wire::Instance> snapshot() const;

 private:
  /// Calls `action` with every other row that stands at the address and is not gone.
  template <typename Action>
  void for_others_at(const wire::Instance& instance, const Action& action);
  bool is_held_by_another(const wire::Instance& instance);
  /// Notes that an instance was heard again: who contends for its address must begin anew, and it may itself win.
  void settle_address(TimePoint now, InstanceRow& row);

  InstanceRow& add_row(InstanceRow row);
  /// Takes what a newer report says; state only moves forward. True when it changed something.
  static bool take_report(InstanceRow& row, const wire::Instance& report);

  Duration silence_;
  std::map<std::string, InstanceRow> rows_;
  /// The rows that name each address, gone ones included.
  std::map<std::string, std::vector<InstanceRow*>> by_address_;
};

}  // namespace larchlever::fleet
