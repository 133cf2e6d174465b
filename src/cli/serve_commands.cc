#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "cli/region_start.h"
#include "emulator/emulated_fleet.h"
#include "node/dialect.h"
#include "node/fleet_process.h"
#include "node/logging.h"
#include "node/node_process.h"
#include "settings/fleet_settings.h"
#include "settings/node_settings.h"

namespace larchlever::cli {

namespace asio = boost::asio;

namespace {

/// Names the settings file where no flag does: platforms that run several nodes on a machine set it for each.
constexpr const char* kSettingsVariable = "LARCHLEVER_CONFIG";

/// The settings file that the flag names, else the environment; empty when neither does.
std::string settings_path() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(kSettingsVariable);
  return path == nullptr ? std::string() : path;
}

void print_faults(const std::vector<std::string>& faults) {
  for (const auto& fault : faults) {
    std::cerr << settings_path() << ": " << fault << "\n";
  }
}

void print_no_settings() {
  std::cerr << "larchlever: name the settings file with --settings FILE or in the variable " << kSettingsVariable
            << "\n";
}

/// The text of the settings file. Nothing, with the reason printed, when none is named or it cannot be read.
std::optional<std::string> read_settings() {
  const std::string path = settings_path();
  if (path.empty()) {
    print_no_settings();
    return std::nullopt;
  }
  std::vector<std::string> faults;
  auto text = settings::read_text_file(path, faults);
  print_faults(faults);
  return text;
}

std::optional<settings::NodeSettings> load_settings() {
  std::vector<std::string> faults;
  const auto text = read_settings();
  auto parsed = text ? settings::parse_node_settings(*text, faults) : std::nullopt;
  print_faults(faults);
  return parsed;
}

}  // namespace

int run_check_settings() {
  if (!load_settings()) {
    return kExitInvalid;
  }
  std::cout << settings_path() << ": no faults\n";
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

namespace {

constexpr auto kSettingsCheckInterval = std::chrono::seconds(1);
/// Pause before a start that failed is tried again. What stood in its way, most likely a predecessor that still holds a
/// port, is gone within its grace.
constexpr auto kStartRetryPause = std::chrono::milliseconds(200);
/// Longest time for which a start is tried again: well over the time in which platforms end a predecessor by force.
constexpr auto kStartPatience = std::chrono::seconds(30);

/// The checked settings of a fleet node. Nothing, with every fault in `faults`, when the file is no good.
std::optional<settings::FleetSettings> load_fleet_settings(std::vector<std::string>& faults) {
  const auto text = settings::read_text_file(settings_path(), faults);
  auto parsed = text ? settings::parse_fleet_settings(*text, faults) : std::nullopt;
  if (parsed && node::find_dialect(parsed->dialect) == nullptr) {
    faults.push_back("[node] dialect = '" + parsed->dialect + "': unknown; use larchlever, or the name of an adapter");
    parsed.reset();
  }
  return parsed;
}

/// Runs one node of a registered fleet until it is told to stop, and hands it its settings whenever they change.
class FleetNodeRunner {
 public:
  explicit FleetNodeRunner(const settings::FleetSettings& settings)
      : context_(1),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        check_timer_(context_),
        start_timer_(context_),
        settings_(settings) {}

  int run() {
    written_at_ = settings_time();
    start_deadline_ = std::chrono::steady_clock::now() + kStartPatience;
    await_signal();
    try_start();
    context_.run();
    return exit_code_;
  }

 private:
  static std::filesystem::file_time_type settings_time() {
    std::error_code ignored;
    return std::filesystem::last_write_time(settings_path(), ignored);
  }

  /// Starts the node; where that fails, tries again until the patience is over.
  void try_start() {
    auto process = settings_.role == settings::FleetRole::kEntry
                       ? node::make_entry_process(context_.get_executor(), settings_)
                       : node::make_control_process(context_.get_executor(), settings_);
    std::string error;
    if (process->start(error)) {
      process_ = std::move(process);
      await_check();
      return;
    }
    process->stop();
    const bool gives_up = std::chrono::steady_clock::now() >= start_deadline_;
    node::log_warning(settings_.name, "start_failed", {{"reason", error}, {"tried_again", gives_up ? "no" : "yes"}});
    if (gives_up) {
      exit_code_ = kExitFailed;
      context_.stop();
      return;
    }
    start_timer_.expires_after(kStartRetryPause);
    start_timer_.async_wait([this](boost::system::error_code code) {
      if (!code) {
        try_start();
      }
    });
  }

  void reload() {
    const auto written_at = settings_time();
    std::vector<std::string> faults;
    const auto settings = load_fleet_settings(faults);
    if (!settings) {
      // The file may be in the middle of being written, within one tick of its time stamp: it is read again.
      written_at_ = std::filesystem::file_time_type::min();
      for (const auto& fault : faults) {
        node::log_warning(settings_.name, "settings_refused", {{"reason", fault}});
      }
      return;
    }
    written_at_ = written_at;
    settings_ = *settings;
    if (process_ != nullptr) {
      process_->reload(*settings);
    }
  }

  void await_signal() {
    signals_.async_wait([this](boost::system::error_code code, int signal) {
      if (code) {
        return;
      }
      if (signal == SIGHUP) {
        reload();
        await_signal();
        return;
      }
      asio::co_spawn(context_, stop(), asio::detached);
    });
  }

  /// The file may also change without a signal.
  void await_check() {
    check_timer_.expires_after(kSettingsCheckInterval);
    check_timer_.async_wait([this](boost::system::error_code code) {
      if (code) {
        return;
      }
      node::flush_log();
      if (settings_time() != written_at_) {
        reload();
      }
      await_check();
    });
  }

  asio::awaitable<void> stop() {
    if (process_ != nullptr) {
      co_await process_->drain();
      process_->stop();
    }
    context_.stop();
  }

  asio::io_context context_;
  asio::signal_set signals_;
  asio::steady_timer check_timer_;
  asio::steady_timer start_timer_;
  settings::FleetSettings settings_;
  std::chrono::steady_clock::time_point start_deadline_;
  int exit_code_ = kExitDone;
  std::filesystem::file_time_type written_at_;
  std::unique_ptr<node::FleetProcess> process_;
};

}  // namespace

int run_fleet_node() {
  if (settings_path().empty()) {
    print_no_settings();
    return kExitInvalid;
  }
  std::vector<std::string> faults;
  const auto settings = load_fleet_settings(faults);
  if (!settings) {
    print_faults(faults);
    return kExitInvalid;
  }
  std::signal(SIGPIPE, SIG_IGN);
  node::configure_logging(settings->log_level, "");
  node::set_default_node(settings->name);
  FleetNodeRunner runner(*settings);
  const int exit_code = runner.run();
  node::log_event(settings->name, "stopped", {{"exit_code", std::to_string(exit_code)}});
  node::flush_log();
  // Sockets and data folder are closed. Returning would run the destructors of libraries, some of which wait for
  // threads of theirs: a stopped process must not stay until it is killed.
  std::_Exit(exit_code);
}

int run_emulate() {
  std::vector<std::string> faults;
  const auto text = read_settings();
  const auto parsed = text ? emulator::parse_emulated_fleet_settings(*text, faults) : std::nullopt;
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
