#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::requests {

/// Selects endpoints of plain services by round robin. Skips endpoints that are leaving and, for a few seconds,
/// endpoints that failed repeatedly. If more than half of a service's endpoints are ejected for failures, all are used,
/// so that failures across the whole service do not make it unavailable. No I/O; single-threaded.
class EndpointSelector {
 public:
  /// The next endpoint of `service` that is not in `excluded`; empty if there is none.
  std::string pick(TimePoint now, const std::string& service, const std::vector<std::string>& endpoints,
                   const std::set<std::string>& excluded);
  /// Records whether a request to `endpoint` succeeded.
  void report_result(TimePoint now, const std::string& endpoint, bool success);
  /// Sets the endpoints marked as leaving in the membership list; they get no new requests.
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
