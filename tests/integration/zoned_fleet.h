#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "forms_server.h"
#include "registered_engines.h"
#include "server_reports.h"

namespace larchlever::integration {

/// Starts three control replicas and three entries. Each of the two zones is a region of its own with one plain server
/// and one domain of engines. Callers send requests throughout the test.
class ZonedFleetFixture : public testing::Test {
 protected:
  using Clock = std::chrono::steady_clock;
  static constexpr auto kWaitTimeout = std::chrono::seconds(15);
  static constexpr const char* kNorth = "north";
  static constexpr const char* kSouth = "south";

  static FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(3); }

  static RegisteredEngines::Options engine_options() {
    RegisteredEngines::Options options;
    options.domains = 2;
    options.servers_per_domain = 6;
    options.zones = {kNorth, kSouth};
    return options;
  }

  void SetUp() override {
    const auto addresses = fleet_.engine_addresses(2 + engine_options().domains * engine_options().servers_per_domain);
    for (const auto* zone : {kNorth, kSouth}) {
      const std::string address = addresses[plain_servers_.size()] + ":9000";
      plain_servers_.push_back({zone, address, std::make_unique<FormsServer>(servers_client_, address)});
    }
    engines_ = std::make_unique<RegisteredEngines>(
        engine_options(), std::vector<std::string>(addresses.begin() + 2, addresses.end()), fleet_.control_endpoints());
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
    reporter_ = std::thread([this] { report_until_stopped(); });
    ASSERT_TRUE(wait_until([this] { return engines_->open_group_count() >= 4; }, kWaitTimeout))
        << "too few open groups";
    for (const auto& entry : fleet_.entries()) {
      callers_.emplace_back([this, entry] { call_until_stopped(entry); });
    }
    ASSERT_TRUE(wait_until(
        [this] { return receives_requests(kNorth, Clock::now()) && receives_requests(kSouth, Clock::now()); },
        kWaitTimeout));
  }
  void TearDown() override {
    stopped_ = true;
    for (auto& caller : callers_) {
      caller.join();
    }
    if (reporter_.joinable()) {
      reporter_.join();
    }
  }

  void report_until_stopped() {
    BlockingClient client;
    ReportSender reports(fleet_.control_endpoints());
    for (int64_t number = 1; !stopped_; ++number) {
      for (const auto& server : plain_servers_) {
        const auto report = plain_server_report(server.address, server.zone, number);
        reports.send(client, "forms-" + server.zone, boost::json::serialize(report));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  }
  /// Sends requests for the plain service, the small and the large model in turn.
  void call_until_stopped(const std::string& entry) {
    BlockingClient client;
    for (int number = 0; !stopped_; ++number) {
      const std::string id = entry + "-" + std::to_string(number);
      net::FetchResult result;
      if (number % 3 == 0) {
        result = fleet_.call_forms(client, entry, id);
      } else {
        result = fleet_.call_model(client, entry, number % 3 == 1 ? "small" : "large", id);
      }
      ++sent_count_;
      served_count_ += result.response && result.response->status == http_status::kOk ? 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  /// All requests that reached servers in a zone.
  std::vector<Arrival> arrivals_in(const std::string& zone) {
    auto all = engines_->arrivals_in(zone);
    for (const auto& server : plain_servers_) {
      if (server.zone == zone) {
        const auto plain_arrivals = server.server->arrivals();
        all.insert(all.end(), plain_arrivals.begin(), plain_arrivals.end());
      }
    }
    return all;
  }
  /// Number of requests that reached servers in a zone in the given time interval.
  int64_t count_arrivals(const std::string& zone, Clock::time_point from, Clock::time_point to) {
    const auto all = arrivals_in(zone);
    return std::count_if(all.begin(), all.end(),
                         [&](const auto& arrival) { return arrival.at >= from && arrival.at < to; });
  }
  /// Whether both the plain server and the engines in a zone got requests in the second before `at`.
  bool receives_requests(const std::string& zone, Clock::time_point at) {
    const auto is_recent = [at](const Arrival& arrival) { return arrival.at > at - std::chrono::seconds(1); };
    const auto engines = engines_->arrivals_in(zone);
    const bool reached_plain_server =
        std::any_of(plain_servers_.begin(), plain_servers_.end(), [&](const auto& server) {
          const auto list = server.server->arrivals();
          return server.zone == zone && std::any_of(list.begin(), list.end(), is_recent);
        });
    return reached_plain_server && std::any_of(engines.begin(), engines.end(), is_recent);
  }

  struct PlainServer {
    std::string zone;
    std::string address;
    std::unique_ptr<FormsServer> server;
  };

  FleetNodeProcesses fleet_{fleet_options()};
  BlockingClient servers_client_;
  std::vector<PlainServer> plain_servers_;
  std::unique_ptr<RegisteredEngines> engines_;
  std::thread reporter_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> sent_count_ = 0;
  std::atomic<int> served_count_ = 0;
};

}  // namespace larchlever::integration
