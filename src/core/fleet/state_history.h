#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// The fleet's state as published during one term, with the version at which each row last changed. A subscriber that
/// holds an earlier version can therefore be sent only the rows that differ. Single-threaded, deterministic.
class StateHistory {
 public:
  /// Clears the history and begins a new term.
  void start_term(int64_t term);
  /// Records the rows of `state` under its version, which must exceed all recorded before. Its term is ignored.
  void record(const wire::FleetState& state);
  /// The last recorded version; 0 if there is none.
  int64_t version() const { return version_; }
  /// The last version that changed, added or removed a row; 0 if there is none. The first version always counts as a
  /// change. All later recorded versions have the same rows.
  int64_t last_changed_version() const { return last_changed_version_; }
  wire::FleetState full_state() const;
  /// The rows that changed or were removed after `version` of the same term.
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
  /// Tombstones: the version at which each row was removed. Their number is bounded by the rows added during one term.
  std::map<std::string, int64_t> removed_instances_;
  std::map<std::string, int64_t> removed_groups_;
  std::map<int64_t, int64_t> removed_blocked_requests_;
  std::map<std::string, int64_t> removed_released_groups_;
};

/// Applies a delta to a copy. Returns false without effect if `change` is for another term, starts after the version of
/// `state`, or is not newer than it.
bool apply_change(wire::FleetState& state, const wire::FleetStateChange& change);

}  // namespace larchlever::fleet
