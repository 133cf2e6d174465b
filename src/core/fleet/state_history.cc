#include "core/fleet/state_history.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "core/fleet/instance_directory.h"

namespace larchlever::fleet {

namespace {

const std::string& key_of(const wire::Instance& instance) { return instance.id; }
const std::string& key_of(const wire::EngineGroup& group) { return group.name; }
int64_t key_of(const wire::BlockedRequest& request) { return request.fingerprint; }
/// Rows of released groups consist of the group's name only.
const std::string& key_of(const std::string& name) { return name; }

/// A key in a form that can be stored for comparisons without copying strings.
std::string_view comparable_key(const std::string& key) { return key; }
int64_t comparable_key(int64_t key) { return key; }

using fleet::has_same_content;

bool has_same_content(const wire::EngineGroup& left, const wire::EngineGroup& right) { return left == right; }
bool has_same_content(const wire::BlockedRequest& left, const wire::BlockedRequest& right) { return left == right; }
bool has_same_content(const std::string& left, const std::string& right) { return left == right; }

/// Records the rows of `version` and tombstones for missing ones. Returns true if any row was added, changed or
/// removed.
template <typename Row, typename Key, typename Versioned>
bool record_rows(int64_t version, const std::vector<Row>& rows, std::map<Key, Versioned>& recorded_rows,
                 std::map<Key, int64_t>& removed) {
  bool changed = false;
  std::set<decltype(comparable_key(std::declval<const Key&>()))> present_keys;
  for (const auto& row : rows) {
    present_keys.insert(comparable_key(key_of(row)));
    const auto found = recorded_rows.find(key_of(row));
    if (found != recorded_rows.end() && has_same_content(found->second.row, row)) {
      continue;
    }
    removed.erase(key_of(row));
    recorded_rows[key_of(row)] = {row, version};
    changed = true;
  }
  for (auto item = recorded_rows.begin(); item != recorded_rows.end();) {
    if (present_keys.contains(comparable_key(item->first))) {
      ++item;
      continue;
    }
    removed[item->first] = version;
    item = recorded_rows.erase(item);
    changed = true;
  }
  return changed;
}

template <typename Row, typename Key, typename Versioned>
std::vector<Row> rows_changed_since(int64_t version, const std::map<Key, Versioned>& recorded_rows) {
  std::vector<Row> result;
  for (const auto& [key, versioned] : recorded_rows) {
    if (versioned.changed_at > version) {
      result.push_back(versioned.row);
    }
  }
  return result;
}

template <typename Key>
std::vector<Key> keys_removed_since(int64_t version, const std::map<Key, int64_t>& removed) {
  std::vector<Key> result;
  for (const auto& [key, removed_at] : removed) {
    if (removed_at > version) {
      result.push_back(key);
    }
  }
  return result;
}

template <typename Row, typename Key>
void merge_rows(std::vector<Row>& rows, const std::vector<Row>& changed, const std::vector<Key>& removed) {
  const std::set<Key> removed_keys(removed.begin(), removed.end());
  std::map<Key, const Row*> changed_rows;
  for (const auto& row : changed) {
    changed_rows[key_of(row)] = &row;
  }
  std::erase_if(rows, [&removed_keys](const auto& row) { return removed_keys.contains(key_of(row)); });
  for (auto& row : rows) {
    if (const auto found = changed_rows.find(key_of(row)); found != changed_rows.end()) {
      row = *found->second;
      changed_rows.erase(found);
    }
  }
  for (const auto& [key, row] : changed_rows) {
    rows.push_back(*row);
  }
}

}  // namespace

void StateHistory::start_term(int64_t term) {
  term_ = term;
  version_ = 0;
  last_changed_version_ = 0;
  instances_.clear();
  groups_.clear();
  removed_instances_.clear();
  removed_groups_.clear();
  blocked_requests_.clear();
  removed_blocked_requests_.clear();
  released_groups_.clear();
  removed_released_groups_.clear();
}

void StateHistory::record(const wire::FleetState& state) {
  const bool is_first_version = version_ == 0;
  version_ = state.version;
  const bool instances_changed = record_rows(version_, state.instances, instances_, removed_instances_);
  const bool groups_changed = record_rows(version_, state.groups, groups_, removed_groups_);
  const bool blocked_changed =
      record_rows(version_, state.blocked_requests, blocked_requests_, removed_blocked_requests_);
  const bool released_changed =
      record_rows(version_, state.released_groups, released_groups_, removed_released_groups_);
  if (is_first_version || instances_changed || groups_changed || blocked_changed || released_changed) {
    last_changed_version_ = version_;
  }
}

wire::FleetState StateHistory::full_state() const {
  wire::FleetState state;
  state.term = term_;
  state.version = version_;
  state.instances = rows_changed_since<wire::Instance>(0, instances_);
  state.groups = rows_changed_since<wire::EngineGroup>(0, groups_);
  state.blocked_requests = rows_changed_since<wire::BlockedRequest>(0, blocked_requests_);
  state.released_groups = rows_changed_since<std::string>(0, released_groups_);
  return state;
}

wire::FleetStateChange StateHistory::changes_since(int64_t version) const {
  wire::FleetStateChange change;
  change.term = term_;
  change.from_version = version;
  change.version = version_;
  change.instances = rows_changed_since<wire::Instance>(version, instances_);
  change.groups = rows_changed_since<wire::EngineGroup>(version, groups_);
  change.removed_instances = keys_removed_since(version, removed_instances_);
  change.removed_groups = keys_removed_since(version, removed_groups_);
  change.blocked_requests = rows_changed_since<wire::BlockedRequest>(version, blocked_requests_);
  change.removed_blocked_requests = keys_removed_since(version, removed_blocked_requests_);
  change.released_groups = rows_changed_since<std::string>(version, released_groups_);
  change.removed_released_groups = keys_removed_since(version, removed_released_groups_);
  return change;
}

bool apply_change(wire::FleetState& state, const wire::FleetStateChange& change) {
  const bool is_applicable = change.term == state.term && change.from_version <= state.version;
  if (!is_applicable || change.version <= state.version) {
    return false;
  }
  merge_rows(state.instances, change.instances, change.removed_instances);
  merge_rows(state.groups, change.groups, change.removed_groups);
  merge_rows(state.blocked_requests, change.blocked_requests, change.removed_blocked_requests);
  merge_rows(state.released_groups, change.released_groups, change.removed_released_groups);
  state.version = change.version;
  return true;
}

}  // namespace larchlever::fleet
