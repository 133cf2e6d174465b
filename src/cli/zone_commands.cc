// Operator commands for the zones of a registered fleet: zones, evacuate, restore.

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "core/base/http_status.h"
#include "net/http_client.h"
#include "settings/ini_document.h"

namespace larchlever::cli {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(3000);

net::FetchResult fetch_response(const std::string& endpoint, const net::HttpRequest& request) {
  asio::io_context context(1);
  net::HttpClient client(context.get_executor());
  net::FetchResult result;
  asio::co_spawn(
      context, [&]() -> asio::awaitable<void> { result = co_await client.fetch(endpoint, request, kCallTimeout); },
      asio::detached);
  context.run();
  return result;
}

/// Sends a request to one control replica after the other until one returns a status other than 503. Retries are safe,
/// because evacuating and restoring a zone are idempotent.
std::optional<net::HttpResponse> call_control_replica(const std::string& method, const std::string& target) {
  std::string reason = "no control replica given; use --control IP:PORT";
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  for (const auto& endpoint : settings::split_list(FLAGS_control)) {
    const auto result = fetch_response(endpoint, request);
    if (!result.response) {
      reason = result.error;
      continue;
    }
    if (result.response->status != http_status::kServiceUnavailable) {
      return result.response;
    }
    reason = endpoint + ": " + result.response->body;
  }
  std::cerr << "larchlever: " << reason << "\n";
  return std::nullopt;
}

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
