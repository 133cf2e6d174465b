#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet_node_processes.h"
#include "forms_server.h"
#include "load/fault_proxy.h"
#include "mixed_callers.h"
#include "registered_engines.h"
#include "server_reports.h"

namespace larchlever::integration {

/// What happens to connections between a partitioned entry and the servers.
enum class PartitionKind {
  kReset,      ///< Open connections are reset, and so are new ones.
  kHang,       ///< Data and new connections are held until the partition ends.
  kRefuseNew,  ///< Open connections go on; new ones are reset.
};

/// Starts three control replicas, nine entries in three zones, plain servers and engines. Each server is behind a proxy
/// that can partition it from single entries.
class PartitionedFleetFixture : public testing::Test {
 protected:
  using Clock = std::chrono::steady_clock;
  static constexpr auto kWaitTimeout = std::chrono::seconds(20);
  static constexpr int kEngines = 16;

  explicit PartitionedFleetFixture(int entries = 9) : PartitionedFleetFixture(fleet_options(entries), 3) {}
  PartitionedFleetFixture(const FleetNodeOptions& options, size_t plain_server_count)
      : fleet_(options), plain_server_count_(plain_server_count) {}

  static FleetNodeOptions fleet_options(int entries = 9) {
    auto options = FleetNodeOptions::with_three_replicas(entries);
    options.binds_entries_to_own_address = true;
    return options;
  }

  void SetUp() override {
    const auto addresses = fleet_.engine_addresses(static_cast<int>(plain_server_count_) + kEngines);
    for (const auto& address : addresses) {
      add_proxy(address + ":9000");
    }
    for (size_t number = plain_server_count_; number < addresses.size(); ++number) {
      engine_addresses_.push_back(addresses[number] + ":9000");
    }
    for (size_t number = 0; number < plain_server_count_; ++number) {
      plain_addresses_.push_back(addresses[number] + ":9000");
      plain_servers_.push_back(
          std::make_unique<FormsServer>(servers_client_, plain_addresses_.back(), std::chrono::milliseconds(10)));
    }
    RegisteredEngines::Options engine_options;
    engine_options.domains = 2;
    engine_options.servers_per_domain = kEngines / 2;
    engine_options.reported_address = [this](const std::string& address) { return proxy_endpoints_.at(address); };
    engines_ = std::make_unique<RegisteredEngines>(
        engine_options,
        std::vector<std::string>(addresses.begin() + static_cast<std::ptrdiff_t>(plain_server_count_), addresses.end()),
        fleet_.control_endpoints());
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
    reporter_ = std::thread([this] { report_until_stopped(); });
    ASSERT_TRUE(wait_until([this] { return engines_->open_group_count() >= 5; }, kWaitTimeout)) << "too few groups";
    BlockingClient client;
    for (const auto& entry : fleet_.entries()) {
      ASSERT_TRUE(wait_until([&] { return serves_all(client, entry); }, kWaitTimeout)) << entry;
    }
  }
  void TearDown() override {
    stopped_ = true;
    if (reporter_.joinable()) {
      reporter_.join();
    }
    engines_.reset();  // It uses the proxies' addresses.
    run_on_proxy_thread([this] { proxies_.clear(); });
  }

  /// Partitions entries from the servers with these addresses, or from all servers if `servers` is empty.
  void partition(const std::vector<std::string>& entries, PartitionKind kind,
                 const std::set<std::string>& servers = {}) {
    load::ProxyFaults faults;
    faults.hold = kind == PartitionKind::kHang;
    faults.refuse_connections = kind != PartitionKind::kHang;
    run_on_proxy_thread([&] {
      for (const auto& [address, proxy] : proxies_) {
        for (const auto& entry : entries) {
          if (!servers.empty() && !servers.contains(address)) {
            continue;
          }
          proxy->set_client_faults(fleet_.address(entry), faults);
          if (kind == PartitionKind::kReset) {
            proxy->reset_client(fleet_.address(entry));
          }
        }
      }
    });
  }
  void heal(const std::vector<std::string>& entries) {
    run_on_proxy_thread([&] {
      for (const auto& [address, proxy] : proxies_) {
        for (const auto& entry : entries) {
          proxy->clear_client_faults(fleet_.address(entry));
        }
      }
    });
  }

  /// From now on each further request on a connection finds this response of the server ahead of its own.
  void send_surplus_responses(const std::string& response) {
    load::ProxyFaults faults;
    faults.surplus_response = response;
    run_on_proxy_thread([&] {
      for (const auto& [address, proxy] : proxies_) {
        proxy->set_faults(faults);
      }
    });
  }
  uint64_t surplus_response_count() {
    uint64_t count = 0;
    run_on_proxy_thread([&] {
      for (const auto& [address, proxy] : proxies_) {
        count += proxy->stats().surplus_responses;
      }
    });
    return count;
  }

  /// Number of connections that the entry has opened to servers.
  uint64_t connections_from(const std::string& entry) {
    uint64_t count = 0;
    run_on_proxy_thread([&] {
      for (const auto& [address, proxy] : proxies_) {
        count += proxy->connections_from(fleet_.address(entry));
      }
    });
    return count;
  }

  /// Share of the requests sent in [from, to) at these entries that were served; 1 if there were none.
  static double served_share(const std::vector<CallResult>& results, const std::vector<std::string>& entries,
                             Clock::time_point from, Clock::time_point to) {
    int sent_count = 0;
    int served_count = 0;
    for (const auto& result : results) {
      const bool is_counted = result.sent_at >= from && result.sent_at < to &&
                              std::find(entries.begin(), entries.end(), result.entry) != entries.end();
      sent_count += is_counted ? 1 : 0;
      served_count += is_counted && result.is_served ? 1 : 0;
    }
    return sent_count == 0 ? 1 : static_cast<double>(served_count) / sent_count;
  }
  /// One line per request of these entries that was sent in [from, to) and not served.
  static std::string describe_unserved(const std::vector<CallResult>& results, const std::vector<std::string>& entries,
                                       Clock::time_point from, Clock::time_point to) {
    std::string text;
    for (const auto& result : results) {
      if (!result.is_served && result.sent_at >= from && result.sent_at < to &&
          std::find(entries.begin(), entries.end(), result.entry) != entries.end()) {
        text += "  " + std::to_string((result.sent_at - from) / std::chrono::milliseconds(1)) +
                " ms: " + result.request_id + ", after " +
                std::to_string(result.latency / std::chrono::milliseconds(1)) + " ms: " + result.description + "\n";
      }
    }
    return text;
  }
  std::vector<std::string> other_entries(const std::vector<std::string>& entries) const {
    std::vector<std::string> result;
    for (const auto& entry : fleet_.entries()) {
      if (std::find(entries.begin(), entries.end(), entry) == entries.end()) {
        result.push_back(entry);
      }
    }
    return result;
  }

  /// Checks that no unsafe request ran twice, and that none ran whose caller was told that it did not.
  void expect_promises_kept(const std::vector<CallResult>& results) {
    std::map<std::string, int> runs;
    for (const auto& server : plain_servers_) {
      for (const auto& arrival : server->arrivals()) {
        ++runs[arrival.request_id];
      }
    }
    for (const auto& arrival : engines_->arrivals_in("a")) {
      ++runs[arrival.request_id];
    }
    for (const auto& result : results) {
      if (result.kind != RequestKind::kUnsafe && result.kind != RequestKind::kUnsafeStream) {
        continue;
      }
      EXPECT_LE(runs[result.request_id], 1) << result.request_id << " ran more than once";
      EXPECT_FALSE(http_status::promises_not_run(result.status) && runs[result.request_id] > 0)
          << result.request_id << " ran, but its caller was told otherwise: " << result.description;
    }
  }

  FleetNodeProcesses fleet_;
  const size_t plain_server_count_;
  BlockingClient servers_client_;
  std::vector<std::string> plain_addresses_;
  std::vector<std::string> engine_addresses_;
  std::vector<std::unique_ptr<FormsServer>> plain_servers_;
  std::unique_ptr<RegisteredEngines> engines_;

 private:
  template <typename Action>
  void run_on_proxy_thread(const Action& action) {
    boost::asio::post(servers_client_.context(), boost::asio::use_future(action)).get();
  }
  void add_proxy(const std::string& server_address) {
    run_on_proxy_thread([&] {
      auto proxy = std::make_unique<load::FaultProxy>(servers_client_.context().get_executor());
      proxy_endpoints_[server_address] = proxy->listen();
      proxy->set_upstream(server_address);
      proxies_[server_address] = std::move(proxy);
    });
  }
  bool serves_all(BlockingClient& client, const std::string& entry) {
    const auto is_ok = [](const net::FetchResult& result) {
      return result.response && result.response->status == http_status::kOk;
    };
    const std::string id = entry + "-first-" + std::to_string(next_request_++);
    return is_ok(fleet_.call_forms(client, entry, id)) && is_ok(fleet_.call_model(client, entry, "small", id + "-s")) &&
           is_ok(fleet_.call_model(client, entry, "large", id + "-l"));
  }
  void report_until_stopped() {
    BlockingClient client;
    ReportSender reports(fleet_.control_endpoints());
    for (int64_t number = 1; !stopped_; ++number) {
      for (size_t index = 0; index < plain_addresses_.size(); ++index) {
        const auto& endpoint = proxy_endpoints_.at(plain_addresses_[index]);
        const auto report = plain_server_report(endpoint, "north", number);
        reports.send(client, "forms-" + std::to_string(index + 1), boost::json::serialize(report));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  }

  std::map<std::string, std::unique_ptr<load::FaultProxy>> proxies_;
  std::map<std::string, std::string> proxy_endpoints_;
  std::thread reporter_;
  std::atomic<bool> stopped_ = false;
  int next_request_ = 0;
};

}  // namespace larchlever::integration
