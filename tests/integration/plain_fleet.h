#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "forms_server.h"
#include "server_reports.h"

namespace larchlever::integration {

/// The response that a caller got, with its times.
struct TimedResponse {
  int status = 0;
  double retry_after_seconds = 0;
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::duration latency{};
};

inline bool is_served(const TimedResponse& timed_response) { return timed_response.status == http_status::kOk; }

/// Starts control replicas, entries with callers of their own, and plain servers `i1`, `i2`, ... that report themselves
/// as ready.
class PlainServerFleetFixture : public testing::Test {
 protected:
  using Clock = std::chrono::steady_clock;
  static constexpr auto kWaitTimeout = std::chrono::seconds(15);
  static constexpr auto kRequestInterval = std::chrono::milliseconds(66);
  static constexpr auto kReportInterval = std::chrono::milliseconds(400);

  PlainServerFleetFixture(const FleetNodeOptions& options, int servers) : fleet_(options) {
    for (const auto& address : fleet_.engine_addresses(servers)) {
      addresses_.push_back(address + ":9000");
      servers_.push_back(std::make_unique<FormsServer>(servers_client_, addresses_.back()));
    }
  }

  void SetUp() override {
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
    reporter_ = std::thread([this] { report_until_stopped(); });
    BlockingClient client;
    for (const auto& entry : fleet_.entries()) {
      ASSERT_TRUE(wait_until([&] { return is_served(call(client, entry)); }, kWaitTimeout));
    }
    ASSERT_TRUE(wait_until(
        [&] {
          call(client, "e1");
          return std::all_of(servers_.begin(), servers_.end(),
                             [](const auto& server) { return server->served_count() > 0; });
        },
        kWaitTimeout));
  }
  void TearDown() override {
    stopped_ = true;
    if (reporter_.joinable()) {
      reporter_.join();
    }
  }

  TimedResponse call(BlockingClient& client, const std::string& entry) {
    TimedResponse timed_response;
    timed_response.sent_at = Clock::now();
    const auto result = fleet_.call_forms(client, entry, entry + "-" + std::to_string(next_request_++));
    timed_response.latency = Clock::now() - timed_response.sent_at;
    if (result.response) {
      timed_response.status = result.response->status;
      timed_response.retry_after_seconds = std::atof(std::string(result.response->headers.find("retry-after")).c_str());
    }
    return timed_response;
  }

  /// For `time`, sends 15 requests per second to each of `entries`.
  std::vector<TimedResponse> send_load_for(Clock::duration time, const std::vector<std::string>& entries) {
    std::vector<TimedResponse> responses;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (const auto& entry : entries) {
      callers.emplace_back([&, entry] {
        BlockingClient client;
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
          const TimedResponse timed_response = call(client, entry);
          {
            const std::lock_guard lock(mutex);
            responses.push_back(timed_response);
          }
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    return responses;
  }
  std::vector<TimedResponse> send_load_for(Clock::duration time) { return send_load_for(time, fleet_.entries()); }

  FleetNodeProcesses fleet_;
  BlockingClient servers_client_;
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<FormsServer>> servers_;
  /// Slots that the servers report, if positive. Set before `SetUp`.
  int reported_slots_ = 0;

 private:
  void report_until_stopped() {
    BlockingClient client;
    ReportSender reports(fleet_.control_endpoints());
    for (int64_t number = 1; !stopped_; ++number) {
      for (size_t index = 0; index < addresses_.size(); ++index) {
        auto report = plain_server_report(addresses_[index], "north", number);
        if (reported_slots_ > 0) {
          report["slots"] = reported_slots_;
        }
        reports.send(client, "i" + std::to_string(index + 1), boost::json::serialize(report));
      }
      std::this_thread::sleep_for(kReportInterval);
    }
  }

  std::atomic<int> next_request_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread reporter_;
};

}  // namespace larchlever::integration
