#include "cli/control_call.h"

#include <boost/asio.hpp>
#include <iostream>

#include "cli/flags.h"
#include "core/base/http_status.h"
#include "net/http_client.h"
#include "settings/ini_document.h"

namespace larchlever::cli {

namespace asio = boost::asio;

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

}  // namespace

std::optional<net::HttpResponse> call_control_replica(const std::string& method, const std::string& target,
                                                      const std::string& body) {
  std::string reason = "no control replica given; use --control IP:PORT";
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
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

}  // namespace larchlever::cli
