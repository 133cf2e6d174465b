#include <gtest/gtest.h>

#include <functional>
#include <numeric>
#include <random>
#include <set>

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kStep = milliseconds(5);
constexpr Duration kObjective = milliseconds(1200);
constexpr Duration kPatience = kObjective / 5;
constexpr Duration kServiceTime = milliseconds(400);
constexpr int kGroups = 8;
constexpr int kSlotsPerGroup = 5;
constexpr double kCapacityPerSecond = kGroups * kSlotsPerGroup / 0.4;
/// Retry-After of an entry whose leader names no time.
constexpr Duration kDefaultRetryAfter = milliseconds(300);
/// Callers give up when less than this is left.
constexpr Duration kShortestAnswer = milliseconds(100);
constexpr Duration kHammerInterval = milliseconds(20);

document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = kSlotsPerGroup;
  engine.step_ms = 10;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2000;
  engine.prefill_tokens_per_second = 50'000;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

std::vector<wire::EngineGroup> open_groups(int count) {
  std::vector<wire::EngineGroup> result;
  for (int index = 0; index < count; ++index) {
    wire::EngineGroup group;
    group.name = "g" + std::to_string(index);
    group.service_name = "s";
    group.model = "m";
    group.phase = wire::GroupPhase::OPEN;
    result.push_back(group);
  }
  return result;
}

struct Caller {
  TimePoint first_at{};
  bool is_hammering = false;
  TimePoint next_attempt_at{};
  bool is_waiting = false;
  bool is_returning = false;      ///< Its next or current attempt comes at the time that it was told.
  bool is_promised_turn = false;  ///< That time was the one of its turn.
  std::optional<TimePoint> first_refused_at;
  bool is_served = false;
  Duration service_time{};
};

/// Callers, one entry and its groups around a scheduler, in virtual time. Callers try for one objective and heed a
/// Retry-After up to a third of the time that they have left.
class Burst {
 public:
  Burst(bool has_forecasts, unsigned seed) : scheduler_(options(has_forecasts)), random_(seed) {
    scheduler_.start(term_);
    set_groups(kGroups);
  }

  /// Callers arrive at `times_capacity` the rate that all groups serve.
  void run(Duration length, double times_capacity) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
      add_callers(times_capacity);
      step();
    }
  }
  void set_groups(int count) {
    scheduler_.set_groups(open_groups(count));
    open_slots_ = count * kSlotsPerGroup;
    std::erase_if(running_, [count](const auto& item) { return item.second >= "g" + std::to_string(count); });
  }
  void change_leader() {
    scheduler_.start(++term_);
    scheduler_.set_groups(open_groups(open_slots_ / kSlotsPerGroup));
    grants_seen_ = 0;
    report_loads();
    for (auto& caller : callers) {  // Entries ask the new leader.
      caller.is_waiting = false;
    }
  }

  int served() const {
    return static_cast<int>(
        std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller.is_served; }));
  }
  TimePoint now() const { return now_; }

  std::vector<Caller> callers;
  /// Share of hammering callers.
  double hammering_share = 0;
  /// Share of callers that give up when they are refused.
  double resigning_share = 0;
  /// Idle slots, summed over steps.
  int idle_slots = 0;
  int refused_with_room = 0;
  int granted_out_of_turn = 0;
  /// Callers that were told the time of their turn and return, and those of them that are served then.
  int promises = 0;
  int promises_kept = 0;
  int refused_with_time = 0;
  int refused_without_time = 0;

 private:
  static AdmissionOptions options(bool has_forecasts) {
    AdmissionOptions result;
    result.turn_forecasts = has_forecasts;
    return result;
  }
  double random_share() { return std::uniform_real_distribution<>(0, 1)(random_); }

  static bool has_given_up(const Caller& caller) {
    return caller.next_attempt_at >= caller.first_at + kObjective - kShortestAnswer;
  }
  void add_callers(double times_capacity) {
    std::poisson_distribution<int> arrivals(times_capacity * kCapacityPerSecond * 0.005);
    for (int count = arrivals(random_); count > 0; --count) {
      Caller caller;
      caller.first_at = now_;
      caller.next_attempt_at = now_;
      caller.is_hammering = random_share() < hammering_share;
      std::uniform_real_distribution<> factor(0.5, 1.5);
      caller.service_time = Duration(static_cast<int64_t>(kServiceTime.count() * factor(random_)));
      callers.push_back(caller);
    }
  }
  void step() {
    std::erase_if(running_, [this](const auto& item) { return item.first <= now_; });
    report_loads();
    for (size_t index = 0; index < callers.size(); ++index) {
      Caller& caller = callers[index];
      if (!caller.is_served && !caller.is_waiting && !has_given_up(caller) && caller.next_attempt_at <= now_) {
        scheduler_.add_request(now_, "n1", attempt(static_cast<int64_t>(index), caller));
      }
    }
    const auto decisions = scheduler_.decide(now_, document_);
    for (const auto& decision : decisions) {
      if (decision.grant.verdict == wire::SlotVerdict::GRANTED) {
        accept(callers.at(static_cast<size_t>(decision.grant.id)), decision.grant);
      }
    }
    for (const auto& decision : decisions) {
      if (decision.grant.verdict == wire::SlotVerdict::BUSY) {
        refuse(callers.at(static_cast<size_t>(decision.grant.id)), decision.grant);
      }
    }
    check_order(decisions);
    idle_slots += open_slots_ - static_cast<int>(running_.size());
  }
  static wire::SlotRequest attempt(int64_t index, Caller& caller) {
    caller.is_waiting = true;
    wire::SlotRequest request;
    request.id = index;
    request.service_name = "s";
    request.model = "m";
    request.prompt_tokens = 10;
    request.first_event_ms = static_cast<int32_t>(kObjective / milliseconds(1));
    request.patience_ms = static_cast<int32_t>(kPatience / milliseconds(1));
    request.__set_fingerprint(index);
    return request;
  }
  void accept(Caller& caller, const wire::SlotGrant& grant) {
    caller.is_waiting = false;
    caller.is_served = true;
    promises_kept += caller.is_promised_turn ? 1 : 0;
    grants_seen_ = std::max(grants_seen_, grant.sequence);
    running_.emplace_back(now_ + caller.service_time, grant.group);
  }
  void refuse(Caller& caller, const wire::SlotGrant& grant) {
    caller.is_waiting = false;
    caller.first_refused_at = caller.first_refused_at.value_or(now_);
    refused_with_room += static_cast<int>(running_.size()) < open_slots_ ? 1 : 0;
    (grant.__isset.retry_after_ms ? refused_with_time : refused_without_time) += 1;
    const Duration told = grant.__isset.retry_after_ms ? milliseconds(grant.retry_after_ms) : kDefaultRetryAfter;
    const Duration longest_wait = (caller.first_at + kObjective - now_) / 3;
    const bool resigns = std::uniform_real_distribution<>(0, 1)(resignations_) < resigning_share;
    caller.next_attempt_at = now_ + (caller.is_hammering ? kHammerInterval : std::min(told, longest_wait));
    caller.next_attempt_at = resigns ? TimePoint::max() : caller.next_attempt_at;
    caller.is_returning =
        grant.__isset.retry_after_ms && !caller.is_hammering && told <= longest_wait && !has_given_up(caller);
    // Times of turns that are further away are in the second half of the time that callers heed.
    caller.is_promised_turn = caller.is_returning && told < longest_wait / 2;
    promises += caller.is_promised_turn ? 1 : 0;
  }
  /// Counts callers that got a slot while another one waited that came as told and arrived before them.
  void check_order(const std::vector<SlotDecision>& decisions) {
    TimePoint first_waiting = TimePoint::max();
    for (const auto& caller : callers) {
      if (caller.is_waiting && caller.is_returning) {
        first_waiting = std::min(first_waiting, caller.first_at);
      }
    }
    for (const auto& decision : decisions) {
      const bool is_granted = decision.grant.verdict == wire::SlotVerdict::GRANTED;
      const auto& caller = callers.at(static_cast<size_t>(decision.grant.id));
      granted_out_of_turn += is_granted && caller.first_at > first_waiting ? 1 : 0;
    }
  }
  void report_loads() {
    std::map<std::string, wire::GroupLoad> loads;
    for (const auto& [ends_at, group] : running_) {
      loads[group].group = group;
      ++loads[group].in_flight;
    }
    std::vector<wire::GroupLoad> rows;
    for (const auto& [group, load] : loads) {
      rows.push_back(load);
    }
    scheduler_.note_loads("n1", rows, true, term_, grants_seen_);
  }

  document::ConfigurationDocument document_ = engine_document();
  SlotScheduler scheduler_;
  std::mt19937 random_;  ///< Of the callers, whatever they are told.
  std::mt19937 resignations_;
  TimePoint now_ = kStart;
  int64_t term_ = 1;
  int64_t grants_seen_ = 0;
  int open_slots_ = 0;
  std::vector<std::pair<TimePoint, std::string>> running_;
};

class TurnedAway : public testing::Test {
 protected:
  static constexpr unsigned kSeeds = 8;

  /// Runs the load for each seed with and without forecasts.
  void run(const std::function<void(Burst&)>& load) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      for (const bool has_forecasts : {false, true}) {
        Burst burst(has_forecasts, seed);
        load(burst);
        (has_forecasts ? with_forecasts_ : without_forecasts_).push_back(std::move(burst));
      }
    }
  }
  static int sum(const std::vector<Burst>& bursts, const std::function<int(const Burst&)>& value) {
    return std::accumulate(bursts.begin(), bursts.end(), 0,
                           [&value](int total, const Burst& burst) { return total + value(burst); });
  }
  static int served(const std::vector<Burst>& bursts) {
    return sum(bursts, [](const Burst& burst) { return burst.served(); });
  }
  void expect_no_refusal_with_room() const {
    EXPECT_EQ(sum(with_forecasts_, [](const Burst& burst) { return burst.refused_with_room; }), 0);
  }
  void expect_no_fewer_served() const { EXPECT_GE(served(with_forecasts_), served(without_forecasts_)); }

  std::vector<Burst> with_forecasts_;
  std::vector<Burst> without_forecasts_;
};

void run_burst(Burst& burst) {
  burst.run(seconds(1), 0.8);
  burst.run(seconds(4), 3);
  burst.run(seconds(3), 0.5);
}

// Guards against callers that wait in vain, and against slots that stay idle since those who would have taken them were
// turned away.
TEST_F(TurnedAway, CallersThatCannotBeServedKnowEarlyAndNoneIsLostByIt) {
  run(run_burst);
  int unserved = 0;
  int told_early = 0;
  for (const auto& burst : with_forecasts_) {
    for (const auto& caller : burst.callers) {
      unserved += caller.is_served ? 0 : 1;
      const bool is_told = caller.first_refused_at && *caller.first_refused_at - caller.first_at <= kObjective / 4;
      told_early += !caller.is_served && is_told ? 1 : 0;
    }
  }
  RecordProperty("unserved", unserved);
  RecordProperty("told_early", told_early);
  RecordProperty("served", served(with_forecasts_));
  RecordProperty("served_without_forecasts", served(without_forecasts_));
  EXPECT_GT(unserved, 1000);
  EXPECT_GE(told_early, 0.9 * unserved);
  expect_no_refusal_with_room();
  expect_no_fewer_served();
}

// Guards against early refusals that come no earlier than the end of the patience.
TEST_F(TurnedAway, MostAreRefusedAtOnce) {
  run(run_burst);
  int refused = 0;
  int refused_at_once = 0;
  for (const auto& burst : with_forecasts_) {
    for (const auto& caller : burst.callers) {
      const bool is_in_burst = caller.first_at > kStart + milliseconds(2000) && caller.first_at < kStart + seconds(5);
      refused += is_in_burst && caller.first_refused_at ? 1 : 0;
      refused_at_once +=
          is_in_burst && caller.first_refused_at && *caller.first_refused_at - caller.first_at <= milliseconds(10) ? 1
                                                                                                                   : 0;
    }
  }
  RecordProperty("refused", refused);
  RecordProperty("refused_at_once", refused_at_once);
  EXPECT_GE(refused_at_once, 0.9 * refused);
}

// Guards against times that are told and not meant.
TEST_F(TurnedAway, CallersThatReturnAtTheirTurnAreServed) {
  run(run_burst);
  const int promises = sum(with_forecasts_, [](const Burst& burst) { return burst.promises; });
  const int kept = sum(with_forecasts_, [](const Burst& burst) { return burst.promises_kept; });
  EXPECT_GT(promises, 300);
  EXPECT_GE(kept, 0.9 * promises);
  RecordProperty("promises", promises);
  RecordProperty("kept", kept);
}

// Guards against luck: who was refused first and returns as told is served before those that came later.
TEST_F(TurnedAway, CallersThatReturnAreServedInTheOrderOfTheirArrival) {
  run(run_burst);
  EXPECT_EQ(sum(with_forecasts_, [](const Burst& burst) { return burst.granted_out_of_turn; }), 0);
}

// Guards against a reward for callers that do not heed their times.
TEST_F(TurnedAway, CallersThatRepeatAtOnceGainNothing) {
  run([](Burst& burst) {
    burst.hammering_share = 0.3;
    run_burst(burst);
  });
  int callers[2] = {};
  int served[2] = {};
  for (const auto& burst : with_forecasts_) {
    for (const auto& caller : burst.callers) {
      const bool is_in_burst = caller.first_at > kStart + milliseconds(1500) && caller.first_at < kStart + seconds(5);
      callers[caller.is_hammering ? 1 : 0] += is_in_burst ? 1 : 0;
      served[caller.is_hammering ? 1 : 0] += is_in_burst && caller.is_served ? 1 : 0;
    }
  }
  RecordProperty("heeding", 1000 * served[0] / callers[0]);
  RecordProperty("hammering", 1000 * served[1] / callers[1]);
  EXPECT_LE(1.0 * served[1] / callers[1], 1.0 * served[0] / callers[0]);
  expect_no_refusal_with_room();
}

// Guards against slots kept free for callers that have given up. Only the time with too many callers is compared:
// callers that give up because they are told early are missed once there is room again.
TEST_F(TurnedAway, PromisesToCallersThatGaveUpKeepNoSlotsIdle) {
  run([](Burst& burst) {
    burst.resigning_share = 0.5;
    burst.run(milliseconds(1500), 3);
    burst.idle_slots = 0;
    burst.run(seconds(4), 3);
  });
  const auto idle_slots = [](const Burst& burst) { return burst.idle_slots; };
  constexpr int kSlotsInAllSteps = kSeeds * kGroups * kSlotsPerGroup * 800;
  EXPECT_LE(sum(with_forecasts_, idle_slots), sum(without_forecasts_, idle_slots) + kSlotsInAllSteps / 10'000);
  expect_no_refusal_with_room();
}

// Guards against forecasts that outlive a change of the fleet.
TEST_F(TurnedAway, HalfOfTheServersVanishAndComeBack) {
  run([](Burst& burst) {
    burst.run(seconds(1), 0.8);
    burst.run(milliseconds(1500), 2);
    burst.set_groups(kGroups / 2);
    burst.run(milliseconds(1500), 2);
    burst.set_groups(kGroups);
    burst.run(milliseconds(1500), 1);
    burst.run(seconds(3), 0.5);
  });
  expect_no_refusal_with_room();
  expect_no_fewer_served();
}

// Guards against refusals by a leader that knows nothing yet.
TEST_F(TurnedAway, NewLeaderRefusesAsWithoutForecastsUntilItHasEvidence) {
  run([](Burst& burst) {
    burst.run(seconds(1), 0.8);
    burst.run(milliseconds(1500), 3);
    const int refused_with_time = burst.refused_with_time;
    burst.change_leader();
    burst.run(milliseconds(200), 3);
    EXPECT_EQ(burst.refused_with_time, refused_with_time);
    burst.run(milliseconds(2000), 3);
    burst.run(seconds(3), 0.5);
  });
  EXPECT_GT(sum(with_forecasts_, [](const Burst& burst) { return burst.refused_with_time; }),
            2 * sum(with_forecasts_, [](const Burst& burst) { return burst.refused_without_time; }));
  expect_no_refusal_with_room();
  expect_no_fewer_served();
}

// Guards against refusals at loads that the servers can carry, also after the forecast has learned a burst.
TEST_F(TurnedAway, NobodyIsRefusedWhileThereIsRoom) {
  run([](Burst& burst) {
    burst.run(seconds(3), 0.8);
    EXPECT_EQ(burst.refused_with_time + burst.refused_without_time, 0);
    for (int count = 0; count < 4; ++count) {
      burst.run(milliseconds(300), 3);
      burst.run(milliseconds(1500), 0.7);
    }
  });
  expect_no_refusal_with_room();
  // Other callers are served, and their service times differ, so that some fewer or more fit into the same slots.
  EXPECT_GE(served(with_forecasts_), 0.999 * served(without_forecasts_));
}

// Guards against a second order for callers that are refused because of rate limits.
TEST(TurnedAwayByRateLimits, CallersReturnAndAreServedInTheOrderOfTheirArrival) {
  AdmissionOptions options;
  options.turn_forecasts = true;
  SlotScheduler scheduler(options);
  scheduler.start(1);
  scheduler.set_rate_limited_servers({{"i1", false, 10.0}});
  document::ConfigurationDocument document;
  document.services["forms"].name = "forms";
  constexpr int kCallers = 15;
  std::vector<TimePoint> next_attempts;
  for (int index = 0; index < kCallers; ++index) {
    next_attempts.push_back(kStart + kStep * index);
  }
  std::set<int64_t> waiting;
  int served = 0;
  for (TimePoint now = kStart; now < kStart + milliseconds(2500); now += kStep) {
    for (int64_t index = 0; index < kCallers; ++index) {
      TimePoint& next_attempt = next_attempts.at(static_cast<size_t>(index));
      if (next_attempt > now) {
        continue;
      }
      next_attempt = TimePoint::max();
      waiting.insert(index);
      wire::SlotRequest request;
      request.id = index;
      request.service_name = "forms";
      request.patience_ms = 150;
      request.first_event_ms = 750;
      request.__set_rated_servers({"i1"});
      request.__set_fingerprint(index);
      scheduler.add_request(now, "n1", request);
    }
    for (const auto& [node, grant] : scheduler.decide(now, document)) {
      if (grant.verdict == wire::SlotVerdict::GRANTED) {
        EXPECT_EQ(grant.id, *waiting.begin()) << "an earlier caller waits";
        ++served;
      }
      if (grant.verdict == wire::SlotVerdict::BUSY) {
        ASSERT_TRUE(grant.__isset.retry_after_ms);
        next_attempts.at(static_cast<size_t>(grant.id)) = now + milliseconds(grant.retry_after_ms);
      }
      if (grant.verdict != wire::SlotVerdict::QUEUED) {
        waiting.erase(grant.id);
      }
    }
  }
  EXPECT_EQ(served, kCallers);
}

}  // namespace
}  // namespace larchlever::fleet
