#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "registered_engines.h"

namespace larchlever::integration {

/// Starts control replicas, entries and engine servers in open groups.
class EngineFleetFixture : public testing::Test {
 protected:
  static constexpr auto kWaitTimeout = std::chrono::seconds(15);
  static constexpr auto kRequestInterval = std::chrono::milliseconds(66);

  explicit EngineFleetFixture(const FleetNodeOptions& options) : fleet_(options) {}

  /// Starts all processes and waits until `open_group_count` groups are open.
  void start(const RegisteredEngines::Options& options, int open_group_count) {
    engines_ = std::make_unique<RegisteredEngines>(options, fleet_);
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
    ASSERT_TRUE(wait_until([&] { return engines_->open_group_count() >= open_group_count; }, kWaitTimeout))
        << "too few open groups";
  }
  /// Starts 16 servers in two domains.
  void start() {
    RegisteredEngines::Options options;
    options.domains = 2;
    options.servers_per_domain = 8;
    start(options, 5);
  }

  bool request_succeeds(BlockingClient& client, const std::string& entry) {
    const std::string id = entry + "-" + std::to_string(++next_request_);
    const auto result = fleet_.call_model(client, entry, "small", id, "{\"n\":\"" + id + "\"}");
    return result.response && result.response->status == http_status::kOk;
  }

  /// Waits until every entry serves requests for the small model.
  void wait_until_entries_serve() {
    BlockingClient client;
    for (const auto& entry : fleet_.entries()) {
      ASSERT_TRUE(wait_until([&] { return request_succeeds(client, entry); }, kWaitTimeout));
    }
  }
  /// For `time`, one caller at each entry sends requests with a pause of `kRequestInterval`. The requests are counted
  /// in `sent_count_` and `served_count_`.
  void send_load_for(std::chrono::steady_clock::duration time) {
    std::vector<std::thread> callers;
    for (const auto& entry : fleet_.entries()) {
      callers.emplace_back([this, entry, time] {
        BlockingClient client;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
          ++sent_count_;
          served_count_ += request_succeeds(client, entry) ? 1 : 0;
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
  }

  FleetNodeProcesses fleet_;
  std::unique_ptr<RegisteredEngines> engines_;
  std::atomic<int> sent_count_ = 0;
  std::atomic<int> served_count_ = 0;

 private:
  std::atomic<int> next_request_ = 0;
};

}  // namespace larchlever::integration
