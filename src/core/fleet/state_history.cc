#include "core/fleet/state_history.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "core/fleet/instance_directory.h"

namespace larchlever::fleet {

namespace {

const std::string& key_of(const wire::Instance& instance) { return instance.id; }
const std::string& key_of(const wire::EngineGroup& group) { return group.name; }

using fleet::says_the_same;

bool says_the_same(const wire::EngineGroup& left, const wire::EngineGroup& right) { return left == right; }

/// True when any row differs from what was recorded before.
template <typename Row, typename Versioned>
bool record_rows(int64_t version, const std::vector<Row>& rows, std::map<std::string, Versioned>& known,
                 std::map<std::string, int64_t>& removed) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const auto& row : rows) {
    present.insert(key_of(row));
    const auto found = known.find(key_of(row));
    if (found != known.end() && says_the_same(found->second.row, row)) {
      continue;
    }
    removed.erase(key_of(row));
    known[key_of(row)] = {row, version};
    changed = true;
  }
  for (auto item = known.begin(); item != known.end();) {
    if (present.contains(item->first)) {
      ++item;
      continue;
    }
    removed[item->first] = version;
    item = known.erase(item);
    changed = true;
  }
  return changed;
}

template <typename Row, typename Versioned>
std::vector<Row> rows_since(int64_t version, const std::map<std::string, Versioned>& known) {
  std::vector<Row> result;
  for (const auto& [key, versioned] : known) {
    if (versioned.changed_at > version) {
      result.push_back(versioned.row);
    }
  }
  return result;
}

std::vector<std::string> keys_since(int64_t version, const std::map<std::string, int64_t>& removed) {
  std::vector<std::string> result;
  for (const auto& [key, removed_at] : removed) {
    if (removed_at > version) {
      result.push_back(key);
    }
  }
  return result;
}

template <typename Row>
void merge_rows(std::vector<Row>& rows, const std::vector<Row>& changed, const std::vector<std::string>& removed) {
  const std::set<std::string> gone(removed.begin(), removed.end());
  std::map<std::string, const Row*> news;
  for (const auto& row : changed) {
    news[key_of(row)] = &row;
  }
  std::erase_if(rows, [&gone](const auto& row) { return gone.contains(key_of(row)); });
  for (auto& row : rows) {
    if (const auto found = news.find(key_of(row)); found != news.end()) {
      row = *found->second;
      news.erase(found);
    }
  }
  for (const auto& [key, row] : news) {
    rows.push_back(*row);
  }
}

}  // namespace

void StateHistory::start(int64_t term) {
  term_ = term;
  version_ = 0;
  last_change_ = 0;
  instances_.clear();
  groups_.clear();
  removed_instances_.clear();
  removed_groups_.clear();
}

void StateHistory::record(int64_t version, const std::vector<wire::Instance>& instances,
                          const std::vector<wire::EngineGroup>& groups) {
  const bool is_first = version_ == 0;
  version_ = version;
  const bool instances_changed = record_rows(version, instances, instances_, removed_instances_);
  const bool groups_changed = record_rows(version, groups, groups_, removed_groups_);
  if (is_first || instances_changed || groups_changed) {
    last_change_ = version;
  }
}

wire::FleetState StateHistory::full() const {
  wire::FleetState state;
  state.term = term_;
  state.version = version_;
  state.instances = rows_since<wire::Instance>(0, instances_);
  state.groups = rows_since<wire::EngineGroup>(0, groups_);
  return state;
}

wire::FleetStateChange StateHistory::since(int64_t version) const {
  wire::FleetStateChange change;
  change.term = term_;
  change.from_version = version;
  change.version = version_;
  change.instances = rows_since<wire::Instance>(version, instances_);
  change.groups = rows_since<wire::EngineGroup>(version, groups_);
  change.removed_instances = keys_since(version, removed_instances_);
  change.removed_groups = keys_since(version, removed_groups_);
  return change;
}

bool apply_change(wire::FleetState& state, const wire::FleetStateChange& change) {
  const bool follows = change.term == state.term && change.from_version <= state.version;
  if (!follows || change.version <= state.version) {
    return false;
  }
  merge_rows(state.instances, change.instances, change.removed_instances);
  merge_rows(state.groups, change.groups, change.removed_groups);
  state.version = change.version;
  return true;
}

}  // namespace larchlever::fleet
