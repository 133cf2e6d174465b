#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/base/http_status.h"
#include "node/dialect.h"
#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a server does with the body of a request that it has rejected after its head.
enum class RestOfBody { kReadsLater, kReadsNever, kCloses };

/// A plain server that rejects every order as not run once its head is in.
class EarlyRejectingServer {
 public:
  EarlyRejectingServer(const std::string& address, RestOfBody rest) : rest_(rest) {
    const auto [host, port] = net::split_endpoint(address);
    const tcp::endpoint endpoint(asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port)));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accepting_ = std::thread([this] { accept_until_closed(); });
  }
  ~EarlyRejectingServer() {
    is_stopped_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    accepting_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : open_sockets_) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    for (auto& connection : connections_) {
      connection.join();
    }
  }
  EarlyRejectingServer(const EarlyRejectingServer&) = delete;
  EarlyRejectingServer& operator=(const EarlyRejectingServer&) = delete;

  int rejected_count() const { return rejected_count_; }

 private:
  static constexpr auto kReadDelay = milliseconds(200);

  void accept_until_closed() {
    while (true) {
      tcp::socket socket(context_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      const std::lock_guard lock(mutex_);
      open_sockets_.insert(socket.native_handle());
      connections_.emplace_back([this, moved = std::move(socket)]() mutable { serve(std::move(moved)); });
    }
  }
  static std::string value_of(const std::string& head, const std::string& name) {
    const size_t at = head.find("\r\n" + name + ": ");
    const size_t begin = at + name.size() + 4;
    return at == std::string::npos ? "" : head.substr(begin, head.find("\r\n", begin) - begin);
  }
  void serve(tcp::socket socket) {
    std::string received;
    boost::system::error_code error;
    while (!error) {
      const size_t head_bytes = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
      if (error) {
        break;
      }
      const std::string head = received.substr(0, head_bytes);
      received.erase(0, head_bytes);
      const std::string length = value_of(head, "Content-Length");
      const size_t body_bytes = length.empty() ? 0 : std::stoul(length);
      const auto& dialect = *node::find_dialect("larchlever");
      const bool is_order = head.starts_with("POST");
      const std::string response = "HTTP/1.1 " + std::string(is_order ? "503 Busy" : "200 OK") + "\r\n" +
                                   dialect.request_id_header + ": " + value_of(head, dialect.request_id_header) +
                                   "\r\n" + (is_order ? dialect.not_run_header : dialect.signature_header) +
                                   ": 1\r\nContent-Length: 0\r\n\r\n";
      asio::write(socket, asio::buffer(response), error);
      rejected_count_ += is_order ? 1 : 0;
      if (is_order && rest_ == RestOfBody::kCloses) {
        break;
      }
      if (is_order && rest_ == RestOfBody::kReadsNever) {
        while (!is_stopped_) {
          std::this_thread::sleep_for(kReadDelay);
        }
        break;
      }
      std::this_thread::sleep_for(is_order ? milliseconds(kReadDelay) : milliseconds(0));
      if (received.size() < body_bytes) {
        asio::read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(body_bytes - received.size()), error);
      }
      received.erase(0, body_bytes);
    }
    const std::lock_guard lock(mutex_);
    open_sockets_.erase(socket.native_handle());
    socket.close(error);
  }

  const RestOfBody rest_;
  asio::io_context context_;
  tcp::acceptor acceptor_{context_};
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> rejected_count_ = 0;
  std::mutex mutex_;
  std::set<int> open_sockets_;
  std::vector<std::thread> connections_;
  std::thread accepting_;
};

struct RejectionCase {
  const char* name;
  RestOfBody rest;
};

FleetNodeOptions fleet_options() {
  auto options = FleetNodeOptions::with_three_replicas(3);
  options.forms_max_attempts = 3;
  return options;
}

class EarlyRejections : public PlainServerFleetFixture, public testing::WithParamInterface<RejectionCase> {
 protected:
  static constexpr int kCallers = 6;
  static constexpr int kOrdersPerCaller = 60;
  static constexpr size_t kBodyBytes = 3U << 20U;

  EarlyRejections() : PlainServerFleetFixture(fleet_options(), 2) {}

  void SetUp() override {
    PlainServerFleetFixture::SetUp();
    const std::string address = fleet_.engine_addresses(3).back() + ":9000";
    server_ = std::make_unique<EarlyRejectingServer>(address, GetParam().rest);
    rejecting_reporter_ = std::jthread([this, address](const std::stop_token& stop) {
      BlockingClient client;
      ReportSender reports(fleet_.control_endpoints());
      for (int64_t number = 1; !stop.stop_requested(); ++number) {
        reports.send(client, "early", boost::json::serialize(plain_server_report(address, "north", number)));
        std::this_thread::sleep_for(kReportInterval);
      }
    });
  }
  void TearDown() override {
    rejecting_reporter_ = {};
    PlainServerFleetFixture::TearDown();
  }

  std::unique_ptr<EarlyRejectingServer> server_;
  std::jthread rejecting_reporter_;
};

// A request that may run once ran twice, or was refused and ran, beside a server that rejects long requests before it
// has read them.
TEST_P(EarlyRejections, LeadToNoSecondRunAndNoBrokenPromise) {
  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      BlockingClient client;
      for (int number = 0; number < kOrdersPerCaller; ++number) {
        const auto entries = fleet_.entries();
        const auto& entry = entries[static_cast<size_t>(caller + number) % entries.size()];
        auto order = make_order(entry + "-" + std::to_string(caller) + "-" + std::to_string(number));
        order.body = std::string(kBodyBytes, 'x');
        const auto result = client.fetch(fleet_.caller_endpoint(entry), order, seconds(5));
        const std::lock_guard lock(mutex);
        statuses[std::string(order.headers.find("Larchlever-Request-Id"))] =
            result.response ? result.response->status : 0;
      }
    });
  }
  callers.clear();
  std::map<std::string, int> runs;
  for (const auto& server : servers_) {
    for (const auto& arrival : server->arrivals()) {
      ++runs[arrival.request_id];
    }
  }
  std::map<int, int> counts;
  for (const auto& [id, status] : statuses) {
    ++counts[status];
    EXPECT_LE(runs[id], 1) << id << " got " << status;
    EXPECT_FALSE(http_status::promises_not_run(status) && runs[id] > 0) << id << " got " << status;
  }
  EXPECT_GT(server_->rejected_count(), 0);
  for (const auto& [status, count] : counts) {
    RecordProperty("status_" + std::to_string(status), count);
  }
  RecordProperty("rejected", server_->rejected_count());
}

INSTANTIATE_TEST_SUITE_P(Rest, EarlyRejections,
                         testing::Values(RejectionCase{"ReadLater", RestOfBody::kReadsLater},
                                         RejectionCase{"ReadNever", RestOfBody::kReadsNever},
                                         RejectionCase{"Closed", RestOfBody::kCloses}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace larchlever::integration
