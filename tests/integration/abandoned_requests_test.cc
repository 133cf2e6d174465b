#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <thread>

#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallerCount = 20;
/// Shorter than the lease of an entry, which therefore sends requests to servers at once when it resumes.
constexpr auto kCallerPatience = milliseconds(600);
/// A resumed entry reads all that its sockets hold within this time.
constexpr auto kReadTime = milliseconds(700);

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(2); }

/// Callers of the route `orders`, whose requests may run at most once.
class AbandonedRequests : public PlainServerFleetFixture {
 protected:
  using Socket = boost::asio::ip::tcp::socket;

  AbandonedRequests() : PlainServerFleetFixture(fleet_options(), 1) {}

  /// Sends an order without reading the response.
  Socket send_order(const std::string& entry, const std::string& id) {
    const auto [host, port] = net::split_endpoint(fleet_.caller_endpoint(entry));
    Socket caller(context_);
    caller.connect({boost::asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port))});
    const auto request = make_order(id);
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nContent-Length: 0\r\n";
    for (const auto& [name, value] : request.headers.all()) {
      bytes += name + ": " + value + "\r\n";
    }
    boost::asio::write(caller, boost::asio::buffer(bytes + "\r\n"));
    return caller;
  }
  int64_t count_arrivals(const std::string& id) const {
    const auto arrivals = servers_.front()->arrivals();
    return std::count_if(arrivals.begin(), arrivals.end(),
                         [&id](const auto& arrival) { return arrival.request_id == id; });
  }

  boost::asio::io_context context_;
};

// A suspended entry sent the requests that its sockets held to servers when it resumed, although their callers had
// closed the connections. An order that its caller sent again through another entry meanwhile ran twice.
TEST_F(AbandonedRequests, AreNotSentByAnEntryThatResumes) {
  fleet_.signal("e1", SIGSTOP);
  std::vector<std::string> ids;
  std::vector<Socket> callers;
  for (int number = 0; number < kCallerCount; ++number) {
    ids.push_back("e1-order-" + std::to_string(number));
    callers.push_back(send_order("e1", ids.back()));
  }
  std::this_thread::sleep_for(kCallerPatience);
  callers.clear();
  BlockingClient client;
  for (const auto& id : ids) {
    const auto result = client.fetch(fleet_.caller_endpoint("e2"), make_order(id), seconds(3));
    EXPECT_TRUE(result.response && result.response->status == http_status::kOk) << id << ": " << result.error;
  }
  fleet_.signal("e1", SIGCONT);
  std::this_thread::sleep_for(kReadTime);
  for (const auto& id : ids) {
    EXPECT_EQ(count_arrivals(id), 1) << id;
  }
}

}  // namespace
}  // namespace larchlever::integration
