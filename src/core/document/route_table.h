#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/document/configuration_document.h"

namespace larchlever::document {

/// Index of one configuration document: finds the route of a request and the tenant of an API key. Immutable; keeps the
/// document alive.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ConfigurationDocument> document);

  const ConfigurationDocument& document() const { return *document_; }
  /// The route of `host` (its port is ignored) with the longest path prefix that matches `path`; null if there is none.
  const Route* find_route(std::string_view host, std::string_view path) const;
  /// The tenant that `api_key` belongs to; null if there is none.
  const TenantSpec* find_tenant(std::string_view api_key) const;

 private:
  std::shared_ptr<const ConfigurationDocument> document_;
  std::unordered_map<std::string, std::map<std::string, const Route*, std::less<>>> routes_by_host_;
  std::unordered_map<std::string, const TenantSpec*> tenants_by_key_;
};

}  // namespace larchlever::document
