#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/config/change_validation.h"
#include "core/config/record_table.h"
#include "core/ledger/claim_table.h"
#include "larchlever_types.h"

namespace larchlever::control {

/// Result of applying one log entry, for the node that proposed it.
struct ApplyResult {
  std::optional<wire::ChangeAnswer> change_answer;
  std::vector<ledger::ClaimDecision> claim_decisions;
  std::optional<int64_t> created_group;
};

/// The replicated state of a region: configuration records, machines, groups, claims, answers to operators and the
/// audit trail. Replicas that apply the same entries in the same order reach the same state. Rules that must hold for
/// every proposer (exclusive machines, group state transitions, conflict checks) are enforced when an entry is applied.
///
/// Deterministic, without I/O or a clock: commands carry the time. Single-threaded.
class ControlState {
 public:
  static constexpr size_t kMaxAuditRecords = 20'000;
  static constexpr size_t kMaxStoredAnswers = 50'000;
  static constexpr size_t kMaxTombstones = 2'000;

  /// Applies the command at log index `index`; indexes must increase. Never throws. A command that is not allowed in
  /// the current state has no effect.
  ApplyResult apply(int64_t index, const wire::Command& command);

  /// Adds the serialized entry that was just applied to the history digest.
  void extend_history_digest(int64_t index, std::string_view payload);
  /// Digest of all applied entries: equal on replicas with the same history, different otherwise (up to hash
  /// collisions).
  uint64_t history_digest() const { return history_digest_; }

  int64_t applied_index() const { return applied_index_; }
  int64_t clock_ms() const { return clock_ms_; }
  const config::RecordTable& records() const { return records_; }
  const std::map<std::string, wire::Machine>& machines() const { return machines_; }
  const std::map<int64_t, wire::Group>& groups() const { return groups_; }
  const ledger::ClaimTable& claims() const { return claims_; }
  const std::deque<wire::AuditRecord>& audit() const { return audit_; }
  const wire::ChangeAnswer* find_answer(const std::string& command_id) const;
  wire::FleetParameters fleet_parameters() const;
  config::FleetTopology fleet_topology() const;
  /// The verdict that a change would get now. For dry runs, and for validation when the change is applied.
  wire::ChangeAnswer check_change(const wire::ConfigurationChange& change) const;

  std::string snapshot() const;
  /// Returns false, and leaves the state unchanged, if the snapshot cannot be decoded.
  bool restore(const std::string& snapshot);

 private:
  wire::ChangeAnswer apply_change(Revision revision, const wire::ConfigurationChange& change);
  wire::ChangeAnswer apply_drain(Revision revision, const wire::MachineDrain& drain);
  void apply_observation(Revision revision, const wire::Machine& observed);
  std::optional<int64_t> apply_creation(Revision revision, const wire::GroupCreation& creation);
  void apply_transition(Revision revision, const wire::GroupTransition& transition);
  void apply_release(Revision revision, const wire::MachineRelease& release);
  void start_release(Revision revision, wire::Group& group);
  void finish_release(Revision revision, int64_t group_id);
  void store_group(Revision revision, const wire::Group& group);
  void store_answer(const std::string& operator_name, const std::string& command_id, const wire::ChangeAnswer& answer,
                    std::vector<wire::KeyRevision> changed_from);

  int64_t applied_index_ = 0;
  int64_t clock_ms_ = 0;
  int64_t next_group_id_ = 1;
  uint64_t history_digest_ = 0;
  config::RecordTable records_;
  std::map<std::string, wire::Machine> machines_;
  std::map<int64_t, wire::Group> groups_;
  ledger::ClaimTable claims_;
  std::map<std::string, wire::ChangeAnswer> answers_;
  std::deque<std::string> answer_ids_by_age_;
  std::deque<wire::AuditRecord> audit_;
};

}  // namespace larchlever::control
