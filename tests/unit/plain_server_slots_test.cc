#include "core/fleet/plain_servers/plain_server_slots.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kTerm = 7;
constexpr int kSlots = 4;
constexpr auto kObjective = milliseconds(300);
constexpr auto kPatience = milliseconds(60);
constexpr auto kStep = milliseconds(5);
constexpr auto kFastTime = milliseconds(50);
constexpr auto kSlowTime = 7 * kFastTime;

document::ConfigurationDocument plain_document() {
  document::ServiceSpec service;
  service.name = "forms";
  document::ConfigurationDocument document;
  document.services["forms"] = service;
  return document;
}

AdmissionOptions with_plain_slots() {
  AdmissionOptions options;
  options.plain_server_slots = true;
  return options;
}

std::vector<std::string> server_names(int count) {
  std::vector<std::string> result;
  for (int number = 1; number <= count; ++number) {
    result.push_back("s" + std::to_string(number));
  }
  return result;
}

std::vector<PlainServer> plain_servers(const std::vector<std::string>& names) {
  std::vector<PlainServer> result;
  for (const auto& name : names) {
    result.push_back({name, "forms", kSlots});
  }
  return result;
}

struct Outcome {
  std::string entry;
  std::string server;  ///< Empty if the request was refused.
  TimePoint arrived_at{};
  bool is_in_time = false;
};

/// Entries that request slots of plain servers from a SlotScheduler and report their loads, in virtual time. Arrivals
/// are random with a fixed seed.
class PlainServerLoad {
 public:
  /// Response time of a server for a request of an entry, with `running` requests at the server.
  using ResponseTime =
      std::function<Duration(TimePoint now, const std::string& server, const std::string& entry, int running)>;

  PlainServerLoad(int servers, int entries, double requests_per_second, ResponseTime response_time)
      : names_(server_names(servers)),
        entries_(static_cast<size_t>(entries)),
        requests_per_second_(requests_per_second),
        response_time_(std::move(response_time)) {
    start_leader(kTerm);
  }

  /// A new leader that knows no loads, until all entries have sent it complete reports.
  void start_leader(int64_t term) {
    term_ = term;
    scheduler_.start(term);
    scheduler_.set_plain_servers(plain_servers(names_));
    waiting_.clear();
    for (size_t index = 0; index < entries_.size(); ++index) {
      entries_[index].grants_seen = 0;
      report(index, true);
    }
  }
  void remove_servers(const std::set<std::string>& lost) {
    std::erase_if(names_, [&lost](const auto& name) { return lost.contains(name); });
    scheduler_.set_plain_servers(plain_servers(names_));
  }

  void run_for(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      finish_requests();
      for (size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index].is_changed) {
          report(index, false);
        }
      }
      std::poisson_distribution<int> arrivals(requests_per_second_ * std::chrono::duration<double>(kStep).count());
      for (int count = arrivals(random_); count > 0; --count) {
        send_request();
      }
      for (const auto& decision : scheduler_.decide(now_, document_)) {
        apply(decision);
      }
    }
  }

  /// Share of the requests since `from` that were answered within the objective.
  double share_in_time(TimePoint from = kStart, const std::string& entry = "") const {
    return share_of(from, entry, [](const auto& outcome) { return outcome.is_in_time; });
  }
  double share_at(const std::string& server, TimePoint from = kStart, const std::string& entry = "") const {
    return share_of(from, entry, [&server](const auto& outcome) { return outcome.server == server; });
  }
  int most_at_a_server() const { return most_at_a_server_; }
  TimePoint now() const { return now_; }
  SlotScheduler& scheduler() { return scheduler_; }

 private:
  struct Entry {
    std::map<std::string, int> in_flight;
    std::map<std::string, std::vector<double>> times_ms;
    int64_t grants_seen = 0;
    bool is_changed = false;
  };
  struct Waiting {
    size_t entry = 0;
    TimePoint arrived_at{};
  };
  struct Running {
    size_t entry = 0;
    std::string server;
    TimePoint arrived_at{};
    TimePoint sent_at{};
    TimePoint ends_at{};
  };

  static std::string entry_name(size_t index) { return "e" + std::to_string(index + 1); }

  template <typename Condition>
  double share_of(TimePoint from, const std::string& entry, const Condition& condition) const {
    int total = 0;
    int matching = 0;
    for (const auto& outcome : outcomes_) {
      if (outcome.arrived_at >= from && (entry.empty() || outcome.entry == entry)) {
        ++total;
        matching += condition(outcome) ? 1 : 0;
      }
    }
    return total == 0 ? 0 : static_cast<double>(matching) / total;
  }

  void send_request() {
    const size_t index = random_() % entries_.size();
    wire::SlotRequest request;
    request.id = next_id_++;
    request.service_name = "forms";
    request.first_event_ms = static_cast<int32_t>(kObjective / milliseconds(1));
    request.patience_ms = static_cast<int32_t>(kPatience / milliseconds(1));
    auto preference = names_;
    std::shuffle(preference.begin(), preference.end(), random_);
    request.__set_plain_servers(preference);
    waiting_[request.id] = {index, now_};
    scheduler_.add_request(now_, entry_name(index), request);
  }

  void apply(const SlotDecision& decision) {
    const auto found = waiting_.find(decision.grant.id);
    if (found == waiting_.end() || decision.grant.verdict == wire::SlotVerdict::QUEUED) {
      return;
    }
    const Waiting request = found->second;
    waiting_.erase(found);
    if (decision.grant.verdict != wire::SlotVerdict::GRANTED) {
      outcomes_.push_back({entry_name(request.entry), "", request.arrived_at, false});
      return;
    }
    const std::string& server = decision.grant.server;
    Entry& entry = entries_[request.entry];
    entry.grants_seen = decision.grant.sequence;
    entry.is_changed = true;
    ++entry.in_flight[server];
    most_at_a_server_ = std::max(most_at_a_server_, ++running_at_[server]);
    const Duration time = response_time_(now_, server, entry_name(request.entry), running_at_[server]);
    running_.push_back({request.entry, server, request.arrived_at, now_, now_ + time});
  }

  void finish_requests() {
    std::erase_if(running_, [this](const Running& request) {
      if (request.ends_at > now_) {
        return false;
      }
      Entry& entry = entries_[request.entry];
      --entry.in_flight[request.server];
      --running_at_[request.server];
      entry.times_ms[request.server].push_back(
          std::chrono::duration<double, std::milli>(now_ - request.sent_at).count());
      entry.is_changed = true;
      const bool is_in_time = now_ - request.arrived_at <= kObjective;
      outcomes_.push_back({entry_name(request.entry), request.server, request.arrived_at, is_in_time});
      return true;
    });
  }

  void report(size_t index, bool is_complete) {
    Entry& entry = entries_[index];
    std::vector<wire::GroupLoad> loads;
    for (const auto& [server, in_flight] : entry.in_flight) {
      wire::GroupLoad load;
      load.group = server;
      load.in_flight = in_flight;
      auto& times = entry.times_ms[server];
      if (!times.empty()) {
        double sum = 0;
        for (const double time : times) {
          sum += time;
        }
        load.__set_interval_count(static_cast<int32_t>(times.size()));
        load.__set_interval_ms(sum / static_cast<double>(times.size()));
        times.clear();
      }
      loads.push_back(load);
    }
    scheduler_.note_response_times(now_, entry_name(index), loads);
    scheduler_.note_loads(entry_name(index), loads, is_complete, term_, entry.grants_seen);
    entry.is_changed = false;
  }

  std::vector<std::string> names_;
  std::vector<Entry> entries_;
  double requests_per_second_;
  ResponseTime response_time_;
  document::ConfigurationDocument document_ = plain_document();
  SlotScheduler scheduler_{with_plain_slots()};
  std::mt19937_64 random_{1};
  TimePoint now_ = kStart;
  int64_t term_ = kTerm;
  int64_t next_id_ = 1;
  std::map<int64_t, Waiting> waiting_;
  std::vector<Running> running_;
  std::map<std::string, int> running_at_;
  int most_at_a_server_ = 0;
  std::vector<Outcome> outcomes_;
};

Duration slow_first_server(TimePoint /*now*/, const std::string& server, const std::string& /*entry*/,
                           int /*running*/) {
  return server == "s1" ? kSlowTime : kFastTime;
}

Duration equal_servers(TimePoint /*now*/, const std::string& /*server*/, const std::string& /*entry*/,
                       int /*running*/) {
  return kFastTime;
}

// A server seven times slower than the others got 0.29 of the requests, since each entry counted only its own.
TEST(PlainServerSlots, SlowServerGetsOnlyTrials) {
  PlainServerLoad load(3, 9, 80, slow_first_server);
  load.run_for(seconds(20));
  EXPECT_GE(load.share_in_time(), 0.97);
  EXPECT_LE(load.share_at("s1"), 0.05);
  EXPECT_LE(load.most_at_a_server(), kSlots);
}

// With 70 entries, each has about one sample per server and second: too few to learn a speed alone.
TEST(PlainServerSlots, FewSamplesOfManyEntriesShowTheSlowServer) {
  PlainServerLoad load(3, 70, 80, slow_first_server);
  load.run_for(seconds(20));
  EXPECT_GE(load.share_in_time(), 0.97);
  EXPECT_LE(load.share_at("s1"), 0.05);
}

// A server that was once slow would stay without requests, because nothing shows that it is fast again.
TEST(PlainServerSlots, ServerThatIsFastAgainGetsItsShareWithinTwoSeconds) {
  const TimePoint fast_again_at = kStart + seconds(5);
  PlainServerLoad load(3, 9, 80, [&](TimePoint now, const std::string& server, const std::string&, int) {
    return server == "s1" && now < fast_again_at ? kSlowTime : kFastTime;
  });
  load.run_for(seconds(8));
  EXPECT_GE(load.share_at("s1", fast_again_at + seconds(2)), 0.25);
}

// A server that becomes slow under load must lose its share after a few late responses, not after a window of samples.
TEST(PlainServerSlots, ServerThatBecomesSlowLosesItsShareWithinASecond) {
  const TimePoint slow_at = kStart + seconds(5);
  PlainServerLoad load(3, 9, 80, [&](TimePoint now, const std::string& server, const std::string&, int) {
    return server == "s1" && now >= slow_at ? kSlowTime : kFastTime;
  });
  load.run_for(seconds(8));
  EXPECT_LE(load.share_at("s1", slow_at + seconds(1)), 0.05);
}

// Slower servers whose responses meet the objective must be used when the fast ones have no room.
TEST(PlainServerSlots, SlowerServerTakesWhatTheOthersCannot) {
  PlainServerLoad load(2, 9, 90, [](TimePoint, const std::string& server, const std::string&, int) {
    return server == "s1" ? 3 * kFastTime : kFastTime;  // 27 and 80 requests per second.
  });
  load.run_for(seconds(20));
  EXPECT_GE(load.share_in_time(), 0.9);
  EXPECT_GE(load.share_at("s1"), 0.1);
  EXPECT_LE(load.most_at_a_server(), kSlots);
}

// Servers that need several times as long when their last slot is taken must not be filled while others have room.
TEST(PlainServerSlots, ServersThatAreSlowWhenNearlyFullAreNotFilled) {
  PlainServerLoad load(3, 9, 80, [](TimePoint, const std::string& server, const std::string&, int running) {
    return server == "s1" && running == kSlots ? 10 * kFastTime : kFastTime;
  });
  load.run_for(seconds(20));
  EXPECT_GE(load.share_in_time(), 0.97);
  EXPECT_GE(load.share_at("s1"), 0.2);
}

// More requests than slots: none is sent beyond the slots, and those whose turn does not come are refused.
TEST(PlainServerSlots, RequestsWaitAndAreRefusedIfAllServersAreBusy) {
  PlainServerLoad load(2, 9, 400, equal_servers);
  load.run_for(seconds(5));
  EXPECT_EQ(load.most_at_a_server(), kSlots);
  EXPECT_GE(load.share_in_time(), 0.36);  // 160 of 400 requests per second have a slot in time.
  EXPECT_LE(load.scheduler().waiting_count(), 60u);
}

// All servers slower than the objective: a late answer is better than none, so they must be used at once.
TEST(PlainServerSlots, AllServersSlowStillServe) {
  PlainServerLoad load(3, 9, 10,
                       [](TimePoint, const std::string&, const std::string&, int) { return milliseconds(400); });
  load.run_for(seconds(10));
  EXPECT_LE(load.share_at(""), 0.01);
}

// One entry's bad link to a server must not take the server from the other entries, nor hold that entry's requests.
TEST(PlainServerSlots, BadLinkOfOneEntryAffectsOnlyThatEntry) {
  PlainServerLoad load(3, 9, 80, [](TimePoint, const std::string& server, const std::string& entry, int) {
    return server == "s1" && entry == "e1" ? milliseconds(400) : Duration(kFastTime);
  });
  load.run_for(seconds(20));
  EXPECT_GE(load.share_at("s1", kStart, "e2"), 0.2);
  EXPECT_LE(load.share_at("s1", kStart, "e1"), 0.1);
  EXPECT_GE(load.share_in_time(), 0.97);
}

// A new leader knows no loads at first; after the entries' complete reports it must not exceed the slots.
TEST(PlainServerSlots, NewLeaderCountsFromCompleteReports) {
  PlainServerLoad load(3, 9, 120, slow_first_server);
  load.run_for(seconds(5));
  load.start_leader(kTerm + 1);
  load.run_for(seconds(5));
  EXPECT_LE(load.most_at_a_server(), kSlots);
  EXPECT_GE(load.share_in_time(kStart + seconds(6)), 0.95);
}

// Half of the servers vanish: their requests must not be counted for the rest, which take over the whole load.
TEST(PlainServerSlots, RemainingServersTakeOverFromVanishedOnes) {
  PlainServerLoad load(6, 9, 150, equal_servers);
  load.run_for(seconds(5));
  load.remove_servers({"s1", "s2", "s3"});
  load.run_for(seconds(5));
  EXPECT_GE(load.share_in_time(kStart + seconds(5)), 0.97);
  EXPECT_LE(load.most_at_a_server(), kSlots);
}

// A node that ends with requests in flight would otherwise occupy slots for ever.
TEST(PlainServerSlots, LostEntryFreesItsSlots) {
  SlotScheduler scheduler(with_plain_slots());
  scheduler.start(kTerm);
  scheduler.set_plain_servers(plain_servers({"s1"}));
  wire::SlotRequest request;
  request.service_name = "forms";
  request.__set_plain_servers({"s1"});
  for (request.id = 1; request.id <= kSlots; ++request.id) {
    scheduler.add_request(kStart, "e1", request);
  }
  EXPECT_EQ(scheduler.decide(kStart, plain_document()).size(), size_t{kSlots});
  EXPECT_EQ(scheduler.in_flight("s1"), kSlots);
  scheduler.forget_node("e1");
  EXPECT_EQ(scheduler.in_flight("s1"), 0);
}

// A leader without the feature must leave the choice to the entry instead of refusing or holding the request.
TEST(PlainServerSlots, LeaderWithoutTheFeatureDecidesNothing) {
  SlotScheduler scheduler;
  scheduler.start(kTerm);
  scheduler.set_plain_servers(plain_servers({"s1"}));
  wire::SlotRequest request;
  request.service_name = "forms";
  request.__set_plain_servers({"s1"});
  scheduler.add_request(kStart, "e1", request);
  const auto decisions = scheduler.decide(kStart, plain_document());
  ASSERT_EQ(decisions.size(), 1u);
  EXPECT_EQ(decisions.front().grant.verdict, wire::SlotVerdict::UNDECIDED);
}

// A cold server must not get more requests because its slots are free.
TEST(PlainServerSlots, RateLimitsOfServersBindBesideSlots) {
  SlotScheduler scheduler(with_plain_slots());
  scheduler.start(kTerm);
  scheduler.set_plain_servers(plain_servers({"s1", "s2"}));
  scheduler.set_rate_limited_servers({{"s1", false, 1.0}});
  wire::SlotRequest request;
  request.service_name = "forms";
  request.__set_plain_servers({"s1", "s2"});
  for (request.id = 1; request.id <= kSlots; ++request.id) {
    scheduler.add_request(kStart, "e1", request);
  }
  scheduler.decide(kStart, plain_document());
  EXPECT_EQ(scheduler.in_flight("s1"), 1);
  EXPECT_EQ(scheduler.in_flight("s2"), kSlots - 1);
}

// A slow server is logged once when it becomes slow and once when it is fast again, not per request.
TEST(PlainServerSlots, ReportsEachChangeOfSpeedOnce) {
  PlainServerSlots slots;
  slots.set_servers(plain_servers({"s1", "s2", "s3"}));
  int changes = 0;
  for (int round = 0; round < 400; ++round) {
    const TimePoint now = kStart + round * milliseconds(25);
    for (const auto* server : {"s1", "s2", "s3"}) {
      const bool is_slow = server == std::string("s1") && round < 200;
      slots.note_response_times(now, server, {"e" + std::to_string(round % 9), 1, is_slow ? 280.0 : 40.0}, 1);
    }
    for (const auto& change : slots.take_speed_changes(now)) {
      EXPECT_EQ(change.incarnation, "s1");
      EXPECT_EQ(change.is_slow, changes == 0);
      ++changes;
    }
  }
  EXPECT_EQ(changes, 2);
}

class PlainServerCandidatesTest : public testing::Test {
 protected:
  static Dispatcher make_dispatcher(const AdmissionOptions& admission) {
    FleetOptions options;
    options.admission = admission;
    Dispatcher dispatcher(options, "north", 1);
    wire::FleetState state;
    for (const auto* id : {"near", "far"}) {
      wire::Instance instance;
      instance.id = id;
      instance.service_name = "forms";
      instance.address = std::string(id) + ":9000";
      instance.zone = id == std::string("near") ? "north" : "south";
      instance.state = wire::InstanceState::READY;
      instance.slots = kSlots;
      state.instances.push_back(instance);
    }
    dispatcher.update_state(state);
    return dispatcher;
  }
  static std::vector<std::string> ids(const std::vector<DispatchTarget>& targets) {
    std::vector<std::string> result;
    for (const auto& target : targets) {
      result.push_back(target.instance_id);
    }
    return result;
  }

  document::ServiceSpec service_ = plain_document().services.at("forms");
};

// The leader breaks ties by the entry's order, so servers of the own zone must come first.
TEST_F(PlainServerCandidatesTest, OwnZoneComesFirstAndExcludedServersAreMissing) {
  auto dispatcher = make_dispatcher(with_plain_slots());
  EXPECT_EQ(ids(dispatcher.plain_server_candidates(kStart, service_, {}, {})),
            (std::vector<std::string>{"near", "far"}));
  const auto near = dispatcher.plain_server_candidates(kStart, service_, {}, {}).front();
  EXPECT_EQ(ids(dispatcher.plain_server_candidates(kStart, service_, {}, {near.key})),
            (std::vector<std::string>{"far"}));
}

// The leader does not know which servers an entry suspects; it must not choose one while there are others.
TEST_F(PlainServerCandidatesTest, SuspectServersAreListedOnlyIfThereAreNoOthers) {
  auto dispatcher = make_dispatcher(with_plain_slots());
  const auto candidates = dispatcher.plain_server_candidates(kStart, service_, {}, {});
  dispatcher.avoid_target(kStart, candidates[0].key);
  EXPECT_EQ(ids(dispatcher.plain_server_candidates(kStart, service_, {}, {})), (std::vector<std::string>{"far"}));
  dispatcher.avoid_target(kStart, candidates[1].key);
  EXPECT_EQ(dispatcher.plain_server_candidates(kStart, service_, {}, {}).size(), 2u);
}

// Each response time must reach the leader once, also if the report that carries it is a complete one.
TEST_F(PlainServerCandidatesTest, ResponseTimesAreReportedOnce) {
  auto dispatcher = make_dispatcher(with_plain_slots());
  const auto target = dispatcher.plain_server_candidates(kStart, service_, {}, {}).front();
  dispatcher.begin_attempt(kStart, target);
  dispatcher.note_response_time(target, milliseconds(30));
  dispatcher.note_response_time(target, milliseconds(50));
  auto loads = dispatcher.take_changed_group_loads(kStart);
  dispatcher.move_response_times_to(loads);
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads.front().group, target.key);
  EXPECT_EQ(loads.front().in_flight, 1);
  EXPECT_EQ(loads.front().interval_count, 2);
  EXPECT_DOUBLE_EQ(loads.front().interval_ms, 40);
  auto complete_loads = dispatcher.group_loads(kStart);
  dispatcher.move_response_times_to(complete_loads);
  ASSERT_EQ(complete_loads.size(), 1u);
  EXPECT_FALSE(complete_loads.front().__isset.interval_count);
}

// While the feature is off, entries must choose servers and report loads as before.
TEST_F(PlainServerCandidatesTest, NothingIsAskedOrReportedWhileTheFeatureIsOff) {
  auto dispatcher = make_dispatcher({});
  EXPECT_TRUE(dispatcher.plain_server_candidates(kStart, service_, {}, {}).empty());
  const auto decision = dispatcher.choose_target(kStart, service_, {}, {});
  ASSERT_TRUE(decision.target);
  dispatcher.begin_attempt(kStart, *decision.target);
  dispatcher.note_response_time(*decision.target, milliseconds(30));
  EXPECT_FALSE(dispatcher.is_load_reported(*decision.target));
  EXPECT_TRUE(dispatcher.take_changed_group_loads(kStart).empty());
  auto loads = dispatcher.group_loads(kStart);
  dispatcher.move_response_times_to(loads);
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_FALSE(loads.front().__isset.interval_count);
}

}  // namespace
}  // namespace larchlever::fleet
