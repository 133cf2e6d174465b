#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/request_pacer.h"
#include "core/fleet/sliding_window_limiter.h"
#include "larchlever_types.h"

namespace larchlever::document {
struct ServiceSpec;
}

namespace larchlever::fleet {

/// One incarnation of a server with a request rate limit that applies to all entries together: because it is cold (just
/// started, or idle for a while), or because its responses state a limit.
struct RateLimitedServer {
  std::string incarnation;
  bool is_cold = false;
  std::optional<double> limit_per_second;
};

/// The strictest rate limit of the server, in requests per second; 0 means no limit.
double effective_rate_limit(const document::ServiceSpec& service, const RateLimitedServer& server);

/// The leader's rate limiters for requests from all entries to rate-limited servers.
///
/// Failure scenario: judged by requests in flight alone, a server that gets few requests looks like the best target, so
/// all requests would be sent to it at once.
///
/// Limits: state is kept per incarnation, so a head keeps its limiter state when its group is re-formed. The state is
/// lost on a change of leader; a new leader may grant one extra request per server. Single-threaded, deterministic.
class ServerRateLimiter {
 public:
  /// Sets all rate-limited servers; other servers are not limited.
  void set_servers(const std::vector<RateLimitedServer>& servers);
  void clear() { limiters_.clear(); }
  /// When the server may get its next request, not before `now`.
  TimePoint next_allowed_at(TimePoint now, const document::ServiceSpec& service, const std::string& incarnation);
  /// Records a request that is sent to the server.
  void note_request(TimePoint now, const document::ServiceSpec& service, const std::string& incarnation);
  /// The limit that the server's responses state; empty for none.
  std::optional<double> limit_of(const std::string& incarnation) const;

 private:
  struct ServerLimiters {
    RateLimitedServer server;
    SlidingWindowLimiter cold_window;
    RequestPacer limit_pacer;
  };

  std::map<std::string, ServerLimiters> limiters_;
};

}  // namespace larchlever::fleet
