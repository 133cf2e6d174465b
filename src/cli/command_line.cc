#include "cli/command_line.h"

#include <functional>
#include <iostream>
#include <map>

#include "cli/flags.h"

DEFINE_string(
    settings, "",
    "settings file of a node or of the emulator; default: the path in the environment variable LARCHLEVER_CONFIG");
DEFINE_string(node, "127.0.0.1:7300", "admin address of any node, IP:PORT; several separated by commas");
DEFINE_string(control, "", "control address of any control replica, IP:PORT; several separated by commas");
DEFINE_string(output, "table", "table or json");
DEFINE_string(route, "", "explain: name of the request's route");
DEFINE_string(tenant, "", "explain: name of the request's tenant; default: none");
DEFINE_int32(prompt_tokens, 0, "explain: size of the prompt; default: the engine's typical size");
DEFINE_int32(answer_tokens, 0, "explain: expected size of the answer; default: the engine's typical size");
DEFINE_string(operator_name, "", "operator recorded with the change; default: the environment variable USER");
DEFINE_string(command_id, "", "idempotency id of a change, for safe retries; default: a new one, which is printed");
DEFINE_bool(dry_run, false, "apply: only show the diff and the validation result");
DEFINE_bool(undo, false, "drain: cancel the drain and use the machine again");
DEFINE_int32(port_base, 7200, "demo: first of the loopback ports to use; 0 picks free ports");
DEFINE_int32(seconds, 0, "demo: exit after this many seconds; 0 runs until interrupted");
DEFINE_string(data, "", "demo: folder for the nodes' data; default: a temporary one");
DEFINE_int64(first_seed, 1, "simulate: first seed");
DEFINE_int64(runs, 100, "simulate: number of seeds");
DEFINE_string(experiment, "", "simulate: run this experiment file instead of fault schedules");
DEFINE_string(out, "", "simulate: folder for an experiment's CSV, JSON and SVG files");
DEFINE_int32(hollow, 0, "simulate: measure how fleets scale, up to this many nodes that run only the controllers");
DEFINE_string(targets, "", "load: service addresses of nodes on loopback, separated by commas");
DEFINE_string(tenants, "", "load: tenants to send requests for, separated by commas");
DEFINE_string(model, "census", "load: model to request; explain: model of the request");
DEFINE_string(service_path, "", "load: request path of an HTTP service without a model; empty for none");
DEFINE_string(execution_log, "",
              "load: membership address of the emulator, to check the results against its execution log");
DEFINE_int32(callers, 16, "load: number of concurrent callers");
DEFINE_int64(requests, 1000, "load: total number of requests");

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
       {"run one node of a fleet whose back ends register themselves: --settings FILE",
        [](const auto&) { return run_fleet_node(); }}},
      {"bootstrap",
       {"initialize the data folder of the first node of a new region: --settings FILE",
        [](const auto&) { return run_bootstrap(); }}},
      {"check-settings",
       {"validate a node's settings file: --settings FILE", [](const auto&) { return run_check_settings(); }}},
      {"demo", {"run nine nodes and emulated back ends in one process", [](const auto&) { return run_demo(); }}},
      {"emulate",
       {"emulate engines, services, weight store and membership list: --settings FILE",
        [](const auto&) { return run_emulate(); }}},
      {"apply",
       {"change templates and parameters: apply FILE [--dry_run]",
        [](const auto& arguments) { return run_apply(arguments); }}},
      {"get", {"show the current records: get [PREFIX]", [](const auto& arguments) { return run_get(arguments); }}},
      {"status", {"summary of nodes, replicas and groups", [](const auto&) { return run_status(); }}},
      {"groups", {"groups of machines and their states", [](const auto&) { return run_groups(); }}},
      {"machines", {"machines, their states and the groups that use them", [](const auto&) { return run_machines(); }}},
      {"drain",
       {"drain a machine before planned maintenance: drain MACHINE [--undo]",
        [](const auto& arguments) { return run_drain(arguments); }}},
      {"zones",
       {"zones of a registered fleet and whether they are evacuated", [](const auto&) { return run_zones(); }}},
      {"evacuate",
       {"stop sending requests to a zone: evacuate ZONE --control IP:PORT",
        [](const auto& arguments) { return run_evacuate(arguments); }}},
      {"restore",
       {"resume sending requests to a zone: restore ZONE --control IP:PORT",
        [](const auto& arguments) { return run_restore(arguments); }}},
      {"explain",
       {"where a request would be sent now, and why: --control IP:PORT --route NAME [--tenant] [--model] "
        "[--prompt_tokens] [--answer_tokens]",
        [](const auto&) { return run_explain(); }}},
      {"load", {"send requests to nodes on loopback and check the responses", [](const auto&) { return run_load(); }}},
      {"bench",
       {"run the benchmarks and compare the results with their budgets", [](const auto&) { return run_bench(); }}},
      {"simulate",
       {"run fault schedules in virtual time: [--first_seed=N] [--runs=N]",
        [](const auto&) { return run_simulate(); }}},
      {"audit", {"log of changes with operator and verdict", [](const auto&) { return run_audit(); }}},
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
         "this text\n\nexit codes: 0 success, 2 usage, 3 invalid, 4 conflict, 5 unreachable, 6 accepted but not in "
         "force, "
         "7 "
         "failed\n";
}

void print_completion() {
  std::cout << "_larchlever() {\n  local commands=\"";
  for (const auto& [name, command] : subcommands()) {
    std::cout << name << " ";
  }
  std::cout << "completion version help\"\n"
               "  local flags=\"--settings --node --control --output --route --tenant --prompt_tokens --answer_tokens "
               "--operator_name --command_id --dry_run --undo\"\n"
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
