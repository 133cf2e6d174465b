#include "core/routing/routing_table.h"

#include <algorithm>
#include <set>

namespace larchlever::routing {

bool TenantWithTemplate::permits_zone(const std::string& zone) const {
  return std::find(tenant.zones.begin(), tenant.zones.end(), zone) != tenant.zones.end();
}

bool TenantWithTemplate::permits_adapter(const std::string& adapter) const {
  return adapter.empty() || std::find(tenant.adapters.begin(), tenant.adapters.end(), adapter) != tenant.adapters.end();
}

wire::RepeatPolicy::type TenantWithTemplate::repeat_policy() const {
  return tenant.__isset.repeat ? tenant.repeat : tenant_template.repeat;
}

RoutingTable::RoutingTable(const config::RecordTable& records) {
  for (auto& tenant : config::read_all<wire::Tenant>(records, config::kTenantPrefix)) {
    TenantWithTemplate view;
    if (auto tenant_template =
            config::read_value<wire::Template>(records, config::template_key(tenant.template_name))) {
      view.tenant_template = std::move(*tenant_template);
      view.has_template = true;
    }
    view.tenant = tenant;
    tenants_[tenant.name] = std::move(view);
  }
  for (auto& group : config::read_all<wire::Group>(records, config::kGroupPrefix)) {
    if (group.state == wire::GroupState::SERVING) {
      serving_groups_by_template_[group.template_name].push_back(std::move(group));
    }
  }
  services_ = config::read_all<wire::Service>(records, config::kServicePrefix);
  std::stable_sort(services_.begin(), services_.end(), [](const auto& left, const auto& right) {
    return left.path_prefix.size() > right.path_prefix.size();
  });
}

const TenantWithTemplate* RoutingTable::find_tenant(const std::string& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

const std::vector<wire::Group>& RoutingTable::serving_groups(const std::string& template_name) const {
  static const std::vector<wire::Group> none;
  const auto found = serving_groups_by_template_.find(template_name);
  return found == serving_groups_by_template_.end() ? none : found->second;
}

const wire::Service* RoutingTable::find_service(std::string_view path) const {
  for (const auto& service : services_) {
    const std::string& prefix = service.path_prefix;
    const bool ends_at_path_segment = path.size() == prefix.size() || prefix.ends_with('/') ||
                                      (path.size() > prefix.size() && path[prefix.size()] == '/');
    if (path.starts_with(prefix) && ends_at_path_segment) {
      return &service;
    }
  }
  return nullptr;
}

std::vector<std::string> RoutingTable::models() const {
  std::set<std::string> models;
  for (const auto& [name, view] : tenants_) {
    if (view.has_template) {
      models.insert(view.tenant_template.model);
    }
  }
  return {models.begin(), models.end()};
}

}  // namespace larchlever::routing
