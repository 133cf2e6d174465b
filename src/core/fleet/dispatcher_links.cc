// The part of Dispatcher that relates the links of this entry to the servers that requests need.

#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"

namespace larchlever::fleet {

bool Dispatcher::are_all_links_lost(const std::string& service, const std::string& model,
                                    const std::set<std::string>* allowed_zones) const {
  if (!links_.has_lost_links()) {
    return false;  // Fast path, because this is called for each request.
  }
  bool has_server = false;
  for (const auto* server : available_servers(service, model)) {
    if (allowed_zones != nullptr && !allowed_zones->contains(server->zone)) {
      continue;
    }
    if (!links_.is_lost({server->address, server->zone})) {
      return false;
    }
    has_server = true;
  }
  return has_server;
}

bool Dispatcher::are_all_groups_ruled_out(TimePoint now, const std::string& service, const std::string& model,
                                          const std::set<std::string>& excluded) {
  const auto avoided = groups_to_avoid(now, service, model);
  bool has_group = false;
  for (const auto& group : groups_) {
    if (available_head(group, service, model) == nullptr) {
      continue;
    }
    has_group = true;
    const bool is_avoided = std::find(avoided.begin(), avoided.end(), group.name) != avoided.end();
    if (!is_avoided && !excluded.contains(group.name)) {
      return false;
    }
  }
  return has_group;
}

bool Dispatcher::is_any_link_lost(const std::string& service, const std::string& model) const {
  const auto servers =
      links_.has_lost_links() ? available_servers(service, model) : std::vector<const wire::Instance*>();
  return std::any_of(servers.begin(), servers.end(), [this](const auto* server) {
    return links_.is_lost({server->address, server->zone});
  });
}

std::string Dispatcher::service_at(const std::string& address) const {
  const auto found = std::find_if(instances_.begin(), instances_.end(),
                                  [&address](const auto& item) { return item.second.address == address; });
  return found == instances_.end() ? std::string() : found->second.service_name;
}

void Dispatcher::forgive_failures(const std::string& address) {
  for (const auto& [id, instance] : instances_) {
    if (instance.address != address) {
      continue;
    }
    health_[incarnation_name(instance)].stop_avoiding();
    for (const auto& group : groups_) {
      if (group.members.front() == id) {
        health_[group.name].stop_avoiding();
      }
    }
  }
}

}  // namespace larchlever::fleet
