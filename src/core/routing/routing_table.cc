#include "core/routing/routing_table.h"

#include <algorithm>
#include <set>

namespace larchlever::routing {

bool TenantView::permits_zone(const std::string& zone) const {
  return std::find(tenant.zones.begin(), tenant.zones.end(), zone) != tenant.zones.end();
}

bool TenantView::permits_adapter(const std::string& adapter) const {
  return adapter.empty() || std::find(tenant.adapters.begin(), tenant.adapters.end(), adapter) != tenant.adapters.end();
}

wire::RepeatPolicy::type TenantView::repeat_policy() const {
  return tenant.__isset.repeat ? tenant.repeat : shape.repeat;
}

RoutingTable::RoutingTable(const config::RecordTable& records) {
  for (auto& tenant : config::read_all<wire::Tenant>(records, config::kTenantPrefix)) {
    TenantView view;
    if (auto shape = config::read_value<wire::Template>(records, config::template_key(tenant.template_name))) {
      view.shape = std::move(*shape);
      view.has_template = true;
    }
    view.tenant = tenant;
    tenants_[tenant.name] = std::move(view);
  }
  for (auto& group : config::read_all<wire::Group>(records, config::kGroupPrefix)) {
    if (group.state == wire::GroupState::SERVING) {
      groups_[group.template_name].push_back(std::move(group));
    }
  }
  services_ = config::read_all<wire::Service>(records, config::kServicePrefix);
  std::stable_sort(services_.begin(), services_.end(), [](const auto& left, const auto& right) {
    return left.path_prefix.size() > right.path_prefix.size();
  });
}

const TenantView* RoutingTable::find_tenant(const std::string& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

const std::vector<wire::Group>& RoutingTable::groups_of(const std::string& template_name) const {
  static const std::vector<wire::Group> none;
  const auto found = groups_.find(template_name);
  return found == groups_.end() ? none : found->second;
}

const wire::Service* RoutingTable::find_service(std::string_view path) const {
  for (const auto& service : services_) {
    const std::string& prefix = service.path_prefix;
    const bool at_boundary = path.size() == prefix.size() || prefix.ends_with('/') ||
                             (path.size() > prefix.size() && path[prefix.size()] == '/');
    if (path.starts_with(prefix) && at_boundary) {
      return &service;
    }
  }
  return nullptr;
}

std::vector<std::string> RoutingTable::models() const {
  std::set<std::string> models;
  for (const auto& [name, view] : tenants_) {
    if (view.has_template) {
      models.insert(view.shape.model);
    }
  }
  return {models.begin(), models.end()};
}

}  // namespace larchlever::routing
