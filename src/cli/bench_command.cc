#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <functional>
#include <future>
#include <iomanip>
#include <iostream>
#include <thread>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "cli/region_bootstrap.h"
#include "core/placement/planner.h"
#include "core/routing/router.h"
#include "emulator/emulated_fleet.h"
#include "load/load_generator.h"
#include "node/logging.h"
#include "node/node_process.h"
#include "settings/change_file.h"
#include "simulation/deployment.h"
#include "storage/data_folder.h"
#include "wire/codec.h"

namespace larchlever::cli {

namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace {

using Clock = std::chrono::steady_clock;

double elapsed_ms(Clock::time_point start_time) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start_time).count();
}

int64_t thread_cpu_time_ns(std::thread& thread) {
  clockid_t clock{};
  timespec time{};
  if (::pthread_getcpuclockid(thread.native_handle(), &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

void print_measurement(const std::string& measurement, const std::string& budget, double measured,
                       const std::string& unit, bool is_within_budget) {
  std::cout << std::left << std::setw(58) << measurement << std::setw(18) << budget << std::setw(12)
            << std::setprecision(4) << measured << std::setw(8) << unit << (is_within_budget ? "met" : "NOT MET")
            << std::endl;
}

/// Time of one routing decision with 90 groups.
void bench_routing() {
  constexpr int kGroupCount = 90;
  const auto records = simulation::make_routing_records(kGroupCount);
  std::vector<wire::GroupLease> leases;
  for (int64_t id = 1; id <= kGroupCount; ++id) {
    wire::GroupLease lease;
    lease.group_id = id;
    lease.epoch = 1;
    leases.push_back(lease);
  }
  routing::Router router(routing::RoutingPolicy::kPrefixAffinity, 1);
  router.set_table(routing::RoutingTable(records));
  router.set_leases(leases, TimePoint::max());
  router.set_configuration_lease(TimePoint::max());
  routing::RouteQuery query;
  query.tenant = "t";
  query.model = "model";
  constexpr int kDecisionCount = 50'000;
  const auto started_at = Clock::now();
  for (int decision = 0; decision < kDecisionCount; ++decision) {
    query.prefix_hash = static_cast<uint64_t>(decision) * 0x9E3779B97F4A7C15ULL | 1U;
    router.route(TimePoint(), query);
  }
  const double per_decision_us = elapsed_ms(started_at) * 1000 / kDecisionCount;
  print_measurement("routing decision, 90 groups", "<= 5 us", per_decision_us, "us", per_decision_us <= 5);
}

/// Time of one placement planning pass over 1,400 machines.
void bench_planning() {
  const auto deployment = simulation::make_uniform_deployment(9, 1400, 15);
  std::map<std::string, wire::Machine> machines;
  std::map<int64_t, wire::Group> groups;
  placement::PlanningInput input{machines, groups, {}, {}, {}, {}};
  for (const auto& zone : deployment.zones) {
    for (int domain = 0; domain < zone.domains; ++domain) {
      for (int number = 0; number < zone.machines_per_domain; ++number) {
        wire::Machine machine;
        machine.zone = zone.name;
        machine.domain = zone.name + "-" + std::to_string(domain);
        machine.id = machine.domain + "-" + std::to_string(number);
        machine.accelerators = 4;
        machines[machine.id] = machine;
        input.present_machines.insert(machine.id);
      }
    }
  }
  for (const auto& write : deployment.configuration) {
    if (write.key.starts_with(config::kTemplatePrefix)) {
      input.templates.push_back(*wire::decode<wire::Template>(write.value));
    } else {
      input.tenants.push_back(*wire::decode<wire::Tenant>(write.value));
    }
  }
  const auto policy = placement::make_placement_policy("spare_aware");
  const auto started_at = Clock::now();
  const auto plan = placement::make_plan(input, *policy);
  const double duration_ms = elapsed_ms(started_at);
  print_measurement("planning pass, 1,400 servers, " + std::to_string(plan.groups_to_create.size()) + " groups",
                    "<= 50 ms", duration_ms, "ms", duration_ms <= 50);
}

/// Time to recover a replica with 100,000 log entries after its snapshot.
void bench_restart(const fs::path& folder) {
  storage::FileSystem file_system;
  storage::StorageError error;
  {
    auto replica_folder = storage::DataFolder::open(folder, file_system, error);
    consensus::RaftOutput output;
    for (int64_t index = 1; index <= 100'000; ++index) {
      wire::Command command;
      wire::ConfigurationChange change;
      change.command_id = "c" + std::to_string(index);
      change.operator_name = "bench";
      command.__set_change(change);
      wire::LogEntry entry;
      entry.index = index;
      entry.term = 1;
      entry.kind = wire::EntryKind::COMMAND;
      entry.payload = wire::encode(command);
      output.entries.push_back(std::move(entry));
    }
    replica_folder->write({&output});
  }
  const auto started_at = Clock::now();
  auto replica_folder = storage::DataFolder::open(folder, file_system, error);
  auto recovered = replica_folder->take_recovered_state();
  control::ControlState state;
  for (const auto& entry : recovered.entries) {
    state.apply(entry.index, *wire::decode<wire::Command>(entry.payload));
  }
  const double duration_ms = elapsed_ms(started_at);
  print_measurement("restart after 100,000 log entries, read and applied", "<= 2000 ms", duration_ms, "ms",
                    duration_ms <= 2000);
}

/// Log bytes, disk syncs and CPU time per claim when claims are batched.
void bench_claims(const fs::path& folder) {
  constexpr int kClaimsPerBatch = 64;
  constexpr int kBatchCount = 200;
  storage::FileSystem file_system;
  storage::StorageError error;
  auto replica_folder = storage::DataFolder::open(folder, file_system, error);
  control::ControlState state;
  size_t bytes = 0;
  double cpu_ms = 0;
  const auto started_at = Clock::now();
  for (int batch = 1; batch <= kBatchCount; ++batch) {
    const auto batch_started_at = Clock::now();
    wire::Command command;
    for (int number = 0; number < kClaimsPerBatch; ++number) {
      wire::Claim claim;
      claim.tenant = "coast-office";
      claim.key = "letter-" + std::to_string(batch * kClaimsPerBatch + number) + "-0123456789abcdef";
      claim.body_digest = number;
      claim.entry = "n" + std::to_string(number % 9);
      claim.entry_incarnation = 1'796'205'542'609'733;
      claim.nonce = claim.entry_incarnation + number;
      command.claims.claims.push_back(std::move(claim));
    }
    command.__isset.claims = true;
    consensus::RaftOutput output;
    wire::LogEntry entry;
    entry.index = batch;
    entry.term = 1;
    entry.kind = wire::EntryKind::COMMAND;
    entry.payload = wire::encode(command);
    bytes += entry.payload.size();
    state.apply(batch, *wire::decode<wire::Command>(entry.payload));
    output.entries.push_back(std::move(entry));
    cpu_ms += elapsed_ms(batch_started_at);
    replica_folder->write({&output});
  }
  const double claim_count = kClaimsPerBatch * kBatchCount;
  std::cout << "    a claim in batches of " << kClaimsPerBatch << ": " << static_cast<double>(bytes) / claim_count
            << " bytes, " << 1.0 / kClaimsPerBatch << " syncs, " << cpu_ms * 1000 / claim_count
            << " us CPU time; rate with this disk " << claim_count / elapsed_ms(started_at) * 1000 << " /s\n";
}

constexpr int kLoadShards = 3;
constexpr const char* kBackEndSettings =
    "[fleet]\nmembership_lag_ms = 0\nweight_transfer_ms = 0\n[zone a]\nmachines_per_domain = 1\nstep_us = 20\n"
    "step_per_sequence_us = 0\nprefill_per_token_us = 0\nmost_running = 4096\n[service s]\nzone = a\nports = 0\n";

/// A node on one thread with back ends and callers on several threads each, so that the node is the bottleneck.
class RequestPathBench {
 public:
  explicit RequestPathBench(const fs::path& folder) : node_context_(1) {
    std::string error;
    for (int shard = 0; shard < kLoadShards; ++shard) {
      load_shards_.push_back(std::make_unique<LoadShard>());
      load_shards_.back()->fleet->start(error);
    }
    settings::NodeSettings settings;
    settings.name = "n1";
    settings.zone = "a";
    settings.peer_address = "127.0.0.1:0";
    settings.service_address = "127.0.0.1:0";
    settings.admin_address = "127.0.0.1:0";
    settings.data_folder = folder;
    settings.control_nodes = {{"n1", "127.0.0.1:1"}};
    settings.controller.control_nodes = {"n1"};
    settings.membership_list = load_shards_.front()->fleet->membership_endpoint();
    bootstrap_region(settings, error);
    node_ = std::make_unique<node::NodeProcess>(node_context_.get_executor(), settings);
    node_->start(error);
    node_thread_ = std::thread([this] { node_context_.run(); });
    for (auto& shard : load_shards_) {
      shard->start_threads();
    }
  }

  ~RequestPathBench() {
    node_context_.stop();
    node_thread_.join();
    load_shards_.clear();
    node_->stop();
  }

  bool apply_configuration() {
    std::vector<std::string> errors;
    const std::string text =
        "[template m]\nmodel = m\nversion = 1\nmachines_per_group = 1\nrepeat = safe\n[tenant t]\ntemplate = m\nzones "
        "= a\n"
        "share_percent = 100\nmax_concurrent = 10000\n[service s]\npath_prefix = /s\nzones = a\nendpoints = " +
        endpoints() + "\n";
    wire::OperatorRequest apply_request;
    apply_request.action = wire::OperatorAction::APPLY;
    apply_request.change.command_id = "bench";
    apply_request.change.writes = *settings::parse_change_file(text, errors);
    apply_request.__isset.change = true;
    const auto reply =
        asio::co_spawn(node_context_, node_->runtime().operator_request(apply_request, std::chrono::seconds(20)),
                       asio::use_future)
            .get();
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (reply.in_force && Clock::now() < deadline) {
      const size_t leased = asio::post(node_context_, asio::use_future([this] {
                                         return node_->runtime().controller().entry().router().count_leased_groups(
                                             node::NodeRuntime::now());
                                       }))
                                .get();
      if (leased > 0) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  struct LoadRunResult {
    double seconds = 0;
    uint64_t requests = 0;
    uint64_t bytes = 0;
    double node_cpu_us = 0;
    std::vector<double> latency_ms;
  };

  /// Sends `request` to `endpoint` from `connections` concurrent callers, spread over the caller threads. Each caller
  /// waits for a response before it sends the next request.
  LoadRunResult run(const std::string& endpoint, const net::HttpRequest& request, int connections,
                    uint64_t total_requests) {
    const int64_t cpu_ns_before = thread_cpu_time_ns(node_thread_);
    const auto started_at = Clock::now();
    const int threads = std::min(connections, kLoadShards);
    std::vector<LoadRunResult> thread_results(static_cast<size_t>(threads));
    std::vector<std::future<void>> caller_tasks;
    for (int thread = 0; thread < threads; ++thread) {
      caller_tasks.push_back(asio::co_spawn(
          load_shards_[static_cast<size_t>(thread)]->caller_context,
          run_callers(endpoint, request, connections / threads, total_requests / static_cast<uint64_t>(threads),
                      thread_results[static_cast<size_t>(thread)]),
          asio::use_future));
    }
    for (auto& part : caller_tasks) {
      part.get();
    }
    LoadRunResult result;
    result.seconds = elapsed_ms(started_at) / 1000;
    for (const auto& part : thread_results) {
      result.requests += part.requests;
      result.bytes += part.bytes;
      result.latency_ms.insert(result.latency_ms.end(), part.latency_ms.begin(), part.latency_ms.end());
    }
    result.node_cpu_us = static_cast<double>(thread_cpu_time_ns(node_thread_) - cpu_ns_before) / 1000.0 /
                         static_cast<double>(std::max<uint64_t>(result.requests, 1));
    return result;
  }

  std::string node_address() const { return node_->service_address(); }
  std::string back_end_address() const { return load_shards_.front()->fleet->service_endpoints("s").front(); }

 private:
  /// One thread that runs back ends and one that runs callers.
  struct LoadShard {
    LoadShard() : back_end_context(1), caller_context(1) {
      std::vector<std::string> errors;
      fleet = std::make_unique<emulator::EmulatedFleet>(
          back_end_context.get_executor(), *emulator::parse_emulated_fleet_settings(kBackEndSettings, errors));
    }
    ~LoadShard() {
      back_end_context.stop();
      caller_context.stop();
      back_end_thread.join();
      caller_thread.join();
    }
    void start_threads() {
      back_end_thread = std::thread([this] { back_end_context.run(); });
      caller_thread = std::thread([this] {
        const auto work = asio::make_work_guard(caller_context);
        caller_context.run();
      });
    }
    asio::io_context back_end_context;
    asio::io_context caller_context;
    std::unique_ptr<emulator::EmulatedFleet> fleet;
    std::thread back_end_thread;
    std::thread caller_thread;
  };

  static asio::awaitable<void> run_callers(std::string endpoint, net::HttpRequest request, int connections,
                                           uint64_t total_requests, LoadRunResult& result) {
    const auto executor = co_await asio::this_coro::executor;
    net::HttpClient client(executor);
    uint64_t started_requests = 0;
    int running_callers = connections;
    asio::steady_timer caller_finished(executor, Clock::time_point::max());
    const auto run_caller = [&]() -> asio::awaitable<void> {
      net::OpenOptions options;
      while (started_requests < total_requests) {
        ++started_requests;
        const auto sent_at = Clock::now();
        auto response = co_await client.open(endpoint, request, options);
        while (response.stream != nullptr) {
          std::string chunk = co_await response.stream->read_some(options.timeout);
          if (chunk.empty()) {
            break;
          }
          result.bytes += chunk.size();
        }
        if (response.stream != nullptr && response.stream->head().status == 200) {
          ++result.requests;
          result.latency_ms.push_back(elapsed_ms(sent_at));
        }
      }
      --running_callers;
      caller_finished.cancel();
    };
    for (int number = 0; number < connections; ++number) {
      asio::co_spawn(executor, run_caller(), asio::detached);
    }
    while (running_callers > 0) {
      co_await caller_finished.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  std::string endpoints() const {
    std::string list;
    for (const auto& shard : load_shards_) {
      list += shard->fleet->service_endpoints("s").front() + ", ";
    }
    return list;
  }

  asio::io_context node_context_;
  std::unique_ptr<node::NodeProcess> node_;
  std::thread node_thread_;
  std::vector<std::unique_ptr<LoadShard>> load_shards_;
};

void bench_request_path(const fs::path& folder) {
  RequestPathBench bench(folder);
  if (!bench.apply_configuration()) {
    std::cout << "the benchmark node did not become ready; request path results are missing\n";
    return;
  }
  net::HttpRequest small_request;
  small_request.method = "GET";
  small_request.target = "/s/x";
  small_request.headers.add("X-Padding", std::string(900, 'x'));
  const auto direct_result = bench.run(bench.back_end_address(), small_request, 1, 3000);
  const auto proxied_result = bench.run(bench.node_address(), small_request, 1, 3000);
  const double added_p50_ms =
      load::percentile(proxied_result.latency_ms, 50) - load::percentile(direct_result.latency_ms, 50);
  const double added_p99_ms =
      load::percentile(proxied_result.latency_ms, 99) - load::percentile(direct_result.latency_ms, 99);
  print_measurement("added latency, 1 KB request, p50", "<= 0.2 ms", added_p50_ms, "ms", added_p50_ms <= 0.2);
  print_measurement("added latency, 1 KB request, p99", "<= 2 ms", added_p99_ms, "ms", added_p99_ms <= 2);
  const auto throughput_result = bench.run(bench.node_address(), small_request, 63, 60'000);
  const double requests_per_second = static_cast<double>(throughput_result.requests) / throughput_result.seconds;
  print_measurement("small requests through one entry (one thread)", ">= 15000 /s", requests_per_second, "/s",
                    requests_per_second >= 15'000);
  std::cout << "    node CPU time per small request " << throughput_result.node_cpu_us << " us; maximum for one thread "
            << 1e6 / throughput_result.node_cpu_us << " /s\n";
  net::HttpRequest stream_request;
  stream_request.method = "POST";
  stream_request.target = "/v1/chat/completions";
  stream_request.headers.add("Larchlever-Tenant", "t");
  stream_request.body = R"({"model":"m","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"go"}]})";
  const auto stream_result = bench.run(bench.node_address(), stream_request, 33, 300);
  constexpr double kEventsPerStream = 2001;
  const double events_per_second =
      static_cast<double>(stream_result.requests) * kEventsPerStream / stream_result.seconds;
  print_measurement("SSE events relayed by one entry (one thread)", ">= 150000 /s", events_per_second, "/s",
                    events_per_second >= 150'000);
  std::cout << "    node CPU time per event " << stream_result.node_cpu_us / kEventsPerStream
            << " us; maximum for one thread " << 1e6 * kEventsPerStream / stream_result.node_cpu_us
            << " /s; bytes per event "
            << static_cast<double>(stream_result.bytes) / static_cast<double>(stream_result.requests) / kEventsPerStream
            << "\n";
}

}  // namespace

int run_bench() {
  node::configure_logging("error", "");
  const fs::path folder = fs::temp_directory_path() / ("larchlever-bench-" + std::to_string(::getpid()));
  std::cout << std::left << std::setw(58) << "what" << std::setw(18) << "budget"
            << "measured\n";
  bench_routing();
  bench_planning();
  bench_restart(folder / "restart");
  bench_claims(folder / "claims");
  bench_request_path(folder / "path");
  std::error_code ignored;
  fs::remove_all(folder, ignored);
  return kExitSuccess;
}

}  // namespace larchlever::cli
