#include "core/fleet/server_rate_limiter.h"

#include <algorithm>
#include <set>

#include "core/document/configuration_document.h"

namespace larchlever::fleet {

double effective_rate_limit(const document::ServiceSpec& service, const RateLimitedServer& server) {
  const double cold = server.is_cold ? service.cold_server_requests_per_second : 0;
  if (!server.limit_per_second) {
    return cold;
  }
  return cold > 0 ? std::min(cold, *server.limit_per_second) : *server.limit_per_second;
}

void ServerRateLimiter::set_servers(const std::vector<RateLimitedServer>& servers) {
  std::set<std::string> rate_limited_incarnations;
  for (const auto& server : servers) {
    rate_limited_incarnations.insert(server.incarnation);
    limiters_[server.incarnation].server = server;
  }
  std::erase_if(limiters_, [&rate_limited_incarnations](const auto& item) {
    return !rate_limited_incarnations.contains(item.first);
  });
}

TimePoint ServerRateLimiter::next_allowed_at(TimePoint now, const document::ServiceSpec& service,
                                             const std::string& incarnation) {
  const auto found = limiters_.find(incarnation);
  if (found == limiters_.end()) {
    return now;
  }
  ServerLimiters& limiters = found->second;
  const TimePoint cold_allowed_at =
      limiters.server.is_cold ? limiters.cold_window.next_allowed_at(now, service.cold_server_requests_per_second)
                              : now;
  const auto& limit = limiters.server.limit_per_second;
  return limit ? std::max(cold_allowed_at, limiters.limit_pacer.next_allowed_at(now, *limit)) : cold_allowed_at;
}

void ServerRateLimiter::note_request(TimePoint now, const document::ServiceSpec& service,
                                     const std::string& incarnation) {
  const auto found = limiters_.find(incarnation);
  if (found == limiters_.end()) {
    return;
  }
  ServerLimiters& limiters = found->second;
  if (limiters.server.is_cold && service.cold_server_requests_per_second > 0) {
    limiters.cold_window.note_request(now);
  }
  if (const auto& limit = limiters.server.limit_per_second) {
    limiters.limit_pacer.note_request(now, *limit);
  }
}

std::optional<double> ServerRateLimiter::limit_of(const std::string& incarnation) const {
  const auto found = limiters_.find(incarnation);
  return found == limiters_.end() ? std::nullopt : found->second.server.limit_per_second;
}

}  // namespace larchlever::fleet
