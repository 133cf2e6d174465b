#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/ids.h"
#include "larchlever_types.h"

namespace larchlever::config {

/// Key prefixes of the records, one per entity type.
constexpr std::string_view kTemplatePrefix = "template/";
constexpr std::string_view kTenantPrefix = "tenant/";
constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kParameterPrefix = "parameter/";
constexpr std::string_view kGroupPrefix = "group/";
constexpr std::string_view kFleetParametersKey = "parameter/fleet";

std::string template_key(const std::string& name);
std::string tenant_key(const std::string& name);
std::string group_key(int64_t id);

/// Versioned configuration records by key, written by operators and read by entries. Each record carries the revision
/// (log index) of its last change. A removed record remains as a tombstone, so that entries can be sent incremental
/// updates.
///
/// Deterministic, no I/O; single-threaded.
class RecordTable {
 public:
  /// Stores a value at `revision`, which must not be lower than any earlier revision.
  void put(const std::string& key, std::string value, Revision revision);
  void remove(const std::string& key, Revision revision);

  /// The record under `key`, or null if it is absent or removed.
  const wire::Record* find(const std::string& key) const;
  /// Revision of the last change to `key`, including removal; zero if the key never existed.
  Revision revision_of(const std::string& key) const;
  /// All records whose key starts with `prefix`, ordered by key, without tombstones.
  std::vector<const wire::Record*> find_by_prefix(std::string_view prefix) const;
  /// Revision of the latest change to any key.
  Revision revision() const { return revision_; }

  /// Records changed after `since`, including tombstones. Empty optional if `since` is older than the oldest retained
  /// tombstone; the reader then needs a full copy from `live_records`.
  std::optional<std::vector<wire::Record>> changes_since(Revision since) const;
  std::vector<wire::Record> live_records() const;

  /// Applies an update from the leader: replaces all records if `replace_all` is true, merges them otherwise. Advances
  /// the table to `revision`.
  void apply_update(const std::vector<wire::Record>& records, bool replace_all, Revision revision);
  /// Removes the oldest tombstones until at most `max_tombstones` remain.
  void trim_tombstones(size_t max_tombstones);

  /// Content of a snapshot: all records including tombstones, and the oldest revision that `changes_since` supports.
  std::vector<wire::Record> all_records() const;
  Revision oldest_served_revision() const { return oldest_served_revision_; }
  void restore(const std::vector<wire::Record>& records, Revision oldest_served_revision, Revision revision);

 private:
  void store_record(wire::Record record);

  std::map<std::string, wire::Record, std::less<>> records_;
  std::set<std::pair<int64_t, std::string>> keys_by_revision_;
  size_t tombstone_count_ = 0;
  Revision revision_;
  Revision oldest_served_revision_;
};

/// Decodes the value under `key`; empty if the key is absent or the value cannot be decoded as `Value`.
template <typename Value>
std::optional<Value> read_value(const RecordTable& table, const std::string& key);

/// Decodes all values whose key starts with `prefix`; skips values that cannot be decoded.
template <typename Value>
std::vector<Value> read_all(const RecordTable& table, std::string_view prefix);

}  // namespace larchlever::config
