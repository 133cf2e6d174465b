#include "core/config/record_table.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::config {

std::string template_key(const std::string& name) { return std::string(kTemplatePrefix) + name; }
std::string tenant_key(const std::string& name) { return std::string(kTenantPrefix) + name; }
std::string group_key(int64_t id) { return std::string(kGroupPrefix) + std::to_string(id); }

void RecordTable::store_record(wire::Record record) {
  const auto existing = records_.find(record.key);
  if (existing != records_.end()) {
    keys_by_revision_.erase({existing->second.revision, record.key});
    tombstone_count_ -= existing->second.deleted ? 1 : 0;
  }
  tombstone_count_ += record.deleted ? 1 : 0;
  keys_by_revision_.insert({record.revision, record.key});
  revision_ = std::max(revision_, Revision(record.revision));
  records_[record.key] = std::move(record);
}

void RecordTable::put(const std::string& key, std::string value, Revision revision) {
  wire::Record record;
  record.key = key;
  record.revision = revision.value();
  record.deleted = false;
  record.value = std::move(value);
  store_record(std::move(record));
}

void RecordTable::remove(const std::string& key, Revision revision) {
  wire::Record record;
  record.key = key;
  record.revision = revision.value();
  record.deleted = true;
  store_record(std::move(record));
}

const wire::Record* RecordTable::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() || found->second.deleted ? nullptr : &found->second;
}

Revision RecordTable::revision_of(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? Revision() : Revision(found->second.revision);
}

std::vector<const wire::Record*> RecordTable::find_by_prefix(std::string_view prefix) const {
  std::vector<const wire::Record*> result;
  for (auto item = records_.lower_bound(prefix); item != records_.end() && item->first.starts_with(prefix); ++item) {
    if (!item->second.deleted) {
      result.push_back(&item->second);
    }
  }
  return result;
}

std::optional<std::vector<wire::Record>> RecordTable::changes_since(Revision since) const {
  if (since < oldest_served_revision_) {
    return std::nullopt;
  }
  std::vector<wire::Record> result;
  for (auto item = keys_by_revision_.lower_bound({since.value() + 1, ""}); item != keys_by_revision_.end(); ++item) {
    result.push_back(records_.find(item->second)->second);
  }
  return result;
}

std::vector<wire::Record> RecordTable::live_records() const {
  std::vector<wire::Record> result;
  for (const auto& [key, record] : records_) {
    if (!record.deleted) {
      result.push_back(record);
    }
  }
  return result;
}

void RecordTable::apply_update(const std::vector<wire::Record>& records, bool replace_all, Revision revision) {
  if (replace_all) {
    records_.clear();
    keys_by_revision_.clear();
    tombstone_count_ = 0;
    oldest_served_revision_ = revision;
  }
  for (const auto& record : records) {
    store_record(record);
  }
  revision_ = std::max(revision_, revision);
}

void RecordTable::trim_tombstones(size_t max_tombstones) {
  for (auto item = keys_by_revision_.begin(); tombstone_count_ > max_tombstones && item != keys_by_revision_.end();) {
    const auto record = records_.find(item->second);
    if (!record->second.deleted) {
      ++item;
      continue;
    }
    oldest_served_revision_ = std::max(oldest_served_revision_, Revision(item->first));
    records_.erase(record);
    item = keys_by_revision_.erase(item);
    --tombstone_count_;
  }
}

std::vector<wire::Record> RecordTable::all_records() const {
  std::vector<wire::Record> result;
  result.reserve(records_.size());
  for (const auto& [key, record] : records_) {
    result.push_back(record);
  }
  return result;
}

void RecordTable::restore(const std::vector<wire::Record>& records, Revision oldest_served_revision,
                          Revision revision) {
  *this = RecordTable();
  for (const auto& record : records) {
    store_record(record);
  }
  oldest_served_revision_ = oldest_served_revision;
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
  for (const auto* record : table.find_by_prefix(prefix)) {
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
