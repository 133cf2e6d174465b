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

/// Versioned records by key: what operators change and what entries serve by. Each record carries the revision (log
/// index) of its last change; a removed record stays as a tombstone, so that readers can be sent differences.
///
/// Deterministic, no I/O; single-threaded.
class RecordTable {
 public:
  /// Sets a value at `revision`, which must not be lower than any revision before.
  void put(const std::string& key, std::string value, Revision revision);
  void remove(const std::string& key, Revision revision);

  /// The live record under `key`, or null.
  const wire::Record* find(const std::string& key) const;
  /// Revision of the last change to `key`, removals included; zero when it never existed.
  Revision revision_of(const std::string& key) const;
  /// Live records whose key starts with `prefix`, by key.
  std::vector<const wire::Record*> find_by_prefix(std::string_view prefix) const;
  /// Revision of the newest change to any key.
  Revision revision() const { return revision_; }

  /// Records changed after `since`, tombstones included; nothing when `since` is older than the kept tombstones, in
  /// which case the reader needs `live_records`.
  std::optional<std::vector<wire::Record>> changes_since(Revision since) const;
  std::vector<wire::Record> live_records() const;

  /// Replaces the content by a full copy (`full`) or merges changes; sets the revision.
  void apply_update(const std::vector<wire::Record>& records, bool replace_all, Revision revision);
  /// Forgets the oldest tombstones beyond `keep`.
  void trim_tombstones(size_t max_tombstones);

  /// For snapshots: every record, tombstones included, and the oldest revision that `changes_since` can serve.
  std::vector<wire::Record> all_records() const;
  Revision oldest_served_revision() const { return oldest_served_revision_; }
  void restore(const std::vector<wire::Record>& records, Revision oldest_served_revision, Revision revision);

 private:
  void store_record(wire::Record record);

  std::map<std::string, wire::Record, std::less<>> records_;
  std::set<std::pair<int64_t, std::string>> by_revision_;
  size_t tombstone_count_ = 0;
  Revision revision_;
  Revision oldest_served_revision_;
};

/// Decodes the value of the live record under `key`; nothing when absent or of another type.
template <typename Value>
std::optional<Value> read_value(const RecordTable& table, const std::string& key);

/// All live values under a prefix.
template <typename Value>
std::vector<Value> read_all(const RecordTable& table, std::string_view prefix);

}  // namespace larchlever::config
