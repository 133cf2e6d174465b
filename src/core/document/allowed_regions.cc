#include "core/document/allowed_regions.h"

#include <algorithm>

namespace larchlever::document {

namespace {

bool contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

std::set<std::string> distinct_regions(const ZoneRegions& regions) {
  std::set<std::string> result;
  for (const auto& [zone, region] : regions) {
    if (!region.empty()) {
      result.insert(region);
    }
  }
  return result;
}

std::optional<DocumentError> find_unknown_region_error(const std::set<std::string>& known_regions,
                                                       const std::vector<std::string>& listed_regions,
                                                       const std::string& json_path) {
  const auto unknown_region =
      std::find_if(listed_regions.begin(), listed_regions.end(),
                   [&known_regions](const auto& region) { return !known_regions.contains(region); });
  if (unknown_region == listed_regions.end()) {
    return std::nullopt;
  }
  std::string known_regions_text;
  for (const auto& region : known_regions) {
    known_regions_text += (known_regions_text.empty() ? "" : ", ") + region;
  }
  return DocumentError{json_path + ".allowed_regions names the unknown region '" + *unknown_region +
                       "'; the regions are " + known_regions_text};
}

}  // namespace

std::optional<std::set<std::string>> allowed_zones(const ZoneRegions& regions, const Route& route,
                                                   const TenantSpec* tenant) {
  const bool is_tenant_restricted = tenant != nullptr && !tenant->allowed_regions.empty();
  if (route.allowed_regions.empty() && !is_tenant_restricted) {
    return std::nullopt;
  }
  std::set<std::string> zones;
  for (const auto& [zone, region] : regions) {
    const bool route_allows = route.allowed_regions.empty() || contains(route.allowed_regions, region);
    const bool tenant_allows = !is_tenant_restricted || contains(tenant->allowed_regions, region);
    if (!region.empty() && route_allows && tenant_allows) {
      zones.insert(zone);
    }
  }
  return zones;
}

bool all_zones_allowed(const std::set<std::string>* allowed, const std::vector<std::string>& zones) {
  return allowed == nullptr || (!zones.empty() && std::all_of(zones.begin(), zones.end(), [allowed](const auto& zone) {
           return allowed->contains(zone);
         }));
}

std::optional<DocumentError> find_unknown_region(const ZoneRegions& regions, const ConfigurationDocument& document) {
  const auto known_regions = distinct_regions(regions);
  if (known_regions.empty()) {
    return std::nullopt;
  }
  for (size_t index = 0; index < document.routes.size(); ++index) {
    const std::string json_path = "routes[" + std::to_string(index) + "]";
    if (auto error = find_unknown_region_error(known_regions, document.routes[index].allowed_regions, json_path)) {
      return error;
    }
  }
  const std::vector<TenantSpec> none;
  const auto& tenants = document.tenants ? *document.tenants : none;
  for (size_t index = 0; index < tenants.size(); ++index) {
    const std::string json_path = "tenants[" + std::to_string(index) + "]";
    if (auto error = find_unknown_region_error(known_regions, tenants[index].allowed_regions, json_path)) {
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace larchlever::document
