#include "core/requests/endpoint_selector.h"

#include <algorithm>

namespace larchlever::requests {

namespace {

constexpr int kConsecutiveFailuresToEject = 3;
constexpr Duration kEjectionTime = seconds(5);

}  // namespace

bool EndpointSelector::is_ejected(TimePoint now, const std::string& endpoint) const {
  const auto found = health_.find(endpoint);
  return found != health_.end() && now < found->second.ejected_until;
}

std::string EndpointSelector::pick(TimePoint now, const std::string& service, const std::vector<std::string>& endpoints,
                                   const std::set<std::string>& excluded) {
  std::vector<const std::string*> usable;
  std::vector<const std::string*> healthy;
  for (const auto& endpoint : endpoints) {
    if (!leaving_.contains(endpoint)) {
      usable.push_back(&endpoint);
      if (!is_ejected(now, endpoint)) {
        healthy.push_back(&endpoint);
      }
    }
  }
  const bool too_many_ejected = healthy.size() * 2 < usable.size();
  auto& pool = too_many_ejected ? usable : healthy;
  std::erase_if(pool, [&excluded](const auto* endpoint) { return excluded.contains(*endpoint); });
  return pool.empty() ? std::string() : *pool[next_index_by_service_[service]++ % pool.size()];
}

void EndpointSelector::report_result(TimePoint now, const std::string& endpoint, bool success) {
  Health& health = health_[endpoint];
  if (success) {
    health.consecutive_failures = 0;
    return;
  }
  if (++health.consecutive_failures >= kConsecutiveFailuresToEject) {
    health.consecutive_failures = 0;
    health.ejected_until = now + kEjectionTime;
    ++ejections_;
  }
}

}  // namespace larchlever::requests
