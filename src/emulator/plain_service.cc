#include "emulator/plain_service.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace larchlever::emulator {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxTagBytes = 128;

}  // namespace

std::string query_parameter(const std::string& target, const std::string& name) {
  const size_t question = target.find('?');
  size_t start = question == std::string::npos ? target.size() : question + 1;
  while (start < target.size()) {
    const size_t end = std::min(target.find('&', start), target.size());
    const std::string pair = target.substr(start, end - start);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    start = end + 1;
  }
  return "";
}

PlainService::PlainService(asio::any_io_executor executor, std::string name, std::string zone, ExecutionLog& log)
    : executor_(std::move(executor)), name_(std::move(name)), zone_(std::move(zone)), log_(log) {}

asio::awaitable<void> PlainService::handle(net::HttpExchange& exchange) {
  const auto& request = exchange.request();
  Execution execution;
  execution.request_id = std::string(request.headers.find("x-request-id"));
  execution.key = std::string(request.headers.find("idempotency-key"));
  execution.machine = name_;
  execution.zone = zone_;
  const auto path = request.path();
  execution.tag =
      request.body.empty() ? std::string(path.substr(path.rfind('/') + 1)) : request.body.substr(0, kMaxTagBytes);
  const size_t position = log_.record_start(std::move(execution));
  const std::string delay = query_parameter(request.target, "delay_ms");
  if (!delay.empty()) {
    asio::steady_timer timer(executor_, std::chrono::milliseconds(std::atoi(delay.c_str())));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  net::HttpResponse response;
  const std::string status = query_parameter(request.target, "status");
  response.status = status.empty() ? 200 : std::atoi(status.c_str());
  response.headers.add("Content-Type", "application/json");
  response.headers.add("X-Service", name_);
  boost::json::object body;
  body["service"] = name_;
  body["method"] = request.method;
  body["target"] = request.target;
  body["received_bytes"] = request.body.size();
  body["echo"] = request.body.substr(0, 1024);
  response.body = boost::json::serialize(body);
  log_.record_completion(position);
  if (!query_parameter(request.target, "cut").empty()) {
    if (co_await exchange.begin_stream(response)) {
      co_await exchange.write_piece(response.body.substr(0, response.body.size() / 2));
    }
    co_return;  // Does not end the stream, so the connection is closed in the middle of the answer.
  }
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::emulator
