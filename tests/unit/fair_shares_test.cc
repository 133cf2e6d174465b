#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "core/engine/cost_model.h"
#include "core/fair_share/max_min_share.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kStep = milliseconds(5);
constexpr Duration kPatience = milliseconds(200);
/// Groups of ten slots.
constexpr size_t kGroups = 4;
/// Requests per second that the groups have room for, with answers of 200 ms.
constexpr double kCapacity = 200;
constexpr int kAnswerTokens = 20;
constexpr int kTokensPerPass = 5;
constexpr Duration kPass = milliseconds(50);

document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 10;
  engine.step_ms = 10;
  engine.steps_per_pass = kTokensPerPass;
  engine.prefill_chunk_tokens = 2000;
  engine.prefill_tokens_per_second = 50'000;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

std::vector<wire::EngineGroup> open_groups() {
  std::vector<wire::EngineGroup> groups(kGroups);
  for (size_t i = 0; i < groups.size(); ++i) {
    groups[i].name = "g" + std::to_string(i);
    groups[i].service_name = "s";
    groups[i].model = "m";
    groups[i].phase = wire::GroupPhase::OPEN;
  }
  return groups;
}

/// A caller whose requests arrive at random times.
struct Caller {
  std::string tenant;
  double requests_per_second = 0;
  int urgency = 0;
  std::vector<std::string> entries = {"n1"};
  int answer_tokens = kAnswerTokens;
  /// How often a refused request is sent again.
  int repeats = 0;
  /// When the caller sends, from the start of the load.
  Duration from{};
  Duration until = seconds(1000);
};

struct Tally {
  double wanted = 0;
  double served = 0;
  double ratio() const { return wanted > 0 ? served / wanted : 1; }
};

/// Sends the requests of callers to a scheduler, over virtual time, and runs those that are granted. Counts them by
/// the tokens of their answers.
class PoolLoad {
 public:
  PoolLoad(bool fair_shares, std::vector<Caller> callers) : callers_(std::move(callers)) {
    options_.fair_shares = fair_shares;
    change_leader();
  }

  void run(Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += kStep) {
      send_requests();
      report_loads();
      for (const auto& decision : scheduler_->decide(now_, document_)) {
        apply(decision);
      }
    }
  }

  /// A new leader knows the loads of the groups, and gets the waiting requests again.
  void change_leader() {
    scheduler_.emplace(options_);
    scheduler_->start(++term_);
    scheduler_->set_groups(open_groups());
    last_sequence_.clear();
    for (const auto& [id, request] : waiting_) {
      scheduler_->add_request(now_, request.entry, request.wire_request);
    }
  }

  /// Runs the load and counts the requests sent in this time; runs on until the last of them is decided.
  void run_and_count(Duration duration) {
    tenants.clear();
    urgencies.clear();
    total = {};
    is_counting_ = true;
    run(duration);
    is_counting_ = false;
    run(kPatience + 2 * kStep);
  }

  std::map<std::string, Tally> tenants;
  std::map<int, Tally> urgencies;
  Tally total;

 private:
  struct Request {
    const Caller* caller = nullptr;
    std::string entry;
    wire::SlotRequest wire_request;
    int repeats_left = 0;
    bool is_counted = false;
  };
  struct Running {
    std::string entry;
    std::string group;
    TimePoint ends_at{};
  };

  void send_requests() {
    for (const auto& caller : callers_) {
      if (now_ < kStart + caller.from || now_ >= kStart + caller.until) {
        continue;
      }
      const double mean = caller.requests_per_second * std::chrono::duration<double>(kStep).count();
      for (int left = std::poisson_distribution<int>(mean)(arrivals_); left > 0; --left) {
        send(new_request(caller));
        if (is_counting_) {
          count(caller, &Tally::wanted);
        }
      }
    }
  }

  Request new_request(const Caller& caller) {
    Request request{&caller, caller.entries[arrivals_() % caller.entries.size()], {}, caller.repeats, is_counting_};
    auto& wire_request = request.wire_request;
    wire_request.service_name = "s";
    wire_request.model = "m";
    wire_request.prompt_tokens = 10;
    wire_request.priority = caller.urgency;
    wire_request.patience_ms = static_cast<int32_t>(kPatience / milliseconds(1));
    wire_request.__set_tenant(caller.tenant);
    wire_request.__set_answer_tokens(caller.answer_tokens);
    return request;
  }

  void send(Request request) {
    request.wire_request.id = next_id_++;
    scheduler_->add_request(now_, request.entry, request.wire_request);
    waiting_.emplace(request.wire_request.id, std::move(request));
  }

  void count(const Caller& caller, double Tally::*field) {
    tenants[caller.tenant].*field += caller.answer_tokens;
    urgencies[caller.urgency].*field += caller.answer_tokens;
    total.*field += caller.answer_tokens;
  }

  void apply(const SlotDecision& decision) {
    const auto found = waiting_.find(decision.grant.id);
    if (decision.grant.verdict == wire::SlotVerdict::QUEUED) {
      return;
    }
    ASSERT_NE(decision.grant.verdict, wire::SlotVerdict::UNDECIDED);
    Request request = found->second;
    waiting_.erase(found);
    if (decision.grant.verdict == wire::SlotVerdict::GRANTED) {
      running_.push_back({request.entry, decision.grant.group, now_ + occupation(*request.caller)});
      last_sequence_[request.entry] = decision.grant.sequence;
      if (request.is_counted) {
        count(*request.caller, &Tally::served);
      }
    } else if (request.repeats_left > 0) {
      --request.repeats_left;
      send(std::move(request));
    }
  }

  /// Answers take between half and one and a half times as long as expected, so slots do not become free all at once.
  Duration occupation(const Caller& caller) {
    const Duration expected = kPass * (caller.answer_tokens / kTokensPerPass);
    return expected / 2 + Duration(static_cast<int64_t>(occupations_() % static_cast<uint64_t>(expected.count())));
  }

  void report_loads() {
    std::erase_if(running_, [this](const Running& item) { return item.ends_at <= now_; });
    std::map<std::string, std::map<std::string, int>> in_flight;
    for (const auto& caller : callers_) {
      for (const auto& entry : caller.entries) {
        in_flight[entry];
      }
    }
    for (const auto& item : running_) {
      ++in_flight[item.entry][item.group];
    }
    for (const auto& [entry, groups] : in_flight) {
      std::vector<wire::GroupLoad> loads;
      for (const auto& [group, count] : groups) {
        loads.emplace_back();
        loads.back().group = group;
        loads.back().in_flight = count;
      }
      scheduler_->note_loads(entry, loads, true, term_, last_sequence_[entry]);
    }
  }

  const document::ConfigurationDocument document_ = engine_document();
  AdmissionOptions options_;
  const std::vector<Caller> callers_;
  // NOLINTBEGIN(cert-msc32-c,cert-msc51-cpp): tests are deterministic.
  std::mt19937 arrivals_{7};
  std::mt19937 occupations_{8};
  // NOLINTEND(cert-msc32-c,cert-msc51-cpp)
  std::optional<SlotScheduler> scheduler_;
  int64_t term_ = 0;
  TimePoint now_ = kStart;
  bool is_counting_ = false;
  int64_t next_id_ = 1;
  std::map<int64_t, Request> waiting_;
  std::vector<Running> running_;
  std::map<std::string, int64_t> last_sequence_;
};

Caller make_caller(const std::string& tenant, double requests_per_second, int urgency = 0) {
  Caller caller;
  caller.tenant = tenant;
  caller.requests_per_second = requests_per_second;
  caller.urgency = urgency;
  return caller;
}

/// Requests per second of a tenant below the equal share of ten tenants.
constexpr double kSmallDemand = 0.08 * kCapacity;

/// Nine tenants below their equal share of the pool.
std::vector<Caller> small_tenants() {
  std::vector<Caller> callers;
  for (int i = 0; i < 9; ++i) {
    callers.push_back(make_caller("small" + std::to_string(i), kSmallDemand));
  }
  return callers;
}

void expect_small_tenants_served(const PoolLoad& load) {
  for (const auto& [tenant, tally] : load.tenants) {
    if (tenant.starts_with("small")) {
      EXPECT_GE(tally.ratio(), 0.95) << tenant;
    }
  }
}

/// 24 tenants whose demands fall with the power 1.2 of their rank, together twice what the pool has room for.
std::vector<Caller> skewed_tenants() {
  constexpr int kTenants = 24;
  double sum = 0;
  for (int rank = 1; rank <= kTenants; ++rank) {
    sum += std::pow(rank, -1.2);
  }
  std::vector<Caller> callers;
  for (int rank = 1; rank <= kTenants; ++rank) {
    callers.push_back(make_caller("t" + std::to_string(rank), 2 * kCapacity * std::pow(rank, -1.2) / sum));
  }
  return callers;
}

double max_min_share_of(const PoolLoad& load) {
  std::vector<double> wanted;
  for (const auto& [tenant, tally] : load.tenants) {
    wanted.push_back(tally.wanted);
  }
  return fair_share::max_min_share(wanted, load.total.served);
}

void expect_tenants_below_share_served(const PoolLoad& load) {
  const double share = max_min_share_of(load);
  for (const auto& [tenant, tally] : load.tenants) {
    if (tally.wanted <= share) {
      EXPECT_GE(tally.ratio(), 0.95) << tenant;
    }
  }
}

/// Checks also that the tenants above their share get equal parts of the rest.
void expect_max_min_shares(const PoolLoad& load) {
  expect_tenants_below_share_served(load);
  const double share = max_min_share_of(load);
  for (const auto& [tenant, tally] : load.tenants) {
    if (tally.wanted > share) {
      EXPECT_NEAR(tally.served / share, 1, 0.1) << tenant;
    }
  }
}

class LargeTenant : public testing::TestWithParam<int> {};

// Guards against a tenant that takes the room of others by asking for many times as much.
TEST_P(LargeTenant, DoesNotDisplaceTenantsBelowTheirShare) {
  auto callers = small_tenants();
  callers.push_back(make_caller("large", kSmallDemand * GetParam()));
  PoolLoad load(true, callers);
  load.run_and_count(seconds(20));
  expect_small_tenants_served(load);
  EXPECT_GE(load.total.served, 0.97 * kCapacity * kAnswerTokens * 20) << "what the others leave is used";
}

// Guards against a large tenant whose requests are more urgent, or less urgent, than those of the others.
TEST_P(LargeTenant, DoesNotDisplaceOtherUrgencies) {
  for (int urgency = 0; urgency < 3; ++urgency) {
    auto callers = small_tenants();
    for (size_t i = 0; i < callers.size(); ++i) {
      callers[i].urgency = static_cast<int>(i) % 3;
    }
    callers.push_back(make_caller("large", kSmallDemand * GetParam(), urgency));
    PoolLoad load(true, callers);
    load.run_and_count(seconds(20));
    SCOPED_TRACE(urgency);
    expect_small_tenants_served(load);
  }
}

INSTANTIATE_TEST_SUITE_P(Multiples, LargeTenant, testing::Values(10, 100));

// Guards against shares that hold for equal demands only.
TEST(FairShares, TenantsOfVeryDifferentSizes) {
  PoolLoad load(true, skewed_tenants());
  load.run_and_count(seconds(20));
  expect_max_min_shares(load);
}

// Guards against urgent requests of large tenants that displace less urgent ones of tenants below their share.
TEST(FairShares, TenantsOfVeryDifferentSizesAndUrgencies) {
  auto callers = skewed_tenants();
  for (size_t i = 0; i < callers.size(); ++i) {
    callers[i].urgency = static_cast<int>(i) % 3;
  }
  PoolLoad load(true, callers);
  load.run_and_count(seconds(20));
  expect_tenants_below_share_served(load);
}

// Guards against shares by entry: a tenant would gain by sending to all entries.
TEST(FairShares, CountTenantsNotEntries) {
  auto spread = make_caller("spread", kCapacity);
  spread.entries = {"n1", "n2", "n3", "n4", "n5"};
  PoolLoad load(true, {spread, make_caller("single", kCapacity)});
  load.run_and_count(seconds(20));
  EXPECT_NEAR(load.tenants["spread"].served / load.tenants["single"].served, 1, 0.05);
}

// Guards against shares counted in requests: tenants with long answers would get more of the pool.
TEST(FairShares, CountTimeOfSlots) {
  auto long_answers = make_caller("long answers", 80);
  long_answers.answer_tokens = 5 * kAnswerTokens;
  PoolLoad load(true, {long_answers, make_caller("short answers", 400)});
  load.run_and_count(seconds(20));
  EXPECT_NEAR(load.tenants["long answers"].served / load.tenants["short answers"].served, 1, 0.1);
}

/// Checks the ten seconds of a burst of the most urgent kind.
void expect_urgencies_served_in_burst(std::vector<Caller> callers) {
  PoolLoad load(true, std::move(callers));
  load.run(seconds(10));
  load.run_and_count(seconds(10));
  const double urgent = load.urgencies[0].ratio();
  const double less_urgent = load.urgencies[1].ratio();
  EXPECT_GE(urgent, less_urgent);
  EXPECT_GE(less_urgent, 0.4 * urgent);
  EXPECT_GE(load.total.served, 0.97 * kCapacity * kAnswerTokens * 10);
  load.run(seconds(2));
  load.run_and_count(seconds(5));
  EXPECT_GE(load.total.ratio(), 0.95) << "after the burst";
}

Caller burst_of(const std::string& tenant, double requests_per_second) {
  Caller burst = make_caller(tenant, requests_per_second, 0);
  burst.from = seconds(10);
  burst.until = seconds(20);
  return burst;
}

// Guards against urgent requests that starve the others, and against shares that serve urgent requests worse.
TEST(FairShares, BurstOfUrgentRequestsOfAllTenants) {
  std::vector<Caller> callers;
  for (int i = 0; i < 10; ++i) {
    const std::string tenant = "t" + std::to_string(i);
    callers.push_back(make_caller(tenant, 6, 0));
    callers.push_back(make_caller(tenant, 8, 1));
    callers.push_back(burst_of(tenant, 40));
  }
  expect_urgencies_served_in_burst(callers);
}

// Guards against the same where each tenant has requests of one urgency only.
TEST(FairShares, BurstOfUrgentTenants) {
  std::vector<Caller> callers;
  for (int i = 0; i < 5; ++i) {
    const std::string number = std::to_string(i);
    callers.push_back(make_caller("urgent" + number, 12, 0));
    callers.push_back(burst_of("urgent" + number, 60));
    callers.push_back(make_caller("other" + number, 16, 1));
  }
  expect_urgencies_served_in_burst(callers);
}

// Guards against callers that get more room by repeating refused requests.
TEST(FairShares, RepeatsGainNothing) {
  auto eager = make_caller("eager", 160);
  eager.repeats = 3;
  auto patient = make_caller("patient", 160);
  patient.repeats = 1;
  auto callers = small_tenants();
  callers.push_back(eager);
  callers.push_back(patient);
  PoolLoad load(true, callers);
  load.run_and_count(seconds(20));
  EXPECT_NEAR(load.tenants["eager"].served / load.tenants["patient"].served, 1, 0.05);
  expect_small_tenants_served(load);
}

// Guards against a tenant that returns after a pause and displaces the others until it has made up for the pause.
TEST(FairShares, TenantThatReturnsGetsItsShareOnly) {
  std::vector<Caller> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(make_caller("t" + std::to_string(i), kCapacity));
  }
  auto returning = make_caller("returning", kCapacity);
  returning.from = seconds(15);
  callers.push_back(returning);
  PoolLoad load(true, callers);
  load.run(seconds(15));
  const double equal_part = kCapacity / 5 * kAnswerTokens;
  load.run_and_count(seconds(2));
  EXPECT_NEAR(load.tenants["returning"].served, 2 * equal_part, 0.2 * 2 * equal_part);
  load.run_and_count(seconds(4));
  EXPECT_NEAR(load.tenants["returning"].served, 4 * equal_part, 0.1 * 4 * equal_part);
}

// Guards against the same beside a tenant that used room which nobody else wanted.
TEST(FairShares, TenantThatReturnsToAnUncontendedPoolGetsItsShareOnly) {
  auto returning = make_caller("returning", kCapacity);
  returning.from = seconds(15);
  PoolLoad load(true, {make_caller("steady", 0.9 * kCapacity), returning});
  load.run(seconds(15));
  load.run_and_count(seconds(2));
  EXPECT_NEAR(load.tenants["returning"].served / load.tenants["steady"].served, 1, 0.2);
}

// Guards against tenants that starve, or requests that are lost, while a new leader knows no demand yet.
TEST(FairShares, HoldAfterAChangeOfTheLeader) {
  PoolLoad load(true, skewed_tenants());
  load.run(seconds(10));
  load.change_leader();
  load.run_and_count(seconds(2));
  for (const auto& [tenant, tally] : load.tenants) {
    EXPECT_GE(tally.served, kAnswerTokens) << tenant;
  }
  load.run_and_count(seconds(20));
  expect_max_min_shares(load);
}

// Guards against room that is kept for tenants who do not want it.
TEST(FairShares, RoomThatNobodyElseWantsIsUsed) {
  PoolLoad lone(true, {make_caller("lone", 2 * kCapacity)});
  lone.run_and_count(seconds(10));
  EXPECT_GE(lone.total.served, 0.97 * kCapacity * kAnswerTokens * 10);
  for (const double overload : {0.5, 0.9, 2.0}) {
    std::map<bool, double> served;
    for (const bool fair_shares : {false, true}) {
      std::vector<Caller> callers = skewed_tenants();
      for (size_t i = 0; i < callers.size(); ++i) {
        callers[i].requests_per_second *= overload / 2;
        callers[i].urgency = static_cast<int>(i) % 3;
      }
      PoolLoad load(fair_shares, callers);
      load.run_and_count(seconds(10));
      served[fair_shares] = load.total.served;
    }
    EXPECT_GE(served[true], 0.99 * served[false]) << overload;
  }
}

/// Fills the pool, lets requests of two tenants wait, and returns their ids in the order of the grants.
std::vector<int64_t> order_of_grants(bool fair_shares) {
  AdmissionOptions options;
  options.fair_shares = fair_shares;
  SlotScheduler scheduler(options);
  const auto document = engine_document();
  scheduler.start(1);
  scheduler.set_groups({open_groups().front()});
  wire::GroupLoad load;
  load.group = "g0";
  load.in_flight = 10;
  scheduler.note_loads("n1", {load}, true, 1, 0);
  scheduler.decide(kStart, document);
  const auto add = [&](int64_t id, const std::string& tenant, int priority) {
    wire::SlotRequest request;
    request.id = id;
    request.service_name = "s";
    request.model = "m";
    request.priority = priority;
    request.patience_ms = 1000;
    request.__set_tenant(tenant);
    scheduler.add_request(kStart + milliseconds(id), "n1", request);
  };
  add(1, "a", 1);
  add(2, "a", 0);
  add(3, "a", 0);
  add(4, "b", 0);
  scheduler.decide(kStart + milliseconds(10), document);
  std::vector<int64_t> granted;
  load.in_flight = 5;
  scheduler.note_loads("n1", {load}, true, 1, 0);
  for (const auto& decision : scheduler.decide(kStart + milliseconds(20), document)) {
    granted.push_back(decision.grant.id);
  }
  return granted;
}

// Guards against a changed order while shares are turned off.
TEST(FairShares, OrderIsByPriorityAndAgeIfTurnedOff) {
  EXPECT_EQ(order_of_grants(false), (std::vector<int64_t>{2, 3, 4, 1}));
  EXPECT_EQ(order_of_grants(true), (std::vector<int64_t>{2, 4, 3, 1}));
}

// Guards against costs that omit the prompt, the answer, or the model's speed.
TEST(ExpectedOccupation, CountsPassesOfPromptAndAnswer) {
  const auto document = engine_document();
  const auto& engine = *document.services.at("s").engine;
  document::ModelSpec model = engine.models.front();
  EXPECT_EQ(engine::expected_occupation(engine, model, {0, 20}, 10), milliseconds(200)) << "4 passes of 50 ms";
  EXPECT_EQ(engine::expected_occupation(engine, model, {0, 1}, 10), milliseconds(50)) << "at least one pass";
  EXPECT_EQ(engine::expected_occupation(engine, model, {10'000, 20}, 10), milliseconds(450))
      << "a pass of 10,000 prompt tokens, which take 200 ms";
  model.time_factor = 2;
  EXPECT_EQ(engine::expected_occupation(engine, model, {0, 20}, 10), milliseconds(400));
}

}  // namespace
}  // namespace larchlever::fleet
