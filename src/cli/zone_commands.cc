// Operator commands for the zones of a registered fleet: zones, evacuate, restore.

#include <boost/json.hpp>
#include <iostream>

#include "cli/command_line.h"
#include "cli/control_call.h"
#include "cli/flags.h"
#include "core/base/http_status.h"

namespace larchlever::cli {

namespace json = boost::json;

namespace {

int send_zone_operation(const std::vector<std::string>& arguments, const std::string& operation) {
  if (arguments.size() != 1) {
    std::cerr << "usage: larchlever " << operation << " ZONE --control IP:PORT\n";
    return kExitUsage;
  }
  const auto answer = call_control_replica("POST", "/v1/zones/" + arguments.front() + "/" + operation);
  if (!answer) {
    return kExitUnreachable;
  }
  if (answer->status == http_status::kOk) {
    std::cout << operation << " " << arguments.front() << ": accepted\n";
    return kExitSuccess;
  }
  std::cerr << "larchlever: " << answer->body << "\n";
  return answer->status == http_status::kNotFound ? kExitInvalid : kExitFailed;
}

}  // namespace

int run_zones() {
  const auto answer = call_control_replica("GET", "/v1/zones");
  if (!answer) {
    return kExitUnreachable;
  }
  boost::system::error_code error;
  const auto body = json::parse(answer->body, error);
  if (answer->status != http_status::kOk || error || !body.is_object()) {
    std::cerr << "larchlever: " << answer->body << "\n";
    return kExitFailed;
  }
  if (FLAGS_output == "json") {
    std::cout << answer->body << "\n";
    return kExitSuccess;
  }
  const auto& evacuated = body.at("evacuated").as_array();
  for (const auto& zone : body.at("zones").as_array()) {
    const bool is_evacuated = std::find(evacuated.begin(), evacuated.end(), zone) != evacuated.end();
    std::cout << json::value_to<std::string>(zone) << (is_evacuated ? "  evacuated" : "  in use") << "\n";
  }
  return kExitSuccess;
}

int run_evacuate(const std::vector<std::string>& arguments) { return send_zone_operation(arguments, "evacuate"); }

int run_restore(const std::vector<std::string>& arguments) { return send_zone_operation(arguments, "restore"); }

}  // namespace larchlever::cli
