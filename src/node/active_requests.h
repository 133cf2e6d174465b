#pragma once

#include <set>

#include "core/base/time.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// The requests of an entry that have been read and whose response is not complete. Runs on one executor; not
/// thread-safe.
class ActiveRequests {
 public:
  /// Registers a request during its lifetime.
  class Registration {
   public:
    Registration(ActiveRequests& owner, RelayedRequest& request) : owner_(owner), request_(request) {
      owner_.requests_.insert(&request_);
    }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;
    ~Registration() { owner_.requests_.erase(&request_); }

   private:
    ActiveRequests& owner_;
    RelayedRequest& request_;
  };

  /// Logs every request that the shutdown, which began at `shutdown_began_at`, cuts off now.
  void log_cut_off(TimePoint now, TimePoint shutdown_began_at) const;

 private:
  std::set<RelayedRequest*> requests_;
};

}  // namespace larchlever::node
