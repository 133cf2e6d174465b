#include "core/document/home_regions.h"

#include <algorithm>

namespace larchlever::document {

namespace {

bool contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

std::set<std::string> named_regions(const ZoneRegions& regions) {
  std::set<std::string> result;
  for (const auto& [zone, region] : regions) {
    if (!region.empty()) {
      result.insert(region);
    }
  }
  return result;
}

std::optional<DocumentError> find_unknown(const std::set<std::string>& known, const std::vector<std::string>& homes,
                                          const std::string& place) {
  const auto unknown =
      std::find_if(homes.begin(), homes.end(), [&known](const auto& region) { return !known.contains(region); });
  if (unknown == homes.end()) {
    return std::nullopt;
  }
  std::string names;
  for (const auto& region : known) {
    names += (names.empty() ? "" : ", ") + region;
  }
  return DocumentError{place + ".allowed_regions names the unknown region '" + *unknown + "'; the regions are " +
                       names};
}

}  // namespace

std::optional<std::set<std::string>> allowed_zones(const ZoneRegions& regions, const Route& route,
                                                   const TenantSpec* tenant) {
  const bool tenant_binds = tenant != nullptr && !tenant->home_regions.empty();
  if (route.home_regions.empty() && !tenant_binds) {
    return std::nullopt;
  }
  std::set<std::string> zones;
  for (const auto& [zone, region] : regions) {
    const bool by_route = route.home_regions.empty() || contains(route.home_regions, region);
    const bool by_tenant = !tenant_binds || contains(tenant->home_regions, region);
    if (!region.empty() && by_route && by_tenant) {
      zones.insert(zone);
    }
  }
  return zones;
}

bool are_allowed(const std::set<std::string>* allowed, const std::vector<std::string>& zones) {
  return allowed == nullptr || (!zones.empty() && std::all_of(zones.begin(), zones.end(), [allowed](const auto& zone) {
           return allowed->contains(zone);
         }));
}

std::optional<DocumentError> find_unknown_region(const ZoneRegions& regions, const ConfigurationDocument& document) {
  const auto known = named_regions(regions);
  if (known.empty()) {
    return std::nullopt;
  }
  for (size_t position = 0; position < document.routes.size(); ++position) {
    const std::string place = "routes[" + std::to_string(position) + "]";
    if (auto error = find_unknown(known, document.routes[position].home_regions, place)) {
      return error;
    }
  }
  const std::vector<TenantSpec> none;
  const auto& tenants = document.tenants ? *document.tenants : none;
  for (size_t position = 0; position < tenants.size(); ++position) {
    const std::string place = "tenants[" + std::to_string(position) + "]";
    if (auto error = find_unknown(known, tenants[position].home_regions, place)) {
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace larchlever::document
