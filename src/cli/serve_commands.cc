#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "cli/region_bootstrap.h"
#include "emulator/emulated_fleet.h"
#include "node/allocator.h"
#include "node/dialect.h"
#include "node/fleet_process.h"
#include "node/logging.h"
#include "node/node_process.h"
#include "settings/fleet_settings.h"
#include "settings/node_settings.h"

namespace larchlever::cli {

namespace asio = boost::asio;

namespace {

/// Environment variable with the path of the settings file, used without --settings. Platforms that run several nodes
/// on one machine set it per process.
constexpr const char* kSettingsPathVariable = "LARCHLEVER_CONFIG";

/// Path of the settings file from the flag or the environment variable; empty if neither is set.
std::string settings_path() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(kSettingsPathVariable);
  return path == nullptr ? std::string() : path;
}

void print_errors(const std::vector<std::string>& errors) {
  for (const auto& error_text : errors) {
    std::cerr << settings_path() << ": " << error_text << "\n";
  }
}

void print_missing_settings_path() {
  std::cerr << "larchlever: no settings file; use --settings FILE or set the environment variable "
            << kSettingsPathVariable << "\n";
}

/// Reads the settings file. Prints the reason and returns nothing if no path is set or the file cannot be read.
std::optional<std::string> read_settings_file() {
  const std::string path = settings_path();
  if (path.empty()) {
    print_missing_settings_path();
    return std::nullopt;
  }
  std::vector<std::string> errors;
  auto text = settings::read_text_file(path, errors);
  print_errors(errors);
  return text;
}

/// Ends a process whose sockets and data folder are closed. Requests that are left refer to objects that destructors
/// would end before them, and some destructors of libraries wait for threads and could keep the process alive until the
/// platform kills it.
[[noreturn]] void exit_without_destructors(int exit_code) {
  node::flush_log();
  std::_Exit(exit_code);
}

std::optional<settings::NodeSettings> load_node_settings() {
  std::vector<std::string> errors;
  const auto text = read_settings_file();
  auto loaded_settings = text ? settings::parse_node_settings(*text, errors) : std::nullopt;
  print_errors(errors);
  return loaded_settings;
}

}  // namespace

int run_check_settings() {
  if (!load_node_settings()) {
    return kExitInvalid;
  }
  std::cout << settings_path() << ": valid\n";
  return kExitSuccess;
}

int run_bootstrap() {
  const auto loaded_settings = load_node_settings();
  if (!loaded_settings) {
    return kExitInvalid;
  }
  if (loaded_settings->data_folder.empty()) {
    std::cerr << "larchlever: this node has no data folder; bootstrap a node that has one\n";
    return kExitInvalid;
  }
  std::string error;
  if (!bootstrap_region(*loaded_settings, error, false)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  std::cout << "region initialized in " << loaded_settings->data_folder << "; start this node, then the others\n";
  return kExitSuccess;
}

int run_serve() {
  const auto loaded_settings = load_node_settings();
  if (!loaded_settings) {
    return kExitInvalid;
  }
  node::configure_logging(loaded_settings->log_level, loaded_settings->log_file);
  asio::io_context context(1);
  node::NodeProcess process(context.get_executor(), *loaded_settings);
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
  exit_without_destructors(kExitSuccess);
}

namespace {

constexpr auto kSettingsCheckInterval = std::chrono::seconds(1);
/// Delay before a failed start is retried. Most start failures come from a previous process that still holds a port and
/// exits within its grace period.
constexpr auto kStartRetryInterval = std::chrono::milliseconds(200);
/// Time after which a failing start is no longer retried. Must be well above the time after which platforms kill the
/// previous process.
constexpr auto kStartRetryTimeout = std::chrono::seconds(30);

/// Reads and validates the settings of a fleet node. If the file is invalid, returns nothing and adds all problems to
/// `errors`.
std::optional<settings::FleetSettings> load_fleet_settings(std::vector<std::string>& errors) {
  const auto text = settings::read_text_file(settings_path(), errors);
  auto loaded_settings = text ? settings::parse_fleet_settings(*text, errors) : std::nullopt;
  if (loaded_settings && node::find_dialect(loaded_settings->dialect) == nullptr) {
    errors.push_back("[node] dialect = '" + loaded_settings->dialect +
                     "': unknown; use larchlever, or the name of an adapter");
    loaded_settings.reset();
  }
  return loaded_settings;
}

/// Runs one node of a registered fleet until SIGTERM or SIGINT, and reloads its settings file when it changes.
class FleetNodeRunner {
 public:
  explicit FleetNodeRunner(const settings::FleetSettings& settings)
      : context_(1),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        settings_check_timer_(context_),
        start_retry_timer_(context_),
        settings_(settings) {}

  int run() {
    settings_modified_at_ = settings_modification_time();
    start_deadline_ = std::chrono::steady_clock::now() + kStartRetryTimeout;
    wait_for_signal();
    try_start();
    context_.run();
    return exit_code_;
  }

 private:
  static std::filesystem::file_time_type settings_modification_time() {
    std::error_code ignored;
    return std::filesystem::last_write_time(settings_path(), ignored);
  }

  /// Starts the node. Retries after a failure until `start_deadline_`.
  void try_start() {
    auto process = settings_.role == settings::FleetRole::kEntry
                       ? node::make_entry_process(context_.get_executor(), settings_)
                       : node::make_control_process(context_.get_executor(), settings_);
    std::string error;
    if (process->start(error)) {
      process_ = std::move(process);
      schedule_settings_check();
      return;
    }
    process->stop();
    const bool is_retry_timeout_over = std::chrono::steady_clock::now() >= start_deadline_;
    node::log_warning(settings_.name, "start_failed",
                      {{"reason", error}, {"tried_again", is_retry_timeout_over ? "no" : "yes"}});
    if (is_retry_timeout_over) {
      exit_code_ = kExitFailed;
      context_.stop();
      return;
    }
    start_retry_timer_.expires_after(kStartRetryInterval);
    start_retry_timer_.async_wait([this](boost::system::error_code code) {
      if (!code) {
        try_start();
      }
    });
  }

  void reload() {
    const auto modified_at = settings_modification_time();
    std::vector<std::string> errors;
    const auto settings = load_fleet_settings(errors);
    if (!settings) {
      // The file may be partly written, and the rest may arrive within the same tick of its modification time.
      // Resetting the stored time forces another read.
      settings_modified_at_ = std::filesystem::file_time_type::min();
      for (const auto& error_text : errors) {
        node::log_warning(settings_.name, "settings_refused", {{"reason", error_text}});
      }
      return;
    }
    settings_modified_at_ = modified_at;
    settings_ = *settings;
    if (process_ != nullptr) {
      process_->reload(*settings);
    }
  }

  void wait_for_signal() {
    signals_.async_wait([this](boost::system::error_code code, int signal) {
      if (code) {
        return;
      }
      if (signal == SIGHUP) {
        reload();
        wait_for_signal();
        return;
      }
      asio::co_spawn(context_, stop(), asio::detached);
    });
  }

  /// Polls the modification time, because the file may change without a SIGHUP.
  void schedule_settings_check() {
    settings_check_timer_.expires_after(kSettingsCheckInterval);
    settings_check_timer_.async_wait([this](boost::system::error_code code) {
      if (code) {
        return;
      }
      node::flush_log();
      if (settings_modification_time() != settings_modified_at_) {
        reload();
      }
      schedule_settings_check();
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
  asio::steady_timer settings_check_timer_;
  asio::steady_timer start_retry_timer_;
  settings::FleetSettings settings_;
  std::chrono::steady_clock::time_point start_deadline_;
  int exit_code_ = kExitSuccess;
  std::filesystem::file_time_type settings_modified_at_;
  std::unique_ptr<node::FleetProcess> process_;
};

}  // namespace

int run_fleet_node() {
  if (settings_path().empty()) {
    print_missing_settings_path();
    return kExitInvalid;
  }
  std::vector<std::string> errors;
  const auto settings = load_fleet_settings(errors);
  if (!settings) {
    print_errors(errors);
    return kExitInvalid;
  }
  std::signal(SIGPIPE, SIG_IGN);
  node::return_large_blocks_when_freed();
  node::configure_logging(settings->log_level, "");
  node::set_default_node(settings->name);
  FleetNodeRunner runner(*settings);
  const int exit_code = runner.run();
  node::log_event(settings->name, "stopped", {{"exit_code", std::to_string(exit_code)}});
  exit_without_destructors(exit_code);
}

int run_emulate() {
  std::vector<std::string> errors;
  const auto text = read_settings_file();
  const auto loaded_settings = text ? emulator::parse_emulated_fleet_settings(*text, errors) : std::nullopt;
  print_errors(errors);
  if (!loaded_settings) {
    return kExitInvalid;
  }
  asio::io_context context(1);
  emulator::EmulatedFleet fleet(context.get_executor(), *loaded_settings);
  std::string error;
  if (!fleet.start(error)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  for (const auto& service : loaded_settings->services) {
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
  return kExitSuccess;
}

}  // namespace larchlever::cli
