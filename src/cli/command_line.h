#pragma once

#include <string>
#include <vector>

namespace larchlever::cli {

/// Exit codes of the command, as documented in docs/OPERATIONS.md.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitUsage = 2,
  kExitInvalid = 3,      ///< Settings or a change were refused by validation.
  kExitConflict = 4,     ///< Another change came first.
  kExitUnreachable = 5,  ///< No node, or no leader, answered.
  kExitNotInForce = 6,   ///< Accepted, but not yet in force on every node.
  kExitFailed = 7,
};

/// Runs a subcommand; `arguments` starts with its name.
int run_command(const std::vector<std::string>& arguments);

// The subcommands, each in a unit of its own.
int run_serve();
int run_fleet_node();
int run_bootstrap();
int run_check_settings();
int run_demo();
int run_emulate();
int run_apply(const std::vector<std::string>& arguments);
int run_get(const std::vector<std::string>& arguments);
int run_status();
int run_groups();
int run_machines();
int run_drain(const std::vector<std::string>& arguments);
int run_audit();
int run_zones();
int run_evacuate(const std::vector<std::string>& arguments);
int run_restore(const std::vector<std::string>& arguments);
int run_simulate();
int run_load();
int run_bench();

}  // namespace larchlever::cli
