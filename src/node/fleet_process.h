#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "core/fleet/fleet_subscription.h"
#include "settings/fleet_settings.h"

namespace larchlever::node {

/// One node of a registered fleet: an entry or a control replica. Runs on one executor, served by one thread.
class FleetProcess {
 public:
  virtual ~FleetProcess() = default;
  /// Binds the addresses and starts. Returns false if the node cannot run, with the cause and a remedy in `error`.
  virtual bool start(std::string& error) = 0;
  /// Applies reloaded, validated settings. Settings that cannot change at run time keep their old values.
  virtual void reload(const settings::FleetSettings& settings) = 0;
  /// Finishes in-flight work within the grace period from the settings.
  virtual boost::asio::awaitable<void> drain() = 0;
  /// Stops immediately and drops all in-flight work.
  virtual void stop() = 0;
};

std::unique_ptr<FleetProcess> make_entry_process(boost::asio::any_io_executor executor,
                                                 const settings::FleetSettings& settings);
std::unique_ptr<FleetProcess> make_control_process(boost::asio::any_io_executor executor,
                                                   const settings::FleetSettings& settings);

/// The identity of this process among its peers. The incarnation increases with every start.
fleet::PeerIdentity make_fleet_identity(const settings::FleetSettings& settings);

}  // namespace larchlever::node
