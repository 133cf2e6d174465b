#pragma once

#include <string>
#include <vector>

namespace larchlever::cli {

/// Process exit codes, documented in docs/OPERATIONS.md.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitUsage = 2,
  kExitInvalid = 3,      ///< Validation rejected the settings or the change.
  kExitConflict = 4,     ///< A concurrent change was accepted first.
  kExitUnreachable = 5,  ///< No node or no leader responded.
  kExitNotInForce = 6,   ///< Accepted, but not yet applied on every node.
  kExitFailed = 7,
};

/// Runs the subcommand named by the first argument and returns the exit code.
int run_command(const std::vector<std::string>& arguments);

// Subcommands; each returns the exit code.
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
int run_explain();
int run_zones();
int run_evacuate(const std::vector<std::string>& arguments);
int run_restore(const std::vector<std::string>& arguments);
int run_simulate();
int run_load();
int run_bench();

}  // namespace larchlever::cli
