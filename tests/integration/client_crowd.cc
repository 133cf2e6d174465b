#include "client_crowd.h"

#include <arpa/inet.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "child_process.h"
#include "net/http_types.h"

namespace larchlever::integration {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr size_t kBlockBytes = 64 * 1024;

tcp::endpoint to_tcp_endpoint(const std::string& endpoint) {
  const auto [host, port] = net::split_endpoint(endpoint);
  return {asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port))};
}

/// Whole copies of `text`, `kBlockBytes` of them or one.
std::string repeat_to_block(const std::string& text) {
  std::string block = text;
  while (!text.empty() && block.size() + text.size() <= kBlockBytes) {
    block += text;
  }
  return block;
}

/// Address as it stands in /proc/net/tcp.
std::string to_kernel_notation(const tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
       << htonl(static_cast<uint32_t>(endpoint.address().to_v4().to_uint())) << ":" << std::setw(4) << endpoint.port();
  return text.str();
}

/// Bytes sent to `endpoint` on established connections that the server has not read.
size_t unread_bytes(const tcp::endpoint& endpoint) {
  constexpr const char* kEstablished = "01";
  const std::string address = to_kernel_notation(endpoint);
  std::istringstream table(read_file("/proc/net/tcp"));
  std::string line;
  size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;  // TRANSMIT:RECEIVE, eight digits each
    fields >> number >> local >> remote >> state >> queues;
    if (state == kEstablished && remote == address) {
      bytes += std::stoull(queues.substr(0, 8), nullptr, 16);
    }
    if (state == kEstablished && local == address) {
      bytes += std::stoull(queues.substr(9), nullptr, 16);
    }
  }
  return bytes;
}

}  // namespace

ClientCrowd::ClientCrowd(const std::string& endpoint, size_t client_count, ClientScript script)
    : script_(std::move(script)), endpoint_(to_tcp_endpoint(endpoint)), block_(repeat_to_block(script_.repeated)) {
  sockets_.reserve(client_count);
  for (size_t client = 0; client < client_count; ++client) {
    asio::co_spawn(context_, run_client(sockets_.emplace_back(context_)), asio::detached);
  }
  thread_ = std::thread([this] { context_.run(); });
}

ClientCrowd::~ClientCrowd() {
  context_.stop();
  thread_.join();
}

asio::awaitable<void> ClientCrowd::run_client(tcp::socket& socket) {
  auto [error] = co_await socket.async_connect(endpoint_, kAwaitWithError);
  if (!error) {
    std::tie(error, std::ignore) = co_await asio::async_write(
        socket, asio::const_buffer(script_.begin.data(), script_.begin.size()), kAwaitWithError);
  }
  const size_t unit = std::max<size_t>(1, script_.repeated.size());
  size_t left = script_.repeated_bytes / unit * unit;
  while (!error && left > 0) {
    const asio::const_buffer piece(block_.data(), std::min(block_.size(), left));
    std::tie(error, std::ignore) = co_await asio::async_write(socket, piece, kAwaitWithError);
    sent_bytes_ += error ? 0 : piece.size();
    left -= script_.repeated_bytes == ClientScript::kWithoutEnd ? 0 : piece.size();
  }
  disconnected_count_ += error ? 1 : 0;
  ++finished_count_;
}

bool ClientCrowd::wait_until_settled(std::chrono::milliseconds timeout) const {
  return wait_until([this] { return finished_count_ == sockets_.size() && unread_bytes(endpoint_) == 0; }, timeout);
}

}  // namespace larchlever::integration
