#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "core/fleet/fleet_subscription.h"
#include "settings/fleet_settings.h"

namespace larchlever::node {

/// One node of a registered fleet, in either role. Runs on one executor served by one thread.
class FleetProcess {
 public:
  virtual ~FleetProcess() = default;
  /// Binds addresses and starts. False with `error` set, remedy included, when the node cannot run.
  virtual bool start(std::string& error) = 0;
  /// Takes checked settings read anew; what cannot change at run time is kept.
  virtual void reload(const settings::FleetSettings& settings) = 0;
  /// Finishes what is in flight, within the settings' grace.
  virtual boost::asio::awaitable<void> drain() = 0;
  /// Drops everything at once.
  virtual void stop() = 0;
};

std::unique_ptr<FleetProcess> make_entry_process(boost::asio::any_io_executor executor,
                                                 const settings::FleetSettings& settings);
std::unique_ptr<FleetProcess> make_control_process(boost::asio::any_io_executor executor,
                                                   const settings::FleetSettings& settings);

/// Who this process is among its peers; the incarnation rises with every start.
fleet::PeerIdentity make_fleet_identity(const settings::FleetSettings& settings);

}  // namespace larchlever::node
