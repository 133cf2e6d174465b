#include <gflags/gflags.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command_line.h"
#include "node/logging.h"

int main(int argc, char** argv) {
  larchlever::node::open_standard_descriptors();
  try {
    gflags::SetUsageMessage("larchlever COMMAND [ARGUMENTS]; 'larchlever help' lists the commands");
    gflags::SetVersionString(LARCHLEVER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return larchlever::cli::run_command(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "larchlever: " << error.what() << "\n";
    return larchlever::cli::kExitFailed;
  }
}
