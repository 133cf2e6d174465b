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

  /// Ends the deadline of every request, because the shutdown that began at `shutdown_began_at` leaves no more time.
  /// Each then gets its final response, unless part of one was already sent.
  void cut_off(TimePoint now, TimePoint shutdown_began_at);

 private:
  static void log_cut_off(const RelayedRequest& request, TimePoint now, TimePoint shutdown_began_at);

  std::set<RelayedRequest*> requests_;
};

}  // namespace larchlever::node
