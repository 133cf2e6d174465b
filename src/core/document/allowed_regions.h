#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/document/configuration_document.h"

/// Where requests may run: the home regions of their route and their tenant, as zones. Pure.
namespace larchlever::document {

/// The region of each zone, by the settings.
using ZoneRegions = std::map<std::string, std::string>;

/// The zones in which a request of the route and tenant (null for none) may run, where it has homes; both bind when
/// both name some. Nothing when it may run anywhere. A zone whose region nobody named is no home.
std::optional<std::set<std::string>> allowed_zones(const ZoneRegions& regions, const Route& route,
                                                   const TenantSpec* tenant);

/// True when every one of the servers' zones, of which there must be one, is allowed. `allowed` may be null: any is.
bool all_zones_allowed(const std::set<std::string>* allowed, const std::vector<std::string>& zones);

/// What is wrong with the first home that the settings do not know, with the place and the regions that there are.
/// Nothing where the settings name no regions.
std::optional<DocumentError> find_unknown_region(const ZoneRegions& regions, const ConfigurationDocument& document);

}  // namespace larchlever::document
