// Servers with a request rate limit for all entries together: the requests that reach them, whether the leader or the
// entries apply the limit.

#include "core/fleet/server_rate_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/rate_shares.h"
#include "core/fleet/request_pacer.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kWindow = seconds(4);
constexpr double kRatesPerSecond[] = {0.2, 2.4, 10, 200};

/// Maximum number of `times` in any window of four seconds.
size_t max_in_any_window(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  size_t max_count = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kWindow) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

/// Maximum requests that a server with a limit may get in four seconds.
size_t max_allowed_in_window(double per_second) { return static_cast<size_t>(1.5 * per_second * 4 + 5); }

/// Sends whenever the pacer allows it, between `from` and `to`.
void send_paced(RequestPacer& pacer, double per_second, TimePoint from, TimePoint to, std::vector<TimePoint>& sent) {
  for (TimePoint now = from; now < to; now += milliseconds(1)) {
    while (pacer.next_allowed_at(now, per_second) <= now) {
      pacer.note_request(now, per_second);
      sent.push_back(now);
    }
  }
}

TEST(RequestPacer, KeepsAndUsesTheRate) {
  for (const double per_second : kRatesPerSecond) {
    RequestPacer pacer;
    std::vector<TimePoint> sent;
    send_paced(pacer, per_second, kStart, kStart + seconds(40), sent);
    EXPECT_LE(static_cast<double>(max_in_any_window(sent)), per_second * 4.1 + 1.1) << per_second;
    EXPECT_GE(static_cast<double>(sent.size()), per_second * 40 * 0.95) << per_second;
  }
}

// A server that becomes overloaded lowers its limit; time accumulated at the earlier rate must not allow a burst.
TEST(RequestPacer, AdoptsRateChanges) {
  RequestPacer pacer;
  std::vector<TimePoint> sent;
  send_paced(pacer, 10, kStart, kStart + seconds(4), sent);
  sent.clear();
  send_paced(pacer, 0.2, kStart + seconds(4), kStart + seconds(14), sent);
  EXPECT_LE(sent.size(), 3U);
  sent.clear();
  send_paced(pacer, 10, kStart + seconds(14), kStart + seconds(15), sent);
  EXPECT_GE(sent.size(), 9U) << "not delayed by the wait computed for the lower rate";
}

/// Entries that always have requests for the server, without a leader.
class LeaderlessEntries {
 public:
  LeaderlessEntries(int count, uint64_t seed) {
    for (int entry = 0; entry < count; ++entry) {
      shares_.emplace_back(seed * 10'000 + static_cast<uint64_t>(entry));
    }
  }
  int count() const { return static_cast<int>(shares_.size()); }
  void add(int more, uint64_t seed) {
    for (int entry = 0; entry < more; ++entry) {
      shares_.emplace_back(seed * 20'000 + static_cast<uint64_t>(entry));
    }
  }
  /// Checks whether each entry has its turn, and sends a request in the turn if `use_turns` is set.
  void run(double per_second, TimePoint from, TimePoint to, std::vector<TimePoint>& sent, bool use_turns = true) {
    for (TimePoint now = from; now < to; now += milliseconds(20)) {
      for (auto& share : shares_) {
        if (share.may_send(now, "i1", per_second, count()) && use_turns) {
          share.note_sent(now, "i1", per_second, count());
          sent.push_back(now);
        }
      }
    }
  }

 private:
  std::vector<RateShares> shares_;
};

// However little each entry may send at once, it adds up over all entries that know of the limit.
TEST(RateShares, TotalStaysBelowTheLimitForAnyNumberOfEntries) {
  for (const double per_second : {0.2, 2.4, 10.0}) {
    for (const int count : {1, 9, 84, 1000}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        LeaderlessEntries entries(count, seed);
        std::vector<TimePoint> sent;
        entries.run(per_second, kStart, kStart + seconds(12), sent);
        EXPECT_LE(max_in_any_window(sent), max_allowed_in_window(per_second))
            << per_second << ", " << count << " entries";
      }
    }
  }
}

// Turns that went unused while a leader granted requests, or that were drawn for a higher rate or fewer entries, must
// not all be used when the entries start to decide alone.
TEST(RateShares, UnusedTurnsDoNotAccumulate) {
  for (const int count : {9, 84, 1000}) {
    LeaderlessEntries entries(count, 3);
    std::vector<TimePoint> sent;
    entries.run(10, kStart, kStart + seconds(1), sent, false);
    entries.run(10, kStart + seconds(60), kStart + seconds(61), sent);
    EXPECT_LE(sent.size(), max_allowed_in_window(10) / 2) << count << " entries, turns expired a minute ago";
    sent.clear();
    entries.run(0.2, kStart + seconds(61), kStart + seconds(65), sent);
    EXPECT_LE(sent.size(), max_allowed_in_window(0.2)) << count << " entries, a lower limit";
    entries.add(count * 10, 4);
    sent.clear();
    entries.run(0.2, kStart + seconds(65), kStart + seconds(69), sent);
    EXPECT_LE(sent.size(), max_allowed_in_window(0.2)) << count << " entries, then ten times as many more";
  }
}

document::ServiceSpec plain_service() {
  document::ServiceSpec service;
  service.name = "forms";
  return service;
}

document::ServiceSpec engine_service() {
  document::ServiceSpec service;
  service.name = "engines";
  auto& engine = service.engine.emplace();
  engine.slots = 1000;
  engine.step_ms = 1;
  engine.prefill_tokens_per_second = 1e6;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  return service;
}

document::ConfigurationDocument both_services() {
  document::ConfigurationDocument document;
  document.services["forms"] = plain_service();
  document.services["engines"] = engine_service();
  return document;
}

wire::EngineGroup open_group(const std::string& name) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "engines";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  return group;
}

/// A leader's scheduler and the slot requests of one entry.
class RateLimitedScheduler : public testing::Test {
 protected:
  RateLimitedScheduler() { scheduler_.start(1); }

  wire::SlotRequest slot_request(int patience_ms, int priority = 1) {
    wire::SlotRequest request;
    request.id = ++next_id_;
    request.service_name = "engines";
    request.model = "m";
    request.prompt_tokens = 1;
    request.patience_ms = patience_ms;
    request.priority = priority;
    return request;
  }
  wire::SlotRequest plain_slot_request(std::vector<std::string> servers, int patience_ms, int priority = 1) {
    auto request = slot_request(patience_ms, priority);
    request.service_name = "forms";
    request.model = "";
    request.__set_rated_servers(servers);
    return request;
  }
  /// Submits a request every five milliseconds between `from` and `to`; records grants and refusals.
  template <typename MakeRequest>
  void submit_continuously(TimePoint from, TimePoint to, const MakeRequest& make_request) {
    for (TimePoint now = from; now < to; now += milliseconds(5)) {
      scheduler_.add_request(now, "n1", make_request());
      collect_decisions(now);
    }
  }
  void collect_decisions(TimePoint now) {
    for (const auto& decision : scheduler_.decide(now, document_)) {
      const auto& grant = decision.grant;
      if (grant.verdict == wire::SlotVerdict::GRANTED) {
        const std::string& name = grant.__isset.server ? grant.server : grant.group;
        granted_[name].push_back(now);
        granted_ids_.push_back(grant.id);
      } else if (grant.verdict == wire::SlotVerdict::BUSY) {
        refused_retry_after_ms_[grant.id] = grant.__isset.retry_after_ms ? grant.retry_after_ms : -1;
      }
    }
    scheduler_.note_loads("n1", {}, true, 1, 1'000'000);
  }

  SlotScheduler scheduler_;
  document::ConfigurationDocument document_ = both_services();
  int64_t next_id_ = 0;
  std::map<std::string, std::vector<TimePoint>> granted_;
  std::vector<int64_t> granted_ids_;
  /// Retry-after times in milliseconds by request id; -1 for none.
  std::map<int64_t, int32_t> refused_retry_after_ms_;
};

TEST_F(RateLimitedScheduler, LimitedHeadGetsItsRateAndAnotherGroupTheRest) {
  for (const double per_second : {0.2, 2.4, 10.0}) {
    granted_.clear();
    scheduler_.start(1);
    scheduler_.set_rate_limited_servers({{"h1", false, per_second}});
    scheduler_.set_groups({open_group("a"), open_group("b")}, {{"a", "h1"}});
    submit_continuously(kStart, kStart + seconds(12), [this] { return slot_request(100); });
    EXPECT_LE(max_in_any_window(granted_["a"]), max_allowed_in_window(per_second));
    EXPECT_GE(static_cast<double>(granted_["a"].size()), per_second * 12 * 0.8)
        << "without requests, the end of the limit would not be observed";
    EXPECT_TRUE(refused_retry_after_ms_.empty());
  }
}

// A head whose group is re-formed is the same server with the same limit.
TEST_F(RateLimitedScheduler, HeadKeepsItsLimiterStateWhenItsGroupIsReformed) {
  scheduler_.set_rate_limited_servers({{"h1", false, 0.4}});
  for (int round = 0; round < 40; ++round) {
    const std::string name = "g" + std::to_string(round);
    scheduler_.set_groups({open_group(name)}, {{name, "h1"}});
    const TimePoint now = kStart + milliseconds(100) * round;
    submit_continuously(now, now + milliseconds(100), [this] { return slot_request(20); });
  }
  size_t granted = 0;
  for (const auto& [group, times] : granted_) {
    granted += times.size();
  }
  EXPECT_LE(granted, 2U);
}

TEST_F(RateLimitedScheduler, PlainServersGetTheirRatesWhenSeveralAreRequested) {
  scheduler_.set_rate_limited_servers({{"i1", false, 10.0}, {"i2@5", false, 2.4}});
  submit_continuously(kStart, kStart + seconds(12), [this] { return plain_slot_request({"i1", "i2@5"}, 60); });
  EXPECT_LE(max_in_any_window(granted_["i1"]), max_allowed_in_window(10));
  EXPECT_LE(max_in_any_window(granted_["i2@5"]), max_allowed_in_window(2.4));
  EXPECT_GE(static_cast<double>(granted_["i1"].size() + granted_["i2@5"].size()), 12.4 * 12 * 0.9);
}

// Guards against making callers wait until their deadline although no server can take them, and against giving all of
// them the same retry time.
TEST_F(RateLimitedScheduler, RefusesRequestsBeyondTheirDeadlineWithStaggeredRetryTimes) {
  scheduler_.set_rate_limited_servers({{"i1", false, 1.0}});
  scheduler_.add_request(kStart, "n1", plain_slot_request({"i1"}, 300));
  collect_decisions(kStart);
  ASSERT_EQ(granted_["i1"].size(), 1U);
  for (int caller = 0; caller < 3; ++caller) {
    scheduler_.add_request(kStart, "n1", plain_slot_request({"i1"}, 300));
  }
  collect_decisions(kStart + milliseconds(5));
  ASSERT_EQ(refused_retry_after_ms_.size(), 3U);
  std::vector<int32_t> retry_after_times_ms;
  for (const auto& [id, retry_after_ms] : refused_retry_after_ms_) {
    retry_after_times_ms.push_back(retry_after_ms);
  }
  EXPECT_NEAR(retry_after_times_ms[0], 995, 25);
  EXPECT_NEAR(retry_after_times_ms[1], 1995, 25);
  EXPECT_NEAR(retry_after_times_ms[2], 2995, 25);
}

TEST_F(RateLimitedScheduler, GrantsByPriorityThenByAge) {
  scheduler_.set_rate_limited_servers({{"i1", false, 10.0}});
  scheduler_.add_request(kStart, "n1", plain_slot_request({"i1"}, 150));
  collect_decisions(kStart);
  granted_ids_.clear();
  scheduler_.add_request(kStart + milliseconds(1), "n1", plain_slot_request({"i1"}, 250, 3));
  const auto less_urgent = next_id_;
  scheduler_.add_request(kStart + milliseconds(2), "n1", plain_slot_request({"i1"}, 250, 1));
  const auto older = next_id_;
  scheduler_.add_request(kStart + milliseconds(3), "n1", plain_slot_request({"i1"}, 250, 1));
  const auto newer = next_id_;
  for (TimePoint now = kStart + milliseconds(4); now < kStart + milliseconds(400); now += milliseconds(1)) {
    collect_decisions(now);
  }
  EXPECT_EQ(granted_ids_, (std::vector<int64_t>{older, newer}));
  EXPECT_TRUE(refused_retry_after_ms_.contains(less_urgent));
}

TEST_F(RateLimitedScheduler, RefusesAtOnceWhenTheEntryHasAnotherServer) {
  scheduler_.set_rate_limited_servers({{"i1", false, 1.0}});
  scheduler_.add_request(kStart, "n1", plain_slot_request({"i1"}, 0));
  scheduler_.add_request(kStart, "n1", plain_slot_request({"i1"}, 0));
  collect_decisions(kStart);
  EXPECT_EQ(granted_["i1"].size(), 1U);
  EXPECT_EQ(refused_retry_after_ms_.size(), 1U) << "refused in the same call";
}

TEST_F(RateLimitedScheduler, ColdLimitedServerGetsTheLowerRate) {
  document_.services["forms"].cold_server_requests_per_second = 2;
  scheduler_.set_rate_limited_servers({{"i1", true, 10.0}, {"i2", true, 0.5}});
  submit_continuously(kStart, kStart + seconds(12), [this] { return plain_slot_request({"i1", "i2"}, 20); });
  EXPECT_LE(granted_["i1"].size(), 25U);
  EXPECT_GE(granted_["i1"].size(), 20U);
  EXPECT_LE(granted_["i2"].size(), 7U);
}

// Requests granted by a leader that is lost, sent by entries on their own, and granted by a successor without knowledge
// of either must together stay within the limit.
TEST(ServerRateLimiter, LimitHoldsDuringAChangeOfLeader) {
  const auto service = plain_service();
  for (const double per_second : {0.2, 2.4, 10.0}) {
    for (const int count : {9, 84, 1000}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        std::vector<TimePoint> sent;
        const auto grant_as_leader = [&](TimePoint from, TimePoint to) {
          ServerRateLimiter rates;
          rates.set_servers({{"i1", false, per_second}});
          for (TimePoint now = from; now < to; now += milliseconds(5)) {
            if (rates.next_allowed_at(now, service, "i1") <= now) {
              rates.note_request(now, service, "i1");
              sent.push_back(now);
            }
          }
        };
        grant_as_leader(kStart, kStart + seconds(5));
        LeaderlessEntries entries(count, seed);
        entries.run(per_second, kStart + seconds(5), kStart + seconds(7), sent);
        grant_as_leader(kStart + seconds(7), kStart + seconds(12));
        EXPECT_LE(max_in_any_window(sent), max_allowed_in_window(per_second))
            << per_second << ", " << count << " entries";
      }
    }
  }
}

wire::Instance plain_instance(const std::string& id, int64_t born_ms = 0) {
  wire::Instance instance;
  instance.id = id;
  instance.service_name = "forms";
  instance.address = id + ":80";
  instance.zone = "a";
  instance.born_ms = born_ms;
  return instance;
}

// Guards against losing the reported limit with the server's next heartbeat, which does not contain it.
TEST(InstanceDirectory, LimitSurvivesReportsAndAppliesToOneIncarnation) {
  InstanceDirectory directory{seconds(3)};
  auto report = plain_instance("i1", 5);
  directory.handle_report(kStart, report);
  EXPECT_FALSE(directory.set_rate_limit("i1@4", 2.4)) << "an earlier incarnation";
  EXPECT_TRUE(directory.set_rate_limit("i1@5", 2.4));
  EXPECT_FALSE(directory.set_rate_limit("i1@5", 2.4)) << "unchanged";
  ++report.call_number;
  EXPECT_FALSE(directory.handle_report(kStart + seconds(1), report));
  EXPECT_EQ(rate_limit_of(*directory.find("i1")), 2.4);
  InstanceDirectory successor{seconds(3)};
  successor.start(kStart + seconds(2), directory.snapshot());
  EXPECT_EQ(rate_limit_of(*successor.find("i1")), 2.4) << "a new leader inherits it";
  report.born_ms = 9;
  directory.handle_report(kStart + seconds(3), report);
  EXPECT_FALSE(rate_limit_of(*directory.find("i1")));
  EXPECT_TRUE(successor.set_rate_limit("i1@5", std::nullopt));
  EXPECT_FALSE(rate_limit_of(*successor.find("i1")));
}

/// An entry with two plain servers, the first of which has a limit.
class RateLimitedDispatcher : public testing::Test {
 protected:
  RateLimitedDispatcher() {
    auto limited = plain_instance("i1");
    limited.__set_limit_per_second(1.0);
    state_.instances = {limited, plain_instance("i2")};
    dispatcher_.set_serving_nodes(9);
    dispatcher_.update_state(state_);
  }

  wire::FleetState state_;
  Dispatcher dispatcher_{FleetOptions(), "a", 1};
};

TEST_F(RateLimitedDispatcher, AsksTheLeaderForALimitedServerOnlyIfItIsBetter) {
  int limited_preferred = 0;
  for (int request = 0; request < 100; ++request) {
    const auto choice = dispatcher_.choose_target(kStart, plain_service(), {}, {}, RateAuthority::kLeader);
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->instance_id, "i2") << "an unlimited server can take the request";
    limited_preferred += choice.rate_limited_targets.empty() ? 0 : 1;
  }
  EXPECT_GT(limited_preferred, 20);
  EXPECT_LT(limited_preferred, 80);
}

TEST_F(RateLimitedDispatcher, DoesNotAskAgainWhileTheLeaderCannotGrant) {
  DispatchTarget limited;
  limited.incarnation = "i1";
  dispatcher_.note_rate_limited_until(kStart + seconds(1), limited);
  for (int request = 0; request < 50; ++request) {
    EXPECT_TRUE(dispatcher_.choose_target(kStart, plain_service(), {}, {}, RateAuthority::kLeader)
                    .rate_limited_targets.empty());
  }
  const auto only_limited = dispatcher_.choose_target(kStart, plain_service(), {}, {"i2"}, RateAuthority::kLeader);
  ASSERT_EQ(only_limited.rate_limited_targets.size(), 1U) << "the leader queues requests that no other server can take";
  EXPECT_FALSE(only_limited.target);
}

TEST_F(RateLimitedDispatcher, ReportsItsNextSendTimeWithoutALeader) {
  const auto choice = dispatcher_.choose_target(kStart, plain_service(), {}, {"i2"});
  EXPECT_FALSE(choice.target);
  EXPECT_EQ(choice.failure, DispatchFailure::kAllBusy);
  ASSERT_TRUE(choice.next_allowed_at);
  EXPECT_LE(*choice.next_allowed_at, kStart + seconds(18)) << "a ninth of half of one request per second";
}

// Guards against ignoring the end of a limit at entries that did not observe the limit themselves: the limit then
// stayed in force if such an entry got the answer without a limit.
TEST_F(RateLimitedDispatcher, ReportsTheEndOfALimitObservedByOthers) {
  EXPECT_TRUE(dispatcher_.note_limit({"i1", std::nullopt, kStart}));
  const auto reported = dispatcher_.take_changed_limits(kStart);
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_FALSE(reported.front().per_second);
  EXPECT_FALSE(dispatcher_.note_limit({"i1", std::nullopt, kStart + milliseconds(10)})) << "reported once";
  EXPECT_FALSE(dispatcher_.note_limit({"i2", std::nullopt, kStart})) << "it never stated a limit";
  EXPECT_EQ(dispatcher_.take_all_limits(kStart).size(), 1U);
}

// An entry must apply a limit that it observed before the leader publishes it.
TEST_F(RateLimitedDispatcher, AppliesItsOwnLimitObservationAtOnce) {
  EXPECT_TRUE(dispatcher_.note_limit({"i2", 2.4, kStart}));
  EXPECT_FALSE(dispatcher_.note_limit({"i2", 2.4, kStart + seconds(1)})) << "unchanged";
  EXPECT_TRUE(dispatcher_.has_unreported_limits());
  EXPECT_EQ(dispatcher_.take_changed_limits(kStart).size(), 1U);
  EXPECT_TRUE(dispatcher_.take_changed_limits(kStart).empty());
  EXPECT_EQ(dispatcher_.take_all_limits(kStart).size(), 1U) << "for a new leader";
  const auto choice = dispatcher_.choose_target(kStart, plain_service(), {}, {}, RateAuthority::kLeader);
  EXPECT_FALSE(choice.target);
  EXPECT_EQ(choice.rate_limited_targets.size(), 2U);
  EXPECT_TRUE(dispatcher_.note_limit({"i2", std::nullopt, kStart + seconds(2)}));
  EXPECT_TRUE(dispatcher_.choose_target(kStart, plain_service(), {}, {}, RateAuthority::kLeader).target);
}

}  // namespace
}  // namespace larchlever::fleet
