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

/// One start of a server that takes only so many requests a second, from all entries together: since it is cold, just
/// started or back after a while without work, or since it names a limit in its answers.
struct RateLimitedServer {
  std::string incarnation;
  bool is_cold = false;
  std::optional<double> limit_per_second;
};

/// The lowest rate that binds the server, in requests a second; 0 for none.
double effective_rate_limit(const document::ServiceSpec& service, const RateLimitedServer& server);

/// The leader's count of the requests that rated servers get from all entries together.
///
/// Load pattern: by what is under way there, a server that gets few requests looks like the best target of all, so that
/// everything would go to it at once.
/// Limits: counts are kept by incarnation, so that a head keeps its count when its group is formed anew. They are lost
/// with the leadership: a new leader may grant one request more to each server. Single-threaded, deterministic.
class ServerRateLimiter {
 public:
  /// All rated servers; others take any number of requests.
  void set_servers(const std::vector<RateLimitedServer>& servers);
  void clear() { limiters_.clear(); }
  /// When the server has room for a request, not before `now`.
  TimePoint next_allowed_at(TimePoint now, const document::ServiceSpec& service, const std::string& incarnation);
  /// A request goes there.
  void note_request(TimePoint now, const document::ServiceSpec& service, const std::string& incarnation);
  /// The limit that the server names; nothing for one that names none.
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
