#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/document/configuration_document.h"

/// Data residency: the zones in which a request may run, by the allowed regions of its route and its tenant.
namespace larchlever::document {

/// Region of each zone, from the settings; empty if the settings name no region for the zone.
using ZoneRegions = std::map<std::string, std::string>;

/// The zones in which a request of this route and tenant (null if none) may run, or nothing if it may run anywhere. A
/// zone must satisfy the restrictions of both the route and the tenant. A zone without a region satisfies none.
std::optional<std::set<std::string>> allowed_zones(const ZoneRegions& regions, const Route& route,
                                                   const TenantSpec* tenant);

/// Whether `zones`, the zones of some servers, is not empty and all of them are allowed. Null allows any zones, even
/// none.
bool all_zones_allowed(const std::set<std::string>* allowed, const std::vector<std::string>& zones);

/// Returns an error for the first allowed region of the document that the settings do not contain; it names the field
/// and the known regions. Returns nothing if the settings name no regions.
std::optional<DocumentError> find_unknown_region(const ZoneRegions& regions, const ConfigurationDocument& document);

}  // namespace larchlever::document
