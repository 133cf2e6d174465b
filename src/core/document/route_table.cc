#include "core/document/route_table.h"

#include <algorithm>
#include <cctype>

namespace larchlever::document {

namespace {

/// Host names are compared without case and without the port.
std::string normalised_host(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return result;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const ConfigurationDocument> document) : document_(std::move(document)) {
  for (const auto& route : document_->routes) {
    routes_by_host_[normalised_host(route.host)][route.path_prefix] = &route;
  }
  if (!document_->tenants) {
    return;
  }
  for (const auto& tenant : *document_->tenants) {
    for (const auto& key : tenant.api_keys) {
      tenants_by_key_[key] = &tenant;
    }
  }
}

const Route* RouteTable::find_route(std::string_view host, std::string_view path) const {
  const auto routes = routes_by_host_.find(normalised_host(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so the candidates are the path truncated after each of its slashes, longest first.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
    const auto found = routes->second.find(path.substr(0, slash + 1));
    if (found != routes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
  }
  return nullptr;
}

const TenantSpec* RouteTable::find_tenant(std::string_view api_key) const {
  const auto found = tenants_by_key_.find(std::string(api_key));
  return found == tenants_by_key_.end() ? nullptr : found->second;
}

}  // namespace larchlever::document
