#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/engine/answer_size_estimator.h"
#include "core/engine/cost_model.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int kSlots = 12;
constexpr int kGroups = 6;
constexpr int kStepsPerPass = 8;
constexpr Duration kObjective = milliseconds(450);
constexpr double kTypicalAnswer = 170;
const engine::DeclaredAnswerSize kDeclared{200, 2000};

/// A pass takes 96 ms, plus 1.6 ms per running request, plus a millisecond per 20 prompt tokens.
document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = kSlots;
  engine.step_ms = 12;
  engine.per_sequence_ms = 0.2;
  engine.steps_per_pass = kStepsPerPass;
  engine.prefill_chunk_tokens = 1000;
  engine.prefill_tokens_per_second = 20'000;
  engine.typical_answer_tokens = kTypicalAnswer;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

/// What tells the leader how long answers are.
enum class Costs {
  kOff,      ///< Learned costs are off.
  kAlike,    ///< They are on, but no request says what is expected of it, as from an entry of an earlier release.
  kLearned,  ///< The entry predicts each answer from those before.
};

/// Engine groups that run what a scheduler grants, pass by pass, with one entry that reports every end at once.
///
/// All requests declare the same, but one of two tenants gets answers ten times as long as the other's.
class LoadedFleet {
 public:
  struct Result {
    int late = 0;
    int refused = 0;
    int in_time = 0;
    /// Arrivals times the groups that were full then.
    int full_groups = 0;
  };

  LoadedFleet(Costs costs, uint32_t seed) : costs_(costs), random_(seed) { elect_leader(); }

  /// Replaces the leader by one that knows only what the entry reports.
  void elect_leader() {
    AdmissionOptions options;
    options.learned_costs = costs_ != Costs::kOff;
    scheduler_ = SlotScheduler(options);
    scheduler_.start(++term_);
    grants_seen_ = 0;
    std::vector<wire::EngineGroup> rows;
    for (int index = 0; index < kGroups; ++index) {
      wire::EngineGroup row;
      row.name = "g" + std::to_string(index);
      row.service_name = "s";
      row.model = "m";
      row.phase = wire::GroupPhase::OPEN;
      rows.push_back(row);
      groups_[row.name];
    }
    scheduler_.set_groups(rows);
    report_loads();
  }

  /// Arrivals are random; one request of ten is of the tenant with long answers.
  void run(Duration time, double requests_per_second) {
    std::exponential_distribution<double> interval(requests_per_second);
    TimePoint next_arrival = now_;
    for (const TimePoint end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      while (next_arrival <= now_) {
        add_request();
        next_arrival += Duration(static_cast<int64_t>(interval(random_) * 1e6));
      }
      run_passes();
      deliver();
    }
  }
  const Result& result() const { return result_; }
  /// Largest number of requests that a group ever ran.
  size_t max_running() const { return max_running_; }

 private:
  struct Running {
    std::string tenant;
    TimePoint arrived_at{};
    int prompt_left = 0;
    int answer = 0;
    int answer_left = 0;
    bool has_started = false;
  };
  struct Group {
    std::vector<Running> running;
    TimePoint pass_ends_at{};
  };

  void add_request() {
    wire::SlotRequest request;
    request.id = ++last_id_;
    request.service_name = "s";
    request.model = "m";
    request.prompt_tokens = 600;
    request.first_event_ms = static_cast<int32_t>(kObjective / milliseconds(1));
    request.gap_ms = 400;
    request.patience_ms = 90;
    const bool is_long = std::uniform_int_distribution<int>(0, 9)(random_) == 0;
    const std::string tenant = is_long ? "long" : "short";
    const double usual = is_long ? 900 : 90;
    const int answer = static_cast<int>(usual * std::uniform_real_distribution<>(0.75, 1.25)(random_));
    if (costs_ == Costs::kLearned) {
      const auto predicted = estimator_.predict({tenant, "chat", "m"}, kDeclared, kTypicalAnswer);
      request.__set_answer_tokens(static_cast<int32_t>(predicted.mean));
    }
    for (const auto& [name, group] : groups_) {
      result_.full_groups += group.running.size() >= kSlots ? 1 : 0;
    }
    waiting_[request.id] = {tenant, now_, request.prompt_tokens, answer, answer, false};
    scheduler_.add_request(now_, "entry", request);
  }
  void deliver() {
    for (const auto& [node, grant] : scheduler_.decide(now_, document_)) {
      if (grant.verdict == wire::SlotVerdict::QUEUED) {
        continue;
      }
      const Running request = waiting_.at(grant.id);
      waiting_.erase(grant.id);
      if (grant.verdict == wire::SlotVerdict::GRANTED) {
        auto& running = groups_[grant.group].running;
        running.push_back(request);
        max_running_ = std::max(max_running_, running.size());
        grants_seen_ = grant.sequence;
        report_loads();
      } else {
        ++result_.refused;
      }
    }
  }
  void run_passes() {
    for (auto& [name, group] : groups_) {
      if (now_ < group.pass_ends_at || group.running.empty()) {
        continue;
      }
      const size_t before = group.running.size();
      end_pass(group);
      start_pass(group);
      if (group.running.size() != before) {
        report_loads();
      }
    }
  }
  /// Requests without a prompt left get their tokens of the pass.
  void end_pass(Group& group) {
    for (auto& request : group.running) {
      if (request.prompt_left > 0) {
        continue;
      }
      if (!request.has_started) {
        request.has_started = true;
        const bool is_late = now_ - request.arrived_at > kObjective;
        result_.late += is_late ? 1 : 0;
        result_.in_time += is_late ? 0 : 1;
      }
      request.answer_left -= kStepsPerPass;
      if (request.answer_left <= 0) {
        estimator_.observe(now_, {request.tenant, "chat", "m"}, kDeclared, request.answer);
      }
    }
    std::erase_if(group.running, [](const auto& request) { return request.answer_left <= 0; });
  }
  void start_pass(Group& group) {
    const auto& engine = *document_.services.at("s").engine;
    int room = static_cast<int>(engine::max_prefill_tokens_per_pass(engine));
    int prefill = 0;
    for (auto& request : group.running) {
      const int part = std::min(room, request.prompt_left);
      request.prompt_left -= part;
      room -= part;
      prefill += part;
    }
    group.pass_ends_at =
        now_ + engine::pass_duration(engine, engine.models.front(), static_cast<int>(group.running.size()), prefill);
  }
  void report_loads() {
    std::vector<wire::GroupLoad> loads;
    for (const auto& [name, group] : groups_) {
      wire::GroupLoad load;
      load.group = name;
      load.in_flight = static_cast<int32_t>(group.running.size());
      loads.push_back(load);
    }
    scheduler_.note_loads("entry", loads, true, term_, grants_seen_);
  }

  Costs costs_;
  engine::AnswerSizeEstimator estimator_;
  std::mt19937 random_;
  document::ConfigurationDocument document_ = engine_document();
  SlotScheduler scheduler_;
  int64_t term_ = 0;
  TimePoint now_ = kStart;
  std::map<std::string, Group> groups_;
  std::map<int64_t, Running> waiting_;
  int64_t last_id_ = 0;
  int64_t grants_seen_ = 0;
  Result result_;
  size_t max_running_ = 0;
};

LoadedFleet::Result operator+(const LoadedFleet::Result& left, const LoadedFleet::Result& right) {
  return {left.late + right.late, left.refused + right.refused, left.in_time + right.in_time,
          left.full_groups + right.full_groups};
}

LoadedFleet::Result run_seeds(Costs costs, double requests_per_second) {
  LoadedFleet::Result sum;
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    LoadedFleet fleet(costs, seed);
    fleet.run(seconds(60), requests_per_second);
    EXPECT_LE(fleet.max_running(), static_cast<size_t>(kSlots));
    sum = sum + fleet.result();
  }
  return sum;
}

/// A load at which groups are seldom full if answers are spread well.
constexpr double kUsualLoad = 16;
/// A load beyond what the fleet can serve in time.
constexpr double kOverload = 22;

// Guards against long answers that meet in some groups and fill them, while others have room to spare.
TEST(SlotSchedulerCosts, FewerGroupsAreFull) {
  const auto off = run_seeds(Costs::kOff, kUsualLoad);
  const auto alike = run_seeds(Costs::kAlike, kUsualLoad);
  const auto learned = run_seeds(Costs::kLearned, kUsualLoad);
  EXPECT_GT(off.full_groups, 100) << "the load shows no difference";
  EXPECT_LT(learned.full_groups * 4, off.full_groups);
  EXPECT_LT(learned.full_groups, alike.full_groups) << "the predictions themselves help";
  EXPECT_LE(learned.late, off.late);
  EXPECT_LE(learned.refused, off.refused);
}

// Guards against requests of entries of an earlier release being placed worse than before.
TEST(SlotSchedulerCosts, RequestsWithoutPredictionsAreTypical) {
  const auto off = run_seeds(Costs::kOff, kUsualLoad);
  const auto alike = run_seeds(Costs::kAlike, kUsualLoad);
  EXPECT_LT(alike.full_groups, off.full_groups);
  EXPECT_LE(alike.late, off.late);
  EXPECT_LE(alike.refused, off.refused);
}

// Guards against placement by work that costs first events in time when the fleet is full.
TEST(SlotSchedulerCosts, OverloadIsServedAsWellAsBefore) {
  const auto off = run_seeds(Costs::kOff, kOverload);
  const auto learned = run_seeds(Costs::kLearned, kOverload);
  EXPECT_GT(off.refused, 50) << "the load is no overload";
  EXPECT_GT(learned.in_time, off.in_time * 0.995);
  EXPECT_LT(learned.late, learned.in_time * 0.001);
}

// Guards against a new leader that takes groups for idle because it granted none of the slots in use.
TEST(SlotSchedulerCosts, ANewLeaderContinuesFromTheReportedLoads) {
  LoadedFleet::Result interrupted;
  LoadedFleet::Result off;
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    for (const Costs costs : {Costs::kLearned, Costs::kOff}) {
      LoadedFleet fleet(costs, seed);
      fleet.run(seconds(30), kUsualLoad);
      fleet.elect_leader();
      fleet.run(seconds(30), kUsualLoad);
      EXPECT_LE(fleet.max_running(), static_cast<size_t>(kSlots));
      auto& sum = costs == Costs::kOff ? off : interrupted;
      sum = sum + fleet.result();
    }
  }
  EXPECT_LT(interrupted.full_groups * 3, off.full_groups);
  EXPECT_LE(interrupted.late, off.late);
}

}  // namespace
}  // namespace larchlever::fleet
