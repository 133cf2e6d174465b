#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "node/admin_api.h"
#include "node/caller_api.h"
#include "node/node_runtime.h"
#include "settings/node_settings.h"

namespace larchlever::node {

/// One whole node: runtime, callers' server, operators' server, and the order of its stop. One executor, one thread.
class NodeProcess {
 public:
  NodeProcess(boost::asio::any_io_executor executor, settings::NodeSettings settings);

  /// Binds all addresses and starts. False with `error` set.
  bool start(std::string& error);
  /// Planned stop: not ready first, then no new connections, then what is in flight ends, then the process may go.
  boost::asio::awaitable<void> drain();
  /// Drops everything at once.
  void stop();

  std::string service_address() const { return service_address_; }
  std::string admin_address() const { return admin_address_; }
  NodeRuntime& runtime() { return runtime_; }
  const settings::NodeSettings& settings() const { return settings_; }

 private:
  settings::NodeSettings settings_;
  boost::asio::any_io_executor executor_;
  NodeRuntime runtime_;
  CallerApi caller_api_;
  net::HttpServer caller_server_;
  AdminApi admin_api_;
  net::HttpServer admin_server_;
  std::string service_address_;
  std::string admin_address_;
};

}  // namespace larchlever::node
