#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/emulated_machine.h"
#include "emulator/execution_log.h"
#include "emulator/plain_service.h"
#include "emulator/weight_store.h"
#include "net/http_server.h"

namespace larchlever::emulator {

struct EmulatedService {
  std::string name;
  std::string zone;
  std::vector<uint16_t> ports;
};

/// Settings of an emulated fleet, read from an INI file.
struct EmulatedFleetSettings {
  std::string address = "127.0.0.1";
  uint16_t membership_port = 0;
  std::chrono::milliseconds membership_lag{2000};
  uint16_t weight_store_port = 0;
  WeightStoreOptions weight_store;
  std::vector<MachineOptions> machines;
  std::vector<EmulatedService> services;
};

std::optional<EmulatedFleetSettings> parse_emulated_fleet_settings(const std::string& text,
                                                                   std::vector<std::string>& errors);

/// Runs all emulated back ends in one process: engine machines, plain services, weight store and membership list. The
/// membership port also accepts faults (POST /emulator/fault?machine=ID&action=die|pause|resume|return|leave) and
/// serves the execution log (GET /emulator/log). Both are for tests only and not part of a published protocol.
class EmulatedFleet : public net::HttpHandler {
 public:
  EmulatedFleet(boost::asio::any_io_executor executor, EmulatedFleetSettings settings);

  bool start(std::string& error);
  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// Injects a fault into a machine. Returns false if the machine or the action is unknown, or a restart fails.
  bool inject_fault(const std::string& machine, const std::string& action);

  std::string membership_endpoint() const;
  std::vector<std::string> service_endpoints(const std::string& name) const;
  const ExecutionLog& log() const { return log_; }
  EmulatedMachine* find_machine(const std::string& id);
  const std::vector<std::unique_ptr<EmulatedMachine>>& machines() const { return machines_; }

 private:
  /// How the membership list shows a machine.
  struct MembershipListing {
    std::string id;
    bool leaving = false;
    bool is_removed = false;
  };

  std::string membership_json() const;
  std::string execution_log_json(size_t first_position) const;
  /// Changes a machine's listing after the membership lag.
  void publish_after_lag(const std::string& machine, bool leaving, bool is_removed);

  boost::asio::any_io_executor executor_;
  EmulatedFleetSettings settings_;
  ExecutionLog log_;
  WeightStore weight_store_;
  std::vector<std::unique_ptr<EmulatedMachine>> machines_;
  std::vector<std::unique_ptr<PlainService>> services_;
  std::map<std::string, std::vector<std::string>> service_endpoints_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  std::map<std::string, MembershipListing> membership_listings_;
  uint16_t membership_port_ = 0;
};

}  // namespace larchlever::emulator
