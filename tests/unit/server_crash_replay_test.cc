#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "core/fleet/crash_attribution/blocked_requests.h"
#include "core/fleet/crash_attribution/crash_detector.h"
#include "core/fleet/crash_attribution/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;
using Verdict = BlockedRequests::Verdict;

constexpr int kServers = 12;
constexpr int kEntries = 9;
constexpr int kSeeds = 50;
constexpr Duration kTimeStep = milliseconds(5);
constexpr Duration kReplayDuration = seconds(12);
constexpr Duration kServiceTime = milliseconds(100);
constexpr Duration kDownTime = seconds(3);
constexpr Duration kPortClosesAfter = milliseconds(5);
constexpr Duration kHeartbeat = milliseconds(1200);
/// Time from the leader's decision until every entry applies it.
constexpr Duration kPublicationDelay = milliseconds(60);
/// Intervals between copies of a harmful request in the whole fleet, and of a popular one, of which dozens run at any
/// time.
constexpr Duration kHarmfulInterval = milliseconds(285);
constexpr Duration kPopularInterval = milliseconds(5);
/// Interval between requests that are all different.
constexpr Duration kOtherInterval = milliseconds(10);

const RequestFingerprint kRepeated(1);

/// Faults and traffic of one replay.
struct FaultScenario {
  /// The repeated request crashes the servers that run it.
  bool is_harmful = false;
  /// Connections to a crashed server are accepted and closed instead of refused.
  bool holds_port = false;
  /// A proxy in front of a crashed server accepts connections and keeps them open until it has read a request.
  bool is_proxied = false;
  /// The repeated request arrives as rarely as a harmful one but crashes no server.
  bool is_infrequent = false;
  /// Share of the responses that are lost although the server is alive.
  double lost_response_share = 0;
  /// How long the first entry reaches no server, beginning two seconds after the start.
  Duration partition_time{};
  /// Number of servers that crash without cause two seconds after the start.
  int crashes = 0;
};

/// Outcome of one replay.
struct ReplayResult {
  int crashes_under_request = 0;
  /// Those of them that happened later than one second after the third crash.
  int late_crashes = 0;
  /// How long the repeated request was blocked at any entry.
  Duration blocked{};
  int other_requests_blocked = 0;
};

/// A fleet in virtual time: entries that use the product's decision code, and servers that run requests, crash and
/// restart.
class Replay {
 public:
  Replay(const FaultScenario& scenario, uint64_t seed) : scenario_(scenario), random_(seed) {
    for (int number = 0; number < kServers; ++number) {
      servers_[static_cast<size_t>(number)].next_report = start_ + draw(kHeartbeat / milliseconds(1)) * milliseconds(1);
    }
    leader_.start(start_, {});
  }

  ReplayResult run() {
    for (now_ = start_; now_ < start_ + kReplayDuration; now_ += kTimeStep) {
      step();
    }
    return result_;
  }

 private:
  struct Server {
    int incarnation_number = 1;
    TimePoint down_since = TimePoint::max();
    TimePoint next_report{};
  };
  struct Attempt {
    size_t entry = 0;
    size_t server = 0;
    RequestFingerprint request;
    TimePoint completes_at{};
  };
  struct Entry {
    BlockedRequests blocked;
    CrashDetector lost_responses;
    /// Incarnations that are being probed, with the index of their server.
    std::map<std::string, size_t> probed;
  };

  int draw(int64_t bound) { return std::uniform_int_distribution<int>(0, static_cast<int>(bound) - 1)(random_); }
  bool is_up(size_t server) const { return servers_.at(server).down_since == TimePoint::max(); }
  std::string incarnation(size_t server) const {
    return "i" + std::to_string(server) + "@" + std::to_string(servers_.at(server).incarnation_number);
  }
  bool is_partitioned(size_t entry) const {
    const TimePoint begin = start_ + seconds(2);
    return entry == 0 && now_ >= begin && now_ < begin + scenario_.partition_time;
  }

  void step() {
    for (size_t server = 0; server < servers_.size(); ++server) {
      advance(server);
    }
    if (now_ == start_ + seconds(2)) {
      for (int crash = 0; crash < scenario_.crashes; ++crash) {
        crash_server(static_cast<size_t>(crash));
      }
    }
    finish_attempts();
    probe_servers();
    report_to_leader();
    if ((now_ - start_) % (scenario_.is_harmful || scenario_.is_infrequent ? kHarmfulInterval : kPopularInterval) <
        kTimeStep) {
      send(kRepeated);
    }
    if ((now_ - start_) % kOtherInterval < kTimeStep) {
      send(RequestFingerprint(++next_request_));
    }
    const bool is_blocked = std::any_of(entries_.begin(), entries_.end(), [this](const Entry& entry) {
      return entry.blocked.verdict_for(now_, kRepeated) != Verdict::kAllowed;
    });
    result_.blocked += is_blocked ? kTimeStep : Duration::zero();
  }

  void advance(size_t index) {
    Server& server = servers_.at(index);
    if (!is_up(index) && now_ - server.down_since >= kDownTime) {
      server.down_since = TimePoint::max();
      ++server.incarnation_number;
      server.next_report = now_;
    }
    if (is_up(index) && now_ >= server.next_report) {
      server.next_report = now_ + kHeartbeat;
      changed_ = leader_.note_incarnation_alive(now_, incarnation(index)) || changed_;
    }
  }

  void send(RequestFingerprint request) {
    const auto entry = static_cast<size_t>(draw(kEntries));
    const auto server = static_cast<size_t>(draw(kServers));
    if (entries_.at(entry).blocked.verdict_for(now_, request) != Verdict::kAllowed) {
      result_.other_requests_blocked += request == kRepeated ? 0 : 1;
      return;
    }
    if (is_up(server) && !is_partitioned(entry)) {
      attempts_.push_back({entry, server, request, now_ + kServiceTime});
    }
  }

  void finish_attempts() {
    for (size_t index = 0; index < attempts_.size();) {
      const Attempt attempt = attempts_[index];
      if (is_partitioned(attempt.entry)) {
        attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
        lose_response(attempt);
        continue;
      }
      if (now_ < attempt.completes_at) {
        ++index;
        continue;
      }
      attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
      if (scenario_.is_harmful && attempt.request == kRepeated) {
        lose_response(attempt);
        crash_server(attempt.server);
        count_crash_under_request();
        index = 0;
      } else if (std::bernoulli_distribution(scenario_.lost_response_share)(random_)) {
        lose_response(attempt);
      } else {
        Entry& entry = entries_.at(attempt.entry);
        entry.blocked.note_answered(now_, attempt.request);
        entry.lost_responses.note_progress(now_, incarnation(attempt.server));
      }
    }
  }

  void count_crash_under_request() {
    ++result_.crashes_under_request;
    third_crash_at_ = result_.crashes_under_request == 3 ? now_ : third_crash_at_;
    result_.late_crashes += now_ > third_crash_at_ && now_ - third_crash_at_ > seconds(1) ? 1 : 0;
  }

  void crash_server(size_t server) {
    if (!is_up(server)) {
      return;
    }
    servers_.at(server).down_since = now_;
    std::vector<Attempt> lost_responses;
    std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(lost_responses),
                 [server](const Attempt& attempt) { return attempt.server == server; });
    std::erase_if(attempts_, [server](const Attempt& attempt) { return attempt.server == server; });
    for (const auto& attempt : lost_responses) {
      lose_response(attempt);
    }
  }

  void lose_response(const Attempt& attempt) {
    Entry& entry = entries_.at(attempt.entry);
    const std::string server = incarnation(attempt.server);
    const auto outcome = entry.lost_responses.note_lost_response(now_, server, attempt.request);
    if (outcome.starts_probing) {
      entry.probed[server] = attempt.server;
    }
    note_crashed(entry, server, outcome.crash);
  }

  ProbeResult probe(size_t entry, const std::string& probed, size_t server) const {
    if (is_partitioned(entry)) {
      return ProbeResult::kTimedOut;
    }
    const bool has_port = now_ - servers_.at(server).down_since < kPortClosesAfter;
    if (is_up(server) || has_port || scenario_.is_proxied || probed != incarnation(server)) {
      return ProbeResult::kOpen;
    }
    return scenario_.holds_port ? ProbeResult::kClosed : ProbeResult::kRefused;
  }

  static void note_crashed(Entry& entry, const std::string& incarnation, const std::optional<CrashedServer>& crashed) {
    if (!crashed) {
      return;
    }
    for (const auto& request : crashed->requests) {
      entry.blocked.note_server_end({request.fingerprint, incarnation, crashed->at, crashed->certainty});
    }
  }

  void probe_servers() {
    for (size_t index = 0; index < entries_.size(); ++index) {
      Entry& entry = entries_.at(index);
      for (auto item = entry.probed.begin(); item != entry.probed.end();) {
        const auto next = entry.lost_responses.next_probe_time(item->first);
        if (!next) {
          note_crashed(entry, item->first, entry.lost_responses.take_suspected_crash(item->first));
          item = entry.probed.erase(item);
          continue;
        }
        if (*next <= now_) {
          const ProbeResult seen = probe(index, item->first, item->second);
          note_crashed(entry, item->first, entry.lost_responses.note_probe(now_, item->first, seen));
        }
        ++item;
      }
    }
  }

  void report_to_leader() {
    for (auto& entry : entries_) {
      for (const auto& end : entry.blocked.take_unreported_ends(now_)) {
        const CrashCertainty certainty = end.is_likely ? CrashCertainty::kLikely : CrashCertainty::kConfirmed;
        const TimePoint at = now_ - milliseconds(end.age_ms);
        changed_ =
            leader_.note_server_end({RequestFingerprint(end.fingerprint), end.instance_id, at, certainty}) || changed_;
      }
      for (const auto request : entry.blocked.take_answered_requests()) {
        changed_ = leader_.note_answered(now_, RequestFingerprint(request)) || changed_;
      }
    }
    changed_ = leader_.tick(now_) || changed_;
    if (std::exchange(changed_, false)) {
      publications_.emplace_back(now_ + kPublicationDelay, leader_.rows());
    }
    while (!publications_.empty() && publications_.front().first <= now_) {
      for (auto& entry : entries_) {
        entry.blocked.update(now_, publications_.front().second);
      }
      publications_.erase(publications_.begin());
    }
  }

  FaultScenario scenario_;
  std::mt19937_64 random_;
  const TimePoint start_ = TimePoint(seconds(1000));
  TimePoint now_{};
  TimePoint third_crash_at_ = TimePoint::max();
  std::array<Server, kServers> servers_;
  std::array<Entry, kEntries> entries_;
  std::vector<Attempt> attempts_;
  RequestBlocker leader_;
  bool changed_ = false;
  std::vector<std::pair<TimePoint, std::vector<wire::BlockedRequest>>> publications_;
  int64_t next_request_ = 1;
  ReplayResult result_;
};

/// Sums and maxima over all seeds.
struct Totals {
  int max_crashes = 0;
  int late_crashes = 0;
  int blocked_replays = 0;
  Duration max_blocked_time{};
  int other_requests_blocked = 0;
};

Totals replay(const FaultScenario& scenario) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ReplayResult result = Replay(scenario, seed).run();
    totals.max_crashes = std::max(totals.max_crashes, result.crashes_under_request);
    totals.late_crashes += result.late_crashes;
    totals.blocked_replays += result.blocked > Duration::zero() ? 1 : 0;
    totals.max_blocked_time = std::max(totals.max_blocked_time, result.blocked);
    totals.other_requests_blocked += result.other_requests_blocked;
  }
  std::cout << "most crashes " << totals.max_crashes << ", late crashes " << totals.late_crashes << ", blocked in "
            << totals.blocked_replays << " of " << kSeeds << " replays, at most "
            << totals.max_blocked_time / milliseconds(1) << " ms, other requests blocked "
            << totals.other_requests_blocked << "\n";
  return totals;
}

// A request that crashes every server that runs it arrives 35 times in ten seconds at nine entries.
TEST(ServerCrashReplay, HarmfulRequestCrashesFewServersWithDelayedPortClose) {
  const auto totals = replay({.is_harmful = true});
  EXPECT_EQ(totals.late_crashes, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

TEST(ServerCrashReplay, HarmfulRequestCrashesFewServersWithHeldPort) {
  const auto totals = replay({.is_harmful = true, .holds_port = true});
  EXPECT_EQ(totals.late_crashes, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

// The port stays open, so probes cannot distinguish a crashed server from a live one.
TEST(ServerCrashReplay, HarmfulRequestCrashesFewServersBehindProxies) {
  const auto totals = replay({.is_harmful = true, .is_proxied = true});
  EXPECT_EQ(totals.late_crashes, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

// Harmless requests: isolated lost responses must not block any of them, and other blocks must end after one heartbeat.
TEST(ServerCrashReplay, IsolatedLostResponsesBlockNoRequest) {
  const auto totals = replay({.lost_response_share = 0.03});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

// A caller repeats one harmless request while links lose a third of all responses. A block that is based only on lost
// responses must end when one of the servers reports.
TEST(ServerCrashReplay, LostResponsesBlockInfrequentRequestForAtMostOneHeartbeat) {
  const auto totals = replay({.is_infrequent = true, .lost_response_share = 0.3});
  EXPECT_LE(totals.max_blocked_time, kHeartbeat + kPublicationDelay);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

TEST(ServerCrashReplay, PartitionOfOneEntryBlocksRequestForAtMostOneHeartbeat) {
  const auto totals = replay({.partition_time = seconds(4)});
  EXPECT_LE(totals.max_blocked_time, kHeartbeat + kPublicationDelay);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

TEST(ServerCrashReplay, MassCrashBlocksNoPopularRequest) {
  const auto totals = replay({.crashes = 8});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

TEST(ServerCrashReplay, MassCrashWithHeldPortsBlocksNoPopularRequest) {
  const auto totals = replay({.holds_port = true, .crashes = 8});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.other_requests_blocked, 0);
}

}  // namespace
}  // namespace larchlever::fleet
