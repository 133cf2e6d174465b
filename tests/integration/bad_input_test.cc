#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "process_fleet.h"

namespace larchlever::integration {
namespace {

namespace asio = boost::asio;

/// Sends raw bytes and returns everything received until the peer closes the connection or 20 s have passed.
std::string exchange_raw(const std::string& endpoint, const std::string& bytes, bool keep_write_side_open = false) {
  const auto [host, port] = net::split_endpoint(endpoint);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port))}, error);
  EXPECT_FALSE(error) << error.message();
  asio::write(socket, asio::buffer(bytes), error);
  if (!keep_write_side_open) {
    socket.shutdown(asio::socket_base::shutdown_send, error);
  }
  std::string received;
  asio::steady_timer timer(context, std::chrono::seconds(20));
  timer.async_wait([&](boost::system::error_code expired) {
    if (!expired) {
      socket.close();
    }
  });
  asio::async_read(socket, asio::dynamic_buffer(received), [&](boost::system::error_code, size_t) { timer.cancel(); });
  context.run();
  return received;
}

TEST(BadInput, IsRejectedWithProblemResponseAndNodeKeepsServing) {
  ProcessFleet fleet({3, 1, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::string& node = fleet.service_address("n2");

  EXPECT_NE(exchange_raw(node, "NONSENSE\r\n\r\n").find("400"), std::string::npos);
  EXPECT_NE(exchange_raw(node, "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'a') + "\r\n\r\n").find("413"),
            std::string::npos);
  EXPECT_NE(
      exchange_raw(node, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n").find("413"),
      std::string::npos);
  exchange_raw(node, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf");

  const auto status_of = [&](const std::string& body, const std::string& tenant = "north") {
    auto request = fleet.model_request("x", 1, false);
    request.body = body;
    request.headers.set("Larchlever-Tenant", tenant);
    const auto result = fleet.fetch("n2", request);
    EXPECT_TRUE(result.response);
    EXPECT_EQ(result.response->headers.find("larchlever-outcome"), "not-run");
    EXPECT_EQ(result.response->headers.find("content-type"), "application/problem+json");
    return result.response->status;
  };
  EXPECT_EQ(status_of("{"), 400);
  EXPECT_EQ(status_of("[]"), 400);
  EXPECT_EQ(status_of("{\"model\":\"\xff\xfe\"}"), 400);
  EXPECT_EQ(status_of(std::string(2000, '[')), 400);
  EXPECT_EQ(status_of(R"({"model":"census","messages":"hello"})"), 400);
  EXPECT_EQ(status_of(R"({"model":"census","messages":[{"role":"user","content":"x"}]})", "nobody"), 403);
  EXPECT_EQ(status_of(R"({"model":"other","messages":[{"role":"user","content":"x"}]})"), 404);
  EXPECT_EQ(status_of(R"({"model":"census:unknown","messages":[{"role":"user","content":"x"}]})"), 403);

  // Invalid data on the peer port: the connection is dropped and counted, and the node keeps running.
  exchange_raw(fleet.peer_address("n1"), "GET / HTTP/1.1\r\n\r\n" + std::string(200, '\x07'));
  std::string malformed_frame = "1ELL";
  malformed_frame += std::string(12, '\x7f');
  exchange_raw(fleet.peer_address("n1"), malformed_frame);
  net::HttpRequest metrics;
  metrics.target = "/metrics";
  const auto counters = fleet.fetch_endpoint(fleet.admin_address("n1"), metrics);
  ASSERT_TRUE(counters.response);
  EXPECT_EQ(counters.response->body.find("larchlever_peer_bad_frames_total 0\n"), std::string::npos);

  const auto good = fleet.fetch("n2", fleet.model_request("still here", 2, false));
  ASSERT_TRUE(good.response);
  EXPECT_EQ(good.response->status, 200);
}

TEST(BadInput, TruncatedBackEndResponseIsNotRelayedAsComplete) {
  ProcessFleet fleet({3, 1, "[requests]\nfirst_byte_timeout_ms = 1500\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  net::HttpRequest post;
  post.method = "POST";
  post.target = "/forms/cut?cut=1";
  post.body = "cut-post";
  const auto cut_response = fleet.fetch("n3", post);
  EXPECT_FALSE(cut_response.response && cut_response.response->status == 200)
      << "a truncated response was relayed as complete";
  int runs = 0;
  for (const auto& execution : fleet.executions()) {
    runs += execution.tag == "cut-post" ? 1 : 0;
  }
  EXPECT_EQ(runs, 1) << "an unsafe request was retried";
  post.target = "/forms/late?delay_ms=4000";
  post.body = "late-post";
  const auto late_response = fleet.fetch("n3", post);
  ASSERT_TRUE(late_response.response);
  EXPECT_EQ(late_response.response->status, 502);
  EXPECT_EQ(late_response.response->headers.find("larchlever-outcome"), "unknown");
}

TEST(BadInput, SafeStreamResumesOnAnotherMachineAfterMachineLoss) {
  ProcessFleet fleet({3, 1, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  auto request = fleet.model_request("a long letter", 500, true);
  request.headers.add("Larchlever-Repeat", "safe");
  auto pending_fetch = std::async(std::launch::async, [&] { return fleet.fetch("n2", request); });
  std::string machine;
  ASSERT_TRUE(wait_until([&] {
    for (const auto& execution : fleet.executions()) {
      machine = execution.tag == "a long letter" ? execution.machine : machine;
    }
    return !machine.empty();
  }));
  ASSERT_TRUE(fleet.inject_fault(machine, "die"));
  const auto whole = pending_fetch.get();
  ASSERT_TRUE(whole.response) << whole.error;
  EXPECT_TRUE(whole.response->body.ends_with("data: [DONE]\n\n"))
      << whole.response->status << " " << whole.response->body.substr(0, 400);
  size_t events = 0;
  for (size_t at = whole.response->body.find("\"content\""); at != std::string::npos;
       at = whole.response->body.find("\"content\"", at + 1)) {
    ++events;
  }
  EXPECT_EQ(events, 500U) << "every token must arrive exactly once";
}

}  // namespace
}  // namespace larchlever::integration
