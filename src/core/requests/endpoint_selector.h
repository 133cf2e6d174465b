#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::requests {

/// Picks endpoints of plain services in turn, leaving out those that failed repeatedly (for a while) and those that are
/// leaving. At most half of a service's endpoints are left out for failures, so that errors spread over all of them do
/// not empty the service. Pure; single-threaded.
class EndpointSelector {
 public:
  /// The next endpoint of `service`, none of `excluded`; empty when all are excluded or leaving.
  std::string pick(TimePoint now, const std::string& service, const std::vector<std::string>& endpoints,
                   const std::set<std::string>& excluded);
  void report(TimePoint now, const std::string& endpoint, bool success);
  /// Endpoints that the membership list calls leaving: they get nothing new.
  void set_leaving(std::set<std::string> leaving) { leaving_ = std::move(leaving); }
  uint64_t ejections() const { return ejections_; }

 private:
  struct Health {
    int consecutive_failures = 0;
    TimePoint ejected_until = TimePoint::min();
  };

  bool is_ejected(TimePoint now, const std::string& endpoint) const;

  std::map<std::string, Health> health_;
  std::map<std::string, size_t> next_index_by_service_;
  std::set<std::string> leaving_;
  uint64_t ejections_ = 0;
};

}  // namespace larchlever::requests
