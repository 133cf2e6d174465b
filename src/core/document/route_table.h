#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/document/configuration_document.h"

namespace larchlever::document {

/// Look-ups in one configuration document: the route of a request and the tenant of a key. Immutable once built, and
/// keeps its document alive.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ConfigurationDocument> document);

  const ConfigurationDocument& document() const { return *document_; }
  /// The route of `host` (a port behind it is ignored) with the longest prefix that begins `path`; null when none.
  const Route* find_route(std::string_view host, std::string_view path) const;
  /// The tenant that holds `api_key`; null when none does.
  const TenantSpec* find_tenant(std::string_view api_key) const;

 private:
  std::shared_ptr<const ConfigurationDocument> document_;
  std::unordered_map<std::string, std::map<std::string, const Route*, std::less<>>> routes_by_host_;
  std::unordered_map<std::string, const TenantSpec*> tenants_by_key_;
};

}  // namespace larchlever::document
