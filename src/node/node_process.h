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

/// A complete node: runtime, HTTP servers for callers and operators, and the shutdown sequence. Runs on one executor
/// and one thread.
class NodeProcess {
 public:
  NodeProcess(boost::asio::any_io_executor executor, settings::NodeSettings settings);

  /// Binds all addresses and starts. Returns false with `error` set on failure.
  bool start(std::string& error);
  /// Shuts down gracefully: reports not ready, stops accepting connections, waits for in-flight requests, then signs
  /// off from the fleet.
  boost::asio::awaitable<void> drain();
  /// Stops immediately and drops all in-flight work.
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
