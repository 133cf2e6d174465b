#include "core/config/change_validation.h"

#include <algorithm>
#include <optional>

#include "wire/codec.h"

namespace larchlever::config {

namespace {

constexpr int kMinMachinesPerGroup = 1;
constexpr int kMaxMachinesPerGroup = 32;
constexpr int kMaxPriority = 9;
constexpr size_t kMaxNameBytes = 128;

/// The decoded records as they would be after a change, by type.
struct RecordsAfterChange {
  std::map<std::string, wire::Template> templates;
  std::map<std::string, wire::Tenant> tenants;
  std::map<std::string, wire::Service> services;
  std::vector<std::string> errors;
};

bool is_valid_name(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
         });
}

template <typename Value>
void load_records(const RecordTable& table, std::string_view prefix, std::map<std::string, Value>& values) {
  for (auto& value : read_all<Value>(table, prefix)) {
    values[value.name] = value;
  }
}

template <typename Value>
void apply_write(const wire::KeyWrite& write, std::string_view prefix, std::map<std::string, Value>& values,
                 std::vector<std::string>& errors) {
  const std::string name = write.key.substr(prefix.size());
  if (!is_valid_name(name)) {
    errors.push_back(write.key + ": invalid name; use letters, digits, '-', '_' and '.'");
    return;
  }
  if (write.remove) {
    if (values.erase(name) == 0) {
      errors.push_back(write.key + ": does not exist; check the name with 'larchlever get'");
    }
    return;
  }
  auto value = wire::decode<Value>(write.value);
  if (!value || value->name != name) {
    errors.push_back(write.key + ": value cannot be decoded; use a client of this version");
    return;
  }
  values[name] = std::move(*value);
}

RecordsAfterChange apply_writes(const RecordTable& table, const wire::ConfigurationChange& change) {
  RecordsAfterChange records;
  load_records(table, kTemplatePrefix, records.templates);
  load_records(table, kTenantPrefix, records.tenants);
  load_records(table, kServicePrefix, records.services);
  for (const auto& write : change.writes) {
    if (write.key.starts_with(kTemplatePrefix)) {
      apply_write(write, kTemplatePrefix, records.templates, records.errors);
    } else if (write.key.starts_with(kTenantPrefix)) {
      apply_write(write, kTenantPrefix, records.tenants, records.errors);
    } else if (write.key.starts_with(kServicePrefix)) {
      apply_write(write, kServicePrefix, records.services, records.errors);
    } else if (write.key == kFleetParametersKey) {
      const auto parameters = wire::decode<wire::FleetParameters>(write.value);
      if (!write.remove && (!parameters || parameters->downtime_weight < 0 || parameters->downtime_weight > 100)) {
        records.errors.push_back(write.key + ": downtime_weight must lie between 0 and 100");
      }
    } else {
      records.errors.push_back(write.key + ": operators cannot change this key; use template/, tenant/, service/ " +
                               "or " + std::string(kFleetParametersKey));
    }
  }
  return records;
}

void check_template(const wire::Template& group_template, const FleetTopology& fleet,
                    std::vector<std::string>& errors) {
  const std::string key = template_key(group_template.name);
  if (group_template.model.empty() || group_template.version.empty()) {
    errors.push_back(key + ": model and version are required; set the model and version to serve");
  }
  if (group_template.machines_per_group < kMinMachinesPerGroup ||
      group_template.machines_per_group > kMaxMachinesPerGroup) {
    errors.push_back(key + ": machines_per_group must lie between 1 and 32");
  } else if (fleet.largest_domain_machines > 0 &&
             static_cast<size_t>(group_template.machines_per_group) > fleet.largest_domain_machines) {
    errors.push_back(key + ": machines_per_group is " + std::to_string(group_template.machines_per_group) +
                     " but the largest fabric domain has " + std::to_string(fleet.largest_domain_machines) +
                     " machines; lower it");
  }
}

void check_zones(const std::string& key, const std::vector<std::string>& zones, const FleetTopology& fleet,
                 std::vector<std::string>& errors) {
  if (zones.empty()) {
    errors.push_back(key + ": zones is empty; list the zones that may hold its data");
  }
  for (const auto& zone : zones) {
    if (!fleet.zones.empty() && !fleet.zones.contains(zone)) {
      errors.push_back(key + ": unknown zone '" + zone + "'; use one that 'larchlever status' lists");
    }
  }
}

void check_tenant(const wire::Tenant& tenant, const RecordsAfterChange& records, const FleetTopology& fleet,
                  std::vector<std::string>& errors) {
  const std::string key = tenant_key(tenant.name);
  check_zones(key, tenant.zones, fleet, errors);
  if (tenant.share_percent < 0 || tenant.share_percent > 100) {
    errors.push_back(key + ": share_percent must lie between 0 and 100");
  }
  if (tenant.max_concurrent < 1) {
    errors.push_back(key + ": max_concurrent must be at least 1");
  }
  if (tenant.priority < 0 || tenant.priority > kMaxPriority) {
    errors.push_back(key + ": priority must lie between 0 and 9");
  }
  const auto found = records.templates.find(tenant.template_name);
  if (found == records.templates.end()) {
    errors.push_back(key + ": template '" + tenant.template_name + "' does not exist; apply it first or together");
    return;
  }
  const auto& template_adapters = found->second.adapters;
  for (const auto& adapter : tenant.adapters) {
    if (std::find(template_adapters.begin(), template_adapters.end(), adapter) == template_adapters.end()) {
      errors.push_back(key + ": adapter '" + adapter + "' is not offered by template '" + tenant.template_name +
                       "'; add it there first");
    }
  }
}

void check_service(const wire::Service& service, const RecordsAfterChange& records, const FleetTopology& fleet,
                   std::vector<std::string>& errors) {
  const std::string key = std::string(kServicePrefix) + service.name;
  check_zones(key, service.zones, fleet, errors);
  if (!service.path_prefix.starts_with("/") || service.path_prefix.starts_with("/v1/")) {
    errors.push_back(key + ": path_prefix must start with '/' and must not start with /v1/");
  }
  if (service.endpoints.empty()) {
    errors.push_back(key + ": endpoints is empty; list host:port pairs");
  }
  for (const auto& [name, other] : records.services) {
    if (name != service.name && other.path_prefix == service.path_prefix) {
      errors.push_back(key + ": path_prefix is already used by service/" + name + "; choose another");
    }
  }
}

}  // namespace

CertificationResult certify_change(const RecordTable& table, const wire::ConfigurationChange& change) {
  for (const auto& read : change.reads) {
    const Revision current_revision = table.revision_of(read.key);
    const bool still_absent = read.revision == 0 && table.find(read.key) == nullptr;
    if (!still_absent && current_revision != Revision(read.revision)) {
      return CertificationResult{false, read.key, current_revision};
    }
  }
  // A write without a matching read may only create a record.
  for (const auto& write : change.writes) {
    const bool was_read = std::any_of(change.reads.begin(), change.reads.end(),
                                      [&write](const auto& read) { return read.key == write.key; });
    if (!was_read && table.find(write.key) != nullptr) {
      return CertificationResult{false, write.key, table.revision_of(write.key)};
    }
  }
  return CertificationResult{};
}

std::vector<std::string> validate_change(const RecordTable& table, const wire::ConfigurationChange& change,
                                         const FleetTopology& fleet) {
  RecordsAfterChange records = apply_writes(table, change);
  std::vector<std::string> errors = std::move(records.errors);
  if (change.writes.empty()) {
    errors.emplace_back("the change has no writes; include at least one key");
  }
  for (const auto& [name, group_template] : records.templates) {
    check_template(group_template, fleet, errors);
  }
  int total_share = 0;
  for (const auto& [name, tenant] : records.tenants) {
    check_tenant(tenant, records, fleet, errors);
    total_share += tenant.share_percent;
  }
  if (total_share > 100) {
    errors.push_back("tenants' shares add up to " + std::to_string(total_share) +
                     " %; lower some so that they do not exceed 100 %");
  }
  for (const auto& [name, service] : records.services) {
    check_service(service, records, fleet, errors);
  }
  return errors;
}

std::vector<wire::KeyRevision> make_read_set(const RecordTable& table, const std::vector<wire::KeyWrite>& writes) {
  std::vector<wire::KeyRevision> reads;
  for (const auto& write : writes) {
    wire::KeyRevision read;
    read.key = write.key;
    read.revision = table.revision_of(write.key).value();
    reads.push_back(std::move(read));
  }
  return reads;
}

}  // namespace larchlever::config
