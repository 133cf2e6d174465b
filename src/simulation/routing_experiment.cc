#include <algorithm>
#include <cmath>
#include <random>

#include "core/routing/router.h"
#include "emulator/engine_model.h"
#include "simulation/event_queue.h"
#include "simulation/experiment_runs.h"

namespace larchlever::simulation {

namespace {

constexpr int kGroups = 12;
constexpr int kEntries = 9;
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kReportLag = milliseconds(400);
constexpr int kPrefixes = 120;
constexpr int kPrefixBlocks = 48;
constexpr int kTokensPerBlock = 16;
constexpr double kFirstTokenGoalMs = 330;

double quantile(std::vector<double>& samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  return samples[std::min(samples.size() - 1, static_cast<size_t>(share * static_cast<double>(samples.size())))];
}

/// Entries with routers of their own before modelled engines.
class RoutingWorld {
 public:
  RoutingWorld(const Experiment& experiment, routing::RoutingPolicy policy, uint64_t seed)
      : experiment_(experiment), random_(seed) {
    emulator::EngineModelOptions options;
    options.most_running = 32;
    options.cache_blocks = 16 * kPrefixBlocks;
    options.prefill_per_token = microseconds(200);
    for (int group = 0; group < kGroups; ++group) {
      engines_.emplace_back(options);
      loads_.emplace_back();
    }
    const auto records = routing_records(kGroups);
    for (int entry = 0; entry < kEntries; ++entry) {
      routers_.emplace_back(policy, seed + static_cast<uint64_t>(entry));
      routers_.back().set_table(routing::RoutingTable(records));
      routers_.back().set_configuration_lease(TimePoint::max());
    }
  }

  std::map<std::string, double> run() {
    report();
    arrive();
    queue_.run_until(TimePoint(seconds(experiment_.duration_seconds)), [] { return false; });
    uint64_t cached = 0;
    uint64_t total = 0;
    for (const auto& engine : engines_) {
      cached += engine.cached_prompt_tokens();
      total += engine.total_prompt_tokens();
    }
    const auto good = static_cast<double>(std::count_if(first_token_ms_.begin(), first_token_ms_.end(),
                                                        [](double value) { return value <= kFirstTokenGoalMs; }));
    return {{"prefix_hit_share", total == 0 ? 0 : static_cast<double>(cached) / static_cast<double>(total)},
            {"first_token_ms_p50", quantile(first_token_ms_, 0.5)},
            {"first_token_ms_p95", quantile(first_token_ms_, 0.95)},
            {"first_token_ms_p99", quantile(first_token_ms_, 0.99)},
            {"between_tokens_ms_p95", quantile(between_ms_, 0.95)},
            {"good_requests_per_second", good / static_cast<double>(experiment_.duration_seconds)}};
  }

 private:
  struct Request {
    int entry = 0;
    int group = 0;
    TimePoint arrived{};
    TimePoint last{};
    bool started = false;
  };

  /// Entries learn the engines' load as it was some time ago.
  void report() {
    for (size_t group = 0; group < engines_.size(); ++group) {
      loads_[group].push_back(static_cast<int>(engines_[group].running() + engines_[group].waiting()));
    }
    const auto lag = static_cast<size_t>(kReportLag / kReportInterval) + 1;
    std::vector<wire::GroupLease> leases;
    for (int64_t id = 1; id <= kGroups; ++id) {
      const auto& history = loads_[static_cast<size_t>(id - 1)];
      wire::GroupLease lease;
      lease.group_id = id;
      lease.epoch = 1;
      lease.load = history.size() > lag ? history[history.size() - 1 - lag] : 0;
      leases.push_back(lease);
    }
    for (auto& router : routers_) {
      router.set_leases(leases, TimePoint::max());
    }
    queue_.after(kReportInterval, [this] { report(); });
  }

  void arrive() {
    std::exponential_distribution<double> gap(static_cast<double>(experiment_.requests_per_second) / 1e6);
    queue_.after(Duration(static_cast<int64_t>(gap(random_))), [this] {
      dispatch();
      arrive();
    });
  }

  void dispatch() {
    // A few prefixes carry most requests.
    const double skewed = std::pow(std::uniform_real_distribution<double>(0, 1)(random_), 2.0);
    const auto prefix = static_cast<uint64_t>(skewed * kPrefixes) + 1;
    const int entry = std::uniform_int_distribution<int>(0, kEntries - 1)(random_);
    routing::RouteQuery query;
    query.tenant = "t";
    query.model = "model";
    query.prefix_hash = prefix * 0x9E3779B97F4A7C15ULL | 1U;
    const auto decision = routers_[static_cast<size_t>(entry)].route(queue_.now(), query);
    const auto group = static_cast<int>(decision.group->id) - 1;
    routers_[static_cast<size_t>(entry)].record_dispatch(group + 1);
    emulator::EngineRequest work;
    work.id = next_++;
    work.prompt_tokens = kPrefixBlocks * kTokensPerBlock + std::uniform_int_distribution<int>(20, 200)(random_);
    work.output_tokens = std::uniform_int_distribution<int>(20, 200)(random_);
    for (uint64_t block = 0; block < kPrefixBlocks; ++block) {
      work.prefix_blocks.push_back(prefix * 1000 + block);
    }
    requests_[work.id] = Request{entry, group, queue_.now(), queue_.now(), false};
    auto& engine = engines_[static_cast<size_t>(group)];
    const bool idle = !engine.next_step_end();
    engine.submit(queue_.now(), std::move(work));
    if (idle) {
      schedule(group);
    }
  }

  void schedule(int group) {
    const auto end = engines_[static_cast<size_t>(group)].next_step_end();
    if (end) {
      queue_.at(*end, [this, group] {
        for (const auto& token : engines_[static_cast<size_t>(group)].advance(queue_.now())) {
          produced(token);
        }
        schedule(group);
      });
    }
  }

  void produced(const emulator::TokenProduced& token) {
    auto found = requests_.find(token.request);
    Request& request = found->second;
    const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) / 1000.0; };
    if (request.started) {
      between_ms_.push_back(ms(queue_.now() - request.last));
    } else {
      first_token_ms_.push_back(ms(queue_.now() - request.arrived));
    }
    request.started = true;
    request.last = queue_.now();
    if (token.last) {
      routers_[static_cast<size_t>(request.entry)].record_completion(request.group + 1);
      requests_.erase(found);
    }
  }

  const Experiment& experiment_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<emulator::EngineModel> engines_;
  std::vector<std::vector<int>> loads_;
  std::vector<routing::Router> routers_;
  std::map<uint64_t, Request> requests_;
  uint64_t next_ = 1;
  std::vector<double> first_token_ms_;
  std::vector<double> between_ms_;
};

}  // namespace

std::map<std::string, double> run_routing(const Experiment& experiment, const std::string& policy, uint64_t seed) {
  const auto parsed = routing::parse_routing_policy(policy);
  return parsed ? RoutingWorld(experiment, *parsed, seed).run() : std::map<std::string, double>();
}

}  // namespace larchlever::simulation
