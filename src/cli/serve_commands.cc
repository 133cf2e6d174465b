#include <boost/asio.hpp>
#include <csignal>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "cli/region_start.h"
#include "emulator/emulated_fleet.h"
#include "node/logging.h"
#include "node/node_process.h"
#include "settings/node_settings.h"

namespace larchlever::cli {

namespace asio = boost::asio;

namespace {

void print_faults(const std::vector<std::string>& faults) {
  for (const auto& fault : faults) {
    std::cerr << FLAGS_settings << ": " << fault << "\n";
  }
}

std::optional<settings::NodeSettings> load_settings() {
  std::vector<std::string> faults;
  if (FLAGS_settings.empty()) {
    std::cerr << "larchlever: name the settings file with --settings FILE\n";
    return std::nullopt;
  }
  const auto text = settings::read_text_file(FLAGS_settings, faults);
  auto parsed = text ? settings::parse_node_settings(*text, faults) : std::nullopt;
  print_faults(faults);
  return parsed;
}

}  // namespace

int run_check_settings() {
  if (!load_settings()) {
    return kExitInvalid;
  }
  std::cout << FLAGS_settings << ": no faults\n";
  return kExitDone;
}

int run_bootstrap() {
  const auto parsed = load_settings();
  if (!parsed) {
    return kExitInvalid;
  }
  if (parsed->data_folder.empty()) {
    std::cerr << "larchlever: this node has no data folder; bootstrap a node that has one\n";
    return kExitInvalid;
  }
  std::string error;
  if (!begin_region(*parsed, error, false)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  std::cout << "region begun in " << parsed->data_folder << "; start this node, then the others\n";
  return kExitDone;
}

int run_serve() {
  const auto parsed = load_settings();
  if (!parsed) {
    return kExitInvalid;
  }
  node::configure_logging(parsed->log_level, parsed->log_file);
  asio::io_context context(1);
  node::NodeProcess process(context.get_executor(), *parsed);
  std::string error;
  if (!process.start(error)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code code, int) {
    if (!code) {
      asio::co_spawn(
          context,
          [&]() -> asio::awaitable<void> {
            co_await process.drain();
            process.stop();
            context.stop();
          },
          asio::detached);
    }
  });
  context.run();
  return kExitDone;
}

int run_emulate() {
  std::vector<std::string> faults;
  const auto text = settings::read_text_file(FLAGS_settings, faults);
  const auto parsed = text ? emulator::parse_fleet_settings(*text, faults) : std::nullopt;
  print_faults(faults);
  if (!parsed) {
    return kExitInvalid;
  }
  asio::io_context context(1);
  emulator::EmulatedFleet fleet(context.get_executor(), *parsed);
  std::string error;
  if (!fleet.start(error)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  for (const auto& service : parsed->services) {
    std::cout << "service " << service.name << " at ";
    for (const auto& endpoint : fleet.service_endpoints(service.name)) {
      std::cout << endpoint << ", ";
    }
    std::cout << "\n";
  }
  std::cout << "membership list at " << fleet.membership_endpoint() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return kExitDone;
}

}  // namespace larchlever::cli
