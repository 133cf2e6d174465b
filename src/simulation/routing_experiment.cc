#include <algorithm>
#include <cmath>
#include <random>

#include "core/routing/router.h"
#include "emulator/engine_model.h"
#include "simulation/event_queue.h"
#include "simulation/experiment_runs.h"

namespace larchlever::simulation {

namespace {

constexpr int kGroupCount = 12;
constexpr int kEntryCount = 9;
constexpr Duration kLoadReportInterval = milliseconds(250);
constexpr Duration kLoadReportLag = milliseconds(400);
constexpr int kPrefixCount = 120;
constexpr int kBlocksPerPrefix = 48;
constexpr int kTokensPerBlock = 16;
constexpr double kFirstTokenTargetMs = 330;

double quantile(std::vector<double>& samples, double fraction) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  return samples[std::min(samples.size() - 1, static_cast<size_t>(fraction * static_cast<double>(samples.size())))];
}

/// Simulates several entries, each with its own router, that dispatch requests to simulated engines.
class RoutingSimulation {
 public:
  RoutingSimulation(const Experiment& experiment, routing::RoutingPolicy policy, uint64_t seed)
      : experiment_(experiment), random_(seed) {
    emulator::EngineModelOptions options;
    options.max_running_requests = 32;
    options.max_cached_blocks = 16 * kBlocksPerPrefix;
    options.prefill_time_per_token = microseconds(200);
    for (int group = 0; group < kGroupCount; ++group) {
      engines_.emplace_back(options);
      load_histories_.emplace_back();
    }
    const auto records = make_routing_records(kGroupCount);
    for (int entry = 0; entry < kEntryCount; ++entry) {
      routers_.emplace_back(policy, seed + static_cast<uint64_t>(entry));
      routers_.back().set_table(routing::RoutingTable(records));
      routers_.back().set_configuration_lease(TimePoint::max());
    }
  }

  std::map<std::string, double> run() {
    report_loads();
    schedule_next_request();
    queue_.run_until(TimePoint(seconds(experiment_.duration_seconds)), [] { return false; });
    uint64_t cached_tokens = 0;
    uint64_t total_tokens = 0;
    for (const auto& engine : engines_) {
      cached_tokens += engine.cached_prompt_tokens();
      total_tokens += engine.total_prompt_tokens();
    }
    const auto requests_within_target = static_cast<double>(std::count_if(
        first_token_ms_.begin(), first_token_ms_.end(), [](double value) { return value <= kFirstTokenTargetMs; }));
    return {{"prefix_hit_share",
             total_tokens == 0 ? 0 : static_cast<double>(cached_tokens) / static_cast<double>(total_tokens)},
            {"first_token_ms_p50", quantile(first_token_ms_, 0.5)},
            {"first_token_ms_p95", quantile(first_token_ms_, 0.95)},
            {"first_token_ms_p99", quantile(first_token_ms_, 0.99)},
            {"between_tokens_ms_p95", quantile(between_tokens_ms_, 0.95)},
            {"good_requests_per_second", requests_within_target / static_cast<double>(experiment_.duration_seconds)}};
  }

 private:
  struct InFlightRequest {
    int entry = 0;
    int group = 0;
    TimePoint arrived_at{};
    TimePoint last_token_at{};
    bool has_first_token = false;
  };

  /// Reports to all routers the engine loads of `kLoadReportLag` ago.
  void report_loads() {
    for (size_t group = 0; group < engines_.size(); ++group) {
      load_histories_[group].push_back(
          static_cast<int>(engines_[group].running_count() + engines_[group].waiting_count()));
    }
    const auto lag_in_reports = static_cast<size_t>(kLoadReportLag / kLoadReportInterval) + 1;
    std::vector<wire::GroupLease> leases;
    for (int64_t id = 1; id <= kGroupCount; ++id) {
      const auto& history = load_histories_[static_cast<size_t>(id - 1)];
      wire::GroupLease lease;
      lease.group_id = id;
      lease.epoch = 1;
      lease.load = history.size() > lag_in_reports ? history[history.size() - 1 - lag_in_reports] : 0;
      leases.push_back(lease);
    }
    for (auto& router : routers_) {
      router.set_leases(leases, TimePoint::max());
    }
    queue_.schedule_after(kLoadReportInterval, [this] { report_loads(); });
  }

  void schedule_next_request() {
    std::exponential_distribution<double> interval(static_cast<double>(experiment_.requests_per_second) / 1e6);
    queue_.schedule_after(Duration(static_cast<int64_t>(interval(random_))), [this] {
      dispatch_request();
      schedule_next_request();
    });
  }

  void dispatch_request() {
    // Skewed distribution: a few prefixes account for most requests.
    const double skewed_fraction = std::pow(std::uniform_real_distribution<double>(0, 1)(random_), 2.0);
    const auto prefix = static_cast<uint64_t>(skewed_fraction * kPrefixCount) + 1;
    const int entry = std::uniform_int_distribution<int>(0, kEntryCount - 1)(random_);
    routing::RouteQuery query;
    query.tenant = "t";
    query.model = "model";
    query.prefix_hash = prefix * 0x9E3779B97F4A7C15ULL | 1U;
    const auto decision = routers_[static_cast<size_t>(entry)].route(queue_.now(), query);
    const auto group = static_cast<int>(decision.group->id) - 1;
    routers_[static_cast<size_t>(entry)].record_dispatch(group + 1);
    emulator::EngineRequest engine_request;
    engine_request.id = next_request_id_++;
    engine_request.prompt_tokens =
        kBlocksPerPrefix * kTokensPerBlock + std::uniform_int_distribution<int>(20, 200)(random_);
    engine_request.output_tokens = std::uniform_int_distribution<int>(20, 200)(random_);
    for (uint64_t block = 0; block < kBlocksPerPrefix; ++block) {
      engine_request.prefix_blocks.push_back(prefix * 1000 + block);
    }
    requests_[engine_request.id] = InFlightRequest{entry, group, queue_.now(), queue_.now(), false};
    auto& engine = engines_[static_cast<size_t>(group)];
    const bool was_idle = !engine.next_step_end();
    engine.submit(queue_.now(), std::move(engine_request));
    if (was_idle) {
      schedule_engine_step(group);
    }
  }

  void schedule_engine_step(int group) {
    const auto step_end = engines_[static_cast<size_t>(group)].next_step_end();
    if (step_end) {
      queue_.schedule_at(*step_end, [this, group] {
        for (const auto& token : engines_[static_cast<size_t>(group)].advance(queue_.now())) {
          handle_token(token);
        }
        schedule_engine_step(group);
      });
    }
  }

  void handle_token(const emulator::OutputToken& token) {
    auto found = requests_.find(token.request);
    InFlightRequest& request = found->second;
    const auto to_ms = [](Duration duration) { return static_cast<double>(duration.count()) / 1000.0; };
    if (request.has_first_token) {
      between_tokens_ms_.push_back(to_ms(queue_.now() - request.last_token_at));
    } else {
      first_token_ms_.push_back(to_ms(queue_.now() - request.arrived_at));
    }
    request.has_first_token = true;
    request.last_token_at = queue_.now();
    if (token.is_last) {
      routers_[static_cast<size_t>(request.entry)].record_completion(request.group + 1);
      requests_.erase(found);
    }
  }

  const Experiment& experiment_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<emulator::EngineModel> engines_;
  std::vector<std::vector<int>> load_histories_;
  std::vector<routing::Router> routers_;
  std::map<uint64_t, InFlightRequest> requests_;
  uint64_t next_request_id_ = 1;
  std::vector<double> first_token_ms_;
  std::vector<double> between_tokens_ms_;
};

}  // namespace

std::map<std::string, double> run_routing_trial(const Experiment& experiment, const std::string& policy,
                                                uint64_t seed) {
  const auto parsed_policy = routing::parse_routing_policy(policy);
  return parsed_policy ? RoutingSimulation(experiment, *parsed_policy, seed).run() : std::map<std::string, double>();
}

}  // namespace larchlever::simulation
