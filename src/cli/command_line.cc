#include "cli/command_line.h"

#include <functional>
#include <iostream>
#include <map>

#include "cli/flags.h"

DEFINE_string(settings, "",
              "settings file of a node or of stand-ins; default: what the variable LARCHLEVER_CONFIG names");
DEFINE_string(node, "127.0.0.1:7300", "admin address of any node, IP:PORT; several separated by commas");
DEFINE_string(control, "", "control address of any control replica, IP:PORT; several separated by commas");
DEFINE_string(output, "table", "table or json");
DEFINE_string(operator_name, "", "who makes the change; default: the USER variable");
DEFINE_string(command_id, "", "id under which a change may be sent again; default: a new one, printed");
DEFINE_bool(dry_run, false, "apply: only show the difference and the verdict");
DEFINE_bool(undo, false, "drain: take the machine back into use");
DEFINE_int32(port_base, 7200, "demo: first of the ports used on loopback; 0 takes free ones");
DEFINE_int32(seconds, 0, "demo: end after this many seconds; 0 runs until interrupted");
DEFINE_string(data, "", "demo: folder for the nodes' data; default: a temporary one");
DEFINE_int64(first_seed, 1, "simulate: first seed");
DEFINE_int64(runs, 100, "simulate: number of seeds");
DEFINE_string(experiment, "", "simulate: experiment file to run instead of fault schedules");
DEFINE_string(out, "", "simulate: folder for an experiment's CSV, JSON and SVG files");
DEFINE_int32(hollow, 0, "simulate: measure fleets of hollow nodes, up to this many nodes");
DEFINE_string(targets, "", "load: service addresses of nodes on loopback, separated by commas");
DEFINE_string(tenants, "", "load: tenants to send for, separated by commas");
DEFINE_string(model, "census", "load: model to ask for");
DEFINE_string(service_path, "", "load: path of a plain service; empty for none");
DEFINE_string(execution_log, "", "load: the stand-ins' membership address, to check the history against what ran");
DEFINE_int32(callers, 16, "load: callers at once");
DEFINE_int64(requests, 1000, "load: requests in all");

namespace larchlever::cli {

namespace {

struct Subcommand {
  const char* summary;
  std::function<int(const std::vector<std::string>&)> run;
};

const std::map<std::string, Subcommand>& subcommands() {
  static const std::map<std::string, Subcommand> table = {
      {"serve", {"run one node: --settings FILE", [](const auto&) { return run_serve(); }}},
      {"fleet-node",
       {"run one node before back ends that register themselves: --settings FILE",
        [](const auto&) { return run_fleet_node(); }}},
      {"bootstrap",
       {"make the first data folder of a new region: --settings FILE", [](const auto&) { return run_bootstrap(); }}},
      {"check-settings",
       {"check a node's settings file: --settings FILE", [](const auto&) { return run_check_settings(); }}},
      {"demo", {"run nine nodes and stand-in back ends in this process", [](const auto&) { return run_demo(); }}},
      {"emulate",
       {"run stand-ins of engines, services, weight store and membership list: --settings FILE",
        [](const auto&) { return run_emulate(); }}},
      {"apply",
       {"change templates and parameters: apply FILE [--dry_run]",
        [](const auto& arguments) { return run_apply(arguments); }}},
      {"get", {"show records in force: get [PREFIX]", [](const auto& arguments) { return run_get(arguments); }}},
      {"status", {"nodes, replicas and groups at a glance", [](const auto&) { return run_status(); }}},
      {"groups", {"groups of machines and their states", [](const auto&) { return run_groups(); }}},
      {"machines", {"machines and who holds them", [](const auto&) { return run_machines(); }}},
      {"drain",
       {"empty a machine for a planned stop: drain MACHINE [--undo]",
        [](const auto& arguments) { return run_drain(arguments); }}},
      {"zones", {"zones of a registered fleet, and which are evacuated", [](const auto&) { return run_zones(); }}},
      {"evacuate",
       {"send nothing more to the servers of a zone: evacuate ZONE --control IP:PORT",
        [](const auto& arguments) { return run_evacuate(arguments); }}},
      {"restore",
       {"take a zone back into use: restore ZONE --control IP:PORT",
        [](const auto& arguments) { return run_restore(arguments); }}},
      {"load", {"send requests to nodes on loopback and check what came back", [](const auto&) { return run_load(); }}},
      {"bench", {"measure this build against its budgets", [](const auto&) { return run_bench(); }}},
      {"simulate",
       {"run fault schedules in virtual time: [--first_seed=N] [--runs=N]",
        [](const auto&) { return run_simulate(); }}},
      {"audit", {"changes made, by whom and with which verdict", [](const auto&) { return run_audit(); }}},
  };
  return table;
}

void print_help(std::ostream& out) {
  out << "usage: larchlever COMMAND [ARGUMENTS] [--flag=value ...]\n\ncommands:\n";
  for (const auto& [name, command] : subcommands()) {
    out << "  " << name << std::string(name.size() < 16 ? 16 - name.size() : 1, ' ') << command.summary << "\n";
  }
  out << "  completion      print a bash completion script\n  version         print the version\n  help            "
         "print "
         "this text\n\nexit codes: 0 done, 2 usage, 3 invalid, 4 conflict, 5 unreachable, 6 accepted but not in force, "
         "7 "
         "failed\n";
}

void print_completion() {
  std::cout << "_larchlever() {\n  local commands=\"";
  for (const auto& [name, command] : subcommands()) {
    std::cout << name << " ";
  }
  std::cout << "completion version help\"\n"
               "  local flags=\"--settings --node --control --output --operator_name --command_id --dry_run --undo\"\n"
               "  local word=\"${COMP_WORDS[COMP_CWORD]}\"\n"
               "  if [ \"$COMP_CWORD\" -eq 1 ]; then COMPREPLY=($(compgen -W \"$commands\" -- \"$word\"))\n"
               "  elif [[ \"$word\" == -* ]]; then COMPREPLY=($(compgen -W \"$flags\" -- \"$word\"))\n"
               "  else COMPREPLY=($(compgen -f -- \"$word\")); fi\n}\n"
               "complete -F _larchlever larchlever\n";
}

}  // namespace

int run_command(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "help" : arguments.front();
  if (name == "help") {
    print_help(std::cout);
    return arguments.empty() ? kExitUsage : kExitSuccess;
  }
  if (name == "version") {
    std::cout << "larchlever " << LARCHLEVER_VERSION << "\n";
    return kExitSuccess;
  }
  if (name == "completion") {
    print_completion();
    return kExitSuccess;
  }
  const auto found = subcommands().find(name);
  if (found == subcommands().end()) {
    std::cerr << "larchlever: unknown command '" << name << "'; 'larchlever help' lists the commands\n";
    return kExitUsage;
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    std::cerr << "larchlever: --output must be table or json\n";
    return kExitUsage;
  }
  return found->second.run({arguments.begin() + 1, arguments.end()});
}

}  // namespace larchlever::cli
