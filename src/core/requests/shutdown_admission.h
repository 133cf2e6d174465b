#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/base/time.h"
#include "core/requests/recent_quantile.h"

namespace larchlever::requests {

/// Decides which requests a process that shuts down still accepts.
///
/// A response that is incomplete when the grace period ends is lost for its caller, while a request that is rejected on
/// arrival is served by another node a round trip later. So a request is accepted only if it ends in time: by its own
/// deadline, or, as long as the load balancer sends new connections here, because requests of its route usually do.
/// Callers that are rejected may meet other nodes that shut down, too; later requests come over a few kept connections.
/// Single-threaded, deterministic, no I/O.
class ShutdownAdmission {
 public:
  /// The shutdown begins. New connections may arrive until `new_connections_end`; responses that are incomplete at
  /// `end` are cut off.
  void begin(TimePoint new_connections_end, TimePoint end) { shutdown_ = {new_connections_end, end}; }
  /// A request of the route got its complete response `duration` after it was received.
  void note_completed(TimePoint now, const std::string& route, Duration duration);
  /// Forgets all other routes.
  void retain_routes(const std::set<std::string>& routes);
  /// Whether a request that must be answered by `deadline` is accepted.
  bool accepts(TimePoint now, const std::string& route, TimePoint deadline) const;

 private:
  struct Shutdown {
    TimePoint new_connections_end;
    TimePoint end;
  };
  std::optional<Duration> usual_duration(TimePoint now, const std::string& route) const;

  std::optional<Shutdown> shutdown_;
  std::map<std::string, RecentQuantile> durations_;
};

}  // namespace larchlever::requests
