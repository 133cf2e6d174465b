#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// The fleet's state as one leadership published it, with the version at which each row last changed, so that a
/// subscriber that holds an earlier version gets only the rows that differ.
/// Single-threaded, deterministic.
class StateHistory {
 public:
  /// A leadership begins with nothing published.
  void start_term(int64_t term);
  /// Publishes the rows of `state` as of its version, which must exceed all before; its term does not matter.
  void record(const wire::FleetState& state);
  /// The last version recorded; 0 for none.
  int64_t version() const { return version_; }
  /// The last version that changed, added or removed a row, which the first one always does; 0 for none. Copies of it
  /// equal those of all later versions recorded.
  int64_t last_changed_version() const { return last_changed_version_; }
  wire::FleetState full_state() const;
  /// What changed since `version` of the same term.
  wire::FleetStateChange changes_since(int64_t version) const;

 private:
  template <typename Row>
  struct Versioned {
    Row row;
    int64_t changed_at = 0;
  };

  int64_t term_ = 0;
  int64_t version_ = 0;
  int64_t last_changed_version_ = 0;
  std::map<std::string, Versioned<wire::Instance>> instances_;
  std::map<std::string, Versioned<wire::EngineGroup>> groups_;
  std::map<int64_t, Versioned<wire::BlockedRequest>> blocked_requests_;
  std::map<std::string, Versioned<std::string>> released_groups_;
  /// At which version rows were removed. Bounded by what one leadership sees come and go.
  std::map<std::string, int64_t> removed_instances_;
  std::map<std::string, int64_t> removed_groups_;
  std::map<int64_t, int64_t> removed_blocked_requests_;
  std::map<std::string, int64_t> removed_released_groups_;
};

/// Brings a copy up to date. False, and no effect, when `change` does not follow on what `state` holds.
bool apply_change(wire::FleetState& state, const wire::FleetStateChange& change);

}  // namespace larchlever::fleet
