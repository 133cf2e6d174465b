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
#include "cli/region_start.h"
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

double elapsed_ms(Clock::time_point since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since).count();
}

int64_t thread_time_ns(std::thread& thread) {
  clockid_t clock{};
  timespec time{};
  if (::pthread_getcpuclockid(thread.native_handle(), &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

void print(const std::string& what, const std::string& budget, double measured, const std::string& unit, bool met) {
  std::cout << std::left << std::setw(58) << what << std::setw(18) << budget << std::setw(12) << std::setprecision(4)
            << measured << std::setw(8) << unit << (met ? "met" : "NOT MET") << std::endl;
}

/// Routing decision over ninety groups.
void bench_routing() {
  constexpr int kGroups = 90;
  const auto records = simulation::make_routing_records(kGroups);
  std::vector<wire::GroupLease> leases;
  for (int64_t id = 1; id <= kGroups; ++id) {
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
  constexpr int kDecisions = 50'000;
  const auto began = Clock::now();
  for (int decision = 0; decision < kDecisions; ++decision) {
    query.prefix_hash = static_cast<uint64_t>(decision) * 0x9E3779B97F4A7C15ULL | 1U;
    router.route(TimePoint(), query);
  }
  const double each_us = elapsed_ms(began) * 1000 / kDecisions;
  print("routing decision, 90 groups", "<= 5 us", each_us, "us", each_us <= 5);
}

/// Planning pass over 1,400 machines.
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
  const auto began = Clock::now();
  const auto plan = placement::make_plan(input, *policy);
  const double ms = elapsed_ms(began);
  print("planning pass, 1,400 servers, " + std::to_string(plan.groups_to_create.size()) + " groups", "<= 50 ms", ms,
        "ms", ms <= 50);
}

/// Restart of a replica that holds 100,000 entries after its snapshot.
void bench_restart(const fs::path& folder) {
  storage::FileSystem files;
  storage::StorageError error;
  {
    auto data = storage::DataFolder::open(folder, files, error);
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
    data->write({&output});
  }
  const auto began = Clock::now();
  auto data = storage::DataFolder::open(folder, files, error);
  auto recovered = data->take_recovered();
  control::ControlState state;
  for (const auto& entry : recovered.entries) {
    state.apply(entry.index, *wire::decode<wire::Command>(entry.payload));
  }
  const double ms = elapsed_ms(began);
  print("restart after 100,000 log entries, read and applied", "<= 2000 ms", ms, "ms", ms <= 2000);
}

/// What a claim costs the log when claims are batched.
void bench_claims(const fs::path& folder) {
  constexpr int kBatch = 64;
  constexpr int kBatches = 200;
  storage::FileSystem files;
  storage::StorageError error;
  auto data = storage::DataFolder::open(folder, files, error);
  control::ControlState state;
  size_t bytes = 0;
  double processor_ms = 0;
  const auto began = Clock::now();
  for (int batch = 1; batch <= kBatches; ++batch) {
    const auto computing = Clock::now();
    wire::Command command;
    for (int number = 0; number < kBatch; ++number) {
      wire::Claim claim;
      claim.tenant = "coast-office";
      claim.key = "letter-" + std::to_string(batch * kBatch + number) + "-0123456789abcdef";
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
    processor_ms += elapsed_ms(computing);
    data->write({&output});
  }
  const double claims = kBatch * kBatches;
  std::cout << "    a claim in batches of " << kBatch << ": " << static_cast<double>(bytes) / claims << " bytes, "
            << 1.0 / kBatch << " syncs, " << processor_ms * 1000 / claims << " us processor; with this disk "
            << claims / elapsed_ms(began) * 1000 << " /s\n";
}

constexpr int kSideThreads = 3;
constexpr const char* kBackEnds =
    "[fleet]\nmembership_lag_ms = 0\nweight_transfer_ms = 0\n[zone a]\nmachines_per_domain = 1\nstep_us = 20\n"
    "step_per_sequence_us = 0\nprefill_per_token_us = 0\nmost_running = 4096\n[service s]\nzone = a\nports = 0\n";

/// A node on one thread, with back ends and callers on several, so that the node is what limits.
class PathBench {
 public:
  explicit PathBench(const fs::path& folder) : node_context_(1) {
    std::string error;
    for (int side = 0; side < kSideThreads; ++side) {
      sides_.push_back(std::make_unique<Side>());
      sides_.back()->fleet->start(error);
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
    settings.membership_list = sides_.front()->fleet->membership_endpoint();
    begin_region(settings, error);
    node_ = std::make_unique<node::NodeProcess>(node_context_.get_executor(), settings);
    node_->start(error);
    node_thread_ = std::thread([this] { node_context_.run(); });
    for (auto& side : sides_) {
      side->run();
    }
  }

  ~PathBench() {
    node_context_.stop();
    node_thread_.join();
    sides_.clear();
    node_->stop();
  }

  bool configure() {
    std::vector<std::string> faults;
    const std::string text =
        "[template m]\nmodel = m\nversion = 1\nmachines_per_group = 1\nrepeat = safe\n[tenant t]\ntemplate = m\nzones "
        "= a\n"
        "share_percent = 100\nmax_concurrent = 10000\n[service s]\npath_prefix = /s\nzones = a\nendpoints = " +
        endpoints() + "\n";
    wire::OperatorRequest apply;
    apply.action = wire::OperatorAction::APPLY;
    apply.change.command_id = "bench";
    apply.change.writes = *settings::parse_change_file(text, faults);
    apply.__isset.change = true;
    const auto reply = asio::co_spawn(node_context_, node_->runtime().operator_request(apply, std::chrono::seconds(20)),
                                      asio::use_future)
                           .get();
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (reply.in_force && Clock::now() < deadline) {
      const size_t leased =
          asio::post(node_context_, asio::use_future([this] {
                       return node_->runtime().controller().entry().router().leased_groups(node::NodeRuntime::now());
                     }))
              .get();
      if (leased > 0) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  struct Result {
    double seconds = 0;
    uint64_t requests = 0;
    uint64_t bytes = 0;
    double node_cpu_us = 0;
    std::vector<double> latency_ms;
  };

  /// `connections` callers, spread over the caller threads, send `request` to `endpoint` in closed loops.
  Result run(const std::string& endpoint, const net::HttpRequest& request, int connections, uint64_t total) {
    const int64_t cpu_before = thread_time_ns(node_thread_);
    const auto began = Clock::now();
    const int threads = std::min(connections, kSideThreads);
    std::vector<Result> parts(static_cast<size_t>(threads));
    std::vector<std::future<void>> done;
    for (int thread = 0; thread < threads; ++thread) {
      done.push_back(asio::co_spawn(sides_[static_cast<size_t>(thread)]->call_context,
                                    callers(endpoint, request, connections / threads,
                                            total / static_cast<uint64_t>(threads), parts[static_cast<size_t>(thread)]),
                                    asio::use_future));
    }
    for (auto& part : done) {
      part.get();
    }
    Result result;
    result.seconds = elapsed_ms(began) / 1000;
    for (const auto& part : parts) {
      result.requests += part.requests;
      result.bytes += part.bytes;
      result.latency_ms.insert(result.latency_ms.end(), part.latency_ms.begin(), part.latency_ms.end());
    }
    result.node_cpu_us = static_cast<double>(thread_time_ns(node_thread_) - cpu_before) / 1000.0 /
                         static_cast<double>(std::max<uint64_t>(result.requests, 1));
    return result;
  }

  std::string node_address() const { return node_->service_address(); }
  std::string back_address() const { return sides_.front()->fleet->service_endpoints("s").front(); }

 private:
  /// Back ends on one thread and callers on another.
  struct Side {
    Side() : back_context(1), call_context(1) {
      std::vector<std::string> faults;
      fleet = std::make_unique<emulator::EmulatedFleet>(back_context.get_executor(),
                                                        *emulator::parse_emulated_fleet_settings(kBackEnds, faults));
    }
    ~Side() {
      back_context.stop();
      call_context.stop();
      back_thread.join();
      call_thread.join();
    }
    void run() {
      back_thread = std::thread([this] { back_context.run(); });
      call_thread = std::thread([this] {
        const auto work = asio::make_work_guard(call_context);
        call_context.run();
      });
    }
    asio::io_context back_context;
    asio::io_context call_context;
    std::unique_ptr<emulator::EmulatedFleet> fleet;
    std::thread back_thread;
    std::thread call_thread;
  };

  static asio::awaitable<void> callers(std::string endpoint, net::HttpRequest request, int connections, uint64_t total,
                                       Result& result) {
    const auto executor = co_await asio::this_coro::executor;
    net::HttpClient client(executor);
    uint64_t started = 0;
    int running = connections;
    asio::steady_timer finished(executor, Clock::time_point::max());
    const auto one_caller = [&]() -> asio::awaitable<void> {
      net::OpenOptions options;
      while (started < total) {
        ++started;
        const auto sent = Clock::now();
        auto opened = co_await client.open(endpoint, request, options);
        while (opened.stream != nullptr) {
          std::string piece = co_await opened.stream->read_some(options.timeout);
          if (piece.empty()) {
            break;
          }
          result.bytes += piece.size();
        }
        if (opened.stream != nullptr && opened.stream->head().status == 200) {
          ++result.requests;
          result.latency_ms.push_back(elapsed_ms(sent));
        }
      }
      --running;
      finished.cancel();
    };
    for (int number = 0; number < connections; ++number) {
      asio::co_spawn(executor, one_caller(), asio::detached);
    }
    while (running > 0) {
      co_await finished.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  std::string endpoints() const {
    std::string list;
    for (const auto& side : sides_) {
      list += side->fleet->service_endpoints("s").front() + ", ";
    }
    return list;
  }

  asio::io_context node_context_;
  std::unique_ptr<node::NodeProcess> node_;
  std::thread node_thread_;
  std::vector<std::unique_ptr<Side>> sides_;
};

void bench_path(const fs::path& folder) {
  PathBench bench(folder);
  if (!bench.configure()) {
    std::cout << "the bench's node did not come up; path figures are missing\n";
    return;
  }
  net::HttpRequest small;
  small.method = "GET";
  small.target = "/s/x";
  small.headers.add("X-Padding", std::string(900, 'x'));
  const auto direct = bench.run(bench.back_address(), small, 1, 3000);
  const auto through = bench.run(bench.node_address(), small, 1, 3000);
  const double added50 = load::percentile(through.latency_ms, 50) - load::percentile(direct.latency_ms, 50);
  const double added99 = load::percentile(through.latency_ms, 99) - load::percentile(direct.latency_ms, 99);
  print("added latency, 1 KB request, p50", "<= 0.2 ms", added50, "ms", added50 <= 0.2);
  print("added latency, 1 KB request, p99", "<= 2 ms", added99, "ms", added99 <= 2);
  const auto many = bench.run(bench.node_address(), small, 63, 60'000);
  const double rate = static_cast<double>(many.requests) / many.seconds;
  print("small requests through one entry (one thread)", ">= 15000 /s", rate, "/s", rate >= 15'000);
  std::cout << "    node processor time per small request " << many.node_cpu_us << " us, by which one thread carries "
            << 1e6 / many.node_cpu_us << " /s\n";
  net::HttpRequest stream;
  stream.method = "POST";
  stream.target = "/v1/chat/completions";
  stream.headers.add("Larchlever-Tenant", "t");
  stream.body = R"({"model":"m","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"go"}]})";
  const auto relayed = bench.run(bench.node_address(), stream, 33, 300);
  constexpr double kEventsPerStream = 2001;
  const double events = static_cast<double>(relayed.requests) * kEventsPerStream / relayed.seconds;
  print("SSE events relayed by one entry (one thread)", ">= 150000 /s", events, "/s", events >= 150'000);
  std::cout << "    node processor time per event " << relayed.node_cpu_us / kEventsPerStream
            << " us, by which one thread carries " << 1e6 * kEventsPerStream / relayed.node_cpu_us
            << " /s; bytes per event "
            << static_cast<double>(relayed.bytes) / static_cast<double>(relayed.requests) / kEventsPerStream << "\n";
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
  bench_path(folder / "path");
  std::error_code ignored;
  fs::remove_all(folder, ignored);
  return kExitDone;
}

}  // namespace larchlever::cli
