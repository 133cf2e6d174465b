#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/record_table.h"
#include "larchlever_types.h"

namespace larchlever::routing {

/// A tenant with the template it uses.
struct TenantWithTemplate {
  wire::Tenant tenant;
  /// Valid only if `has_template`.
  wire::Template tenant_template;
  bool has_template = false;

  bool permits_zone(const std::string& zone) const;
  bool permits_adapter(const std::string& adapter) const;
  /// The tenant's repeat policy if set, otherwise the template's.
  wire::RepeatPolicy::type repeat_policy() const;
};

/// Index of the configuration records for routing: tenants, serving groups by template, services by path. Rebuilt
/// whenever the records change; a value type.
class RoutingTable {
 public:
  RoutingTable() = default;
  explicit RoutingTable(const config::RecordTable& records);

  const TenantWithTemplate* find_tenant(const std::string& name) const;
  /// Groups of the template in state SERVING.
  const std::vector<wire::Group>& serving_groups(const std::string& template_name) const;
  /// The service with the longest path prefix that matches `path`; null if there is none.
  const wire::Service* find_service(std::string_view path) const;
  const std::map<std::string, TenantWithTemplate>& tenants() const { return tenants_; }
  /// Names of the models that tenants use, sorted.
  std::vector<std::string> models() const;

 private:
  std::map<std::string, TenantWithTemplate> tenants_;
  std::map<std::string, std::vector<wire::Group>> serving_groups_by_template_;
  std::vector<wire::Service> services_;
};

}  // namespace larchlever::routing
