#include "core/config/record_table.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::config {

std::string template_key(const std::string& name) { return std::string(kTemplatePrefix) + name; }
std::string tenant_key(const std::string& name) { return std::string(kTenantPrefix) + name; }
std::string group_key(int64_t id) { return std::string(kGroupPrefix) + std::to_string(id); }

void RecordTable::store(wire::Record record) {
  const auto existing = records_.find(record.key);
  if (existing != records_.end()) {
    by_revision_.erase({existing->second.revision, record.key});
    tombstones_ -= existing->second.deleted ? 1 : 0;
  }
  tombstones_ += record.deleted ? 1 : 0;
  by_revision_.insert({record.revision, record.key});
  revision_ = std::max(revision_, Revision(record.revision));
  records_[record.key] = std::move(record);
}

void RecordTable::put(const std::string& key, std::string value, Revision revision) {
  wire::Record record;
  record.key = key;
  record.revision = revision.value();
  record.deleted = false;
  record.value = std::move(value);
  store(std::move(record));
}

void RecordTable::remove(const std::string& key, Revision revision) {
  wire::Record record;
  record.key = key;
  record.revision = revision.value();
  record.deleted = true;
  store(std::move(record));
}

const wire::Record* RecordTable::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() || found->second.deleted ? nullptr : &found->second;
}

Revision RecordTable::revision_of(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? Revision() : Revision(found->second.revision);
}

std::vector<const wire::Record*> RecordTable::with_prefix(std::string_view prefix) const {
  std::vector<const wire::Record*> result;
  for (auto item = records_.lower_bound(prefix); item != records_.end() && item->first.starts_with(prefix); ++item) {
    if (!item->second.deleted) {
      result.push_back(&item->second);
    }
  }
  return result;
}

std::optional<std::vector<wire::Record>> RecordTable::changes_since(Revision since) const {
  if (since < oldest_delta_) {
    return std::nullopt;
  }
  std::vector<wire::Record> result;
  for (auto item = by_revision_.lower_bound({since.value() + 1, ""}); item != by_revision_.end(); ++item) {
    result.push_back(records_.find(item->second)->second);
  }
  return result;
}

std::vector<wire::Record> RecordTable::all_live() const {
  std::vector<wire::Record> result;
  for (const auto& [key, record] : records_) {
    if (!record.deleted) {
      result.push_back(record);
    }
  }
  return result;
}

void RecordTable::install(const std::vector<wire::Record>& records, bool full, Revision revision) {
  if (full) {
    records_.clear();
    by_revision_.clear();
    tombstones_ = 0;
    oldest_delta_ = revision;
  }
  for (const auto& record : records) {
    store(record);
  }
  revision_ = std::max(revision_, revision);
}

void RecordTable::trim_tombstones(size_t keep) {
  for (auto item = by_revision_.begin(); tombstones_ > keep && item != by_revision_.end();) {
    const auto record = records_.find(item->second);
    if (!record->second.deleted) {
      ++item;
      continue;
    }
    oldest_delta_ = std::max(oldest_delta_, Revision(item->first));
    records_.erase(record);
    item = by_revision_.erase(item);
    --tombstones_;
  }
}

std::vector<wire::Record> RecordTable::dump() const {
  std::vector<wire::Record> result;
  result.reserve(records_.size());
  for (const auto& [key, record] : records_) {
    result.push_back(record);
  }
  return result;
}

void RecordTable::restore(const std::vector<wire::Record>& records, Revision oldest_delta, Revision revision) {
  *this = RecordTable();
  for (const auto& record : records) {
    store(record);
  }
  oldest_delta_ = oldest_delta;
  revision_ = std::max(revision_, revision);
}

template <typename Value>
std::optional<Value> read_value(const RecordTable& table, const std::string& key) {
  const auto* record = table.find(key);
  return record == nullptr ? std::nullopt : wire::decode<Value>(record->value);
}

template <typename Value>
std::vector<Value> read_all(const RecordTable& table, std::string_view prefix) {
  std::vector<Value> result;
  for (const auto* record : table.with_prefix(prefix)) {
    if (auto value = wire::decode<Value>(record->value)) {
      result.push_back(std::move(*value));
    }
  }
  return result;
}

template std::optional<wire::Template> read_value<wire::Template>(const RecordTable&, const std::string&);
template std::optional<wire::Tenant> read_value<wire::Tenant>(const RecordTable&, const std::string&);
template std::optional<wire::Service> read_value<wire::Service>(const RecordTable&, const std::string&);
template std::optional<wire::FleetParameters> read_value<wire::FleetParameters>(const RecordTable&, const std::string&);
template std::optional<wire::Group> read_value<wire::Group>(const RecordTable&, const std::string&);
template std::vector<wire::Template> read_all<wire::Template>(const RecordTable&, std::string_view);
template std::vector<wire::Tenant> read_all<wire::Tenant>(const RecordTable&, std::string_view);
template std::vector<wire::Service> read_all<wire::Service>(const RecordTable&, std::string_view);
template std::vector<wire::Group> read_all<wire::Group>(const RecordTable&, std::string_view);

}  // namespace larchlever::config
