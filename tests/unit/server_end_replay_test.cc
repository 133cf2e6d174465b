#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "core/fleet/blocked_requests.h"
#include "core/fleet/lost_answers.h"
#include "core/fleet/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;
using Verdict = BlockedRequests::Verdict;

constexpr int kServers = 12;
constexpr int kEntries = 9;
constexpr int kSeeds = 50;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kReplayTime = seconds(12);
constexpr Duration kRunTime = milliseconds(100);
constexpr Duration kDownTime = seconds(3);
constexpr Duration kPortClosesAfter = milliseconds(5);
constexpr Duration kHeartbeat = milliseconds(1200);
/// From the leader's decision until every entry knows.
constexpr Duration kPublication = milliseconds(60);
/// Copies of the harmful request in all of the fleet, and of one that is popular: dozens of it run at any time.
constexpr Duration kHarmfulInterval = milliseconds(285);
constexpr Duration kPopularInterval = milliseconds(5);
/// Requests that are all different, each this often.
constexpr Duration kOtherInterval = milliseconds(10);

const RequestFingerprint kRepeated(1);

/// What happens beside the traffic.
struct Trouble {
  /// The repeated request ends the servers that run it.
  bool is_harmful = false;
  /// Connections to a server that is down are taken and closed, instead of refused.
  bool holds_port = false;
  /// A proxy in front of a server that is down takes connections and keeps them until a request was read.
  bool is_proxied = false;
  /// The repeated request comes as seldom as a harmful one, though it harms nobody.
  bool is_seldom = false;
  /// Part of the answers that is lost although their servers live.
  double lost_share = 0;
  /// From the second second on, the first entry reaches no server for so long.
  Duration cut{};
  /// Servers that crash of themselves in the second second.
  int crashes = 0;
};

/// What became of it.
struct Result {
  int ends_under_request = 0;
  /// Of those, how many came later than a second after the third.
  int late_ends = 0;
  /// How long the repeated request was blocked at some entry.
  Duration blocked{};
  int others_blocked = 0;
};

/// A fleet in virtual time: entries with the decisions of the product, servers that run requests, end and come back.
class Replay {
 public:
  Replay(const Trouble& trouble, uint64_t seed) : trouble_(trouble), random_(seed) {
    for (int number = 0; number < kServers; ++number) {
      servers_[static_cast<size_t>(number)].next_report = start_ + draw(kHeartbeat / milliseconds(1)) * milliseconds(1);
    }
    leader_.start(start_, {});
  }

  Result run() {
    for (now_ = start_; now_ < start_ + kReplayTime; now_ += kStep) {
      step();
    }
    return result_;
  }

 private:
  struct Server {
    int births = 1;
    TimePoint down_since = TimePoint::max();
    TimePoint next_report{};
  };
  struct Sending {
    size_t entry = 0;
    size_t server = 0;
    RequestFingerprint request;
    TimePoint ends_at{};
  };
  struct Entry {
    BlockedRequests blocked;
    LostAnswers lost;
    /// Incarnations that are looked at, and their server.
    std::map<std::string, size_t> watched;
  };

  int draw(int64_t most) { return std::uniform_int_distribution<int>(0, static_cast<int>(most) - 1)(random_); }
  bool is_up(size_t server) const { return servers_.at(server).down_since == TimePoint::max(); }
  std::string incarnation(size_t server) const {
    return "i" + std::to_string(server) + "@" + std::to_string(servers_.at(server).births);
  }
  bool is_cut(size_t entry) const {
    const TimePoint begin = start_ + seconds(2);
    return entry == 0 && now_ >= begin && now_ < begin + trouble_.cut;
  }

  void step() {
    for (size_t server = 0; server < servers_.size(); ++server) {
      advance(server);
    }
    if (now_ == start_ + seconds(2)) {
      for (int crash = 0; crash < trouble_.crashes; ++crash) {
        crash_server(static_cast<size_t>(crash));
      }
    }
    finish_sendings();
    look();
    tell_leader();
    if ((now_ - start_) % (trouble_.is_harmful || trouble_.is_seldom ? kHarmfulInterval : kPopularInterval) < kStep) {
      send(kRepeated);
    }
    if ((now_ - start_) % kOtherInterval < kStep) {
      send(RequestFingerprint(++next_request_));
    }
    const bool is_blocked = std::any_of(entries_.begin(), entries_.end(), [this](const Entry& entry) {
      return entry.blocked.verdict_for(now_, kRepeated) != Verdict::kAllowed;
    });
    result_.blocked += is_blocked ? kStep : Duration::zero();
  }

  void advance(size_t index) {
    Server& server = servers_.at(index);
    if (!is_up(index) && now_ - server.down_since >= kDownTime) {
      server.down_since = TimePoint::max();
      ++server.births;
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
      result_.others_blocked += request == kRepeated ? 0 : 1;
      return;
    }
    if (is_up(server) && !is_cut(entry)) {
      sendings_.push_back({entry, server, request, now_ + kRunTime});
    }
  }

  void finish_sendings() {
    for (size_t index = 0; index < sendings_.size();) {
      const Sending sending = sendings_[index];
      if (is_cut(sending.entry)) {
        sendings_.erase(sendings_.begin() + static_cast<std::ptrdiff_t>(index));
        lose(sending);
        continue;
      }
      if (now_ < sending.ends_at) {
        ++index;
        continue;
      }
      sendings_.erase(sendings_.begin() + static_cast<std::ptrdiff_t>(index));
      if (trouble_.is_harmful && sending.request == kRepeated) {
        lose(sending);
        crash_server(sending.server);
        note_end_under_request();
        index = 0;
      } else if (std::bernoulli_distribution(trouble_.lost_share)(random_)) {
        lose(sending);
      } else {
        Entry& entry = entries_.at(sending.entry);
        entry.blocked.note_answered(now_, sending.request);
        entry.lost.note_progress(now_, incarnation(sending.server));
      }
    }
  }

  void note_end_under_request() {
    ++result_.ends_under_request;
    third_end_ = result_.ends_under_request == 3 ? now_ : third_end_;
    result_.late_ends += now_ > third_end_ && now_ - third_end_ > seconds(1) ? 1 : 0;
  }

  void crash_server(size_t server) {
    if (!is_up(server)) {
      return;
    }
    servers_.at(server).down_since = now_;
    std::vector<Sending> lost;
    std::copy_if(sendings_.begin(), sendings_.end(), std::back_inserter(lost),
                 [server](const Sending& sending) { return sending.server == server; });
    std::erase_if(sendings_, [server](const Sending& sending) { return sending.server == server; });
    for (const auto& sending : lost) {
      lose(sending);
    }
  }

  void lose(const Sending& sending) {
    Entry& entry = entries_.at(sending.entry);
    if (entry.lost.note_loss(now_, incarnation(sending.server), sending.request)) {
      entry.watched[incarnation(sending.server)] = sending.server;
    }
  }

  Look look_at(size_t entry, const std::string& watched, size_t server) const {
    if (is_cut(entry)) {
      return Look::kSilent;
    }
    const bool has_port = now_ - servers_.at(server).down_since < kPortClosesAfter;
    if (is_up(server) || has_port || trouble_.is_proxied || watched != incarnation(server)) {
      return Look::kOpen;
    }
    return trouble_.holds_port ? Look::kClosed : Look::kRefused;
  }

  static void note_ended(Entry& entry, const std::string& incarnation, const std::optional<EndedServer>& ended) {
    if (!ended) {
      return;
    }
    for (const auto request : ended->requests) {
      entry.blocked.note_server_end({request, incarnation, ended->at, ended->certainty});
    }
  }

  void look() {
    for (size_t index = 0; index < entries_.size(); ++index) {
      Entry& entry = entries_.at(index);
      for (auto item = entry.watched.begin(); item != entry.watched.end();) {
        const auto next = entry.lost.next_look(item->first);
        if (!next) {
          note_ended(entry, item->first, entry.lost.take_suspicion(item->first));
          item = entry.watched.erase(item);
          continue;
        }
        if (*next <= now_) {
          const Look seen = look_at(index, item->first, item->second);
          note_ended(entry, item->first, entry.lost.note_look(now_, item->first, seen));
        }
        ++item;
      }
    }
  }

  void tell_leader() {
    for (auto& entry : entries_) {
      for (const auto& end : entry.blocked.take_unreported_ends(now_)) {
        const Certainty certainty = end.is_likely ? Certainty::kLikely : Certainty::kProved;
        const TimePoint at = now_ - milliseconds(end.age_ms);
        changed_ =
            leader_.note_server_end({RequestFingerprint(end.fingerprint), end.instance_id, at, certainty}) || changed_;
      }
      for (const auto request : entry.blocked.take_answered_requests()) {
        changed_ = leader_.note_answered(RequestFingerprint(request)) || changed_;
      }
    }
    changed_ = leader_.tick(now_) || changed_;
    if (std::exchange(changed_, false)) {
      publications_.emplace_back(now_ + kPublication, leader_.rows());
    }
    while (!publications_.empty() && publications_.front().first <= now_) {
      for (auto& entry : entries_) {
        entry.blocked.update(now_, publications_.front().second);
      }
      publications_.erase(publications_.begin());
    }
  }

  Trouble trouble_;
  std::mt19937_64 random_;
  const TimePoint start_ = TimePoint(seconds(1000));
  TimePoint now_{};
  TimePoint third_end_ = TimePoint::max();
  std::array<Server, kServers> servers_;
  std::array<Entry, kEntries> entries_;
  std::vector<Sending> sendings_;
  RequestBlocker leader_;
  bool changed_ = false;
  std::vector<std::pair<TimePoint, std::vector<wire::BlockedRequest>>> publications_;
  int64_t next_request_ = 1;
  Result result_;
};

/// Sums over seeds; what is longest and most over them.
struct Totals {
  int most_ends = 0;
  int late_ends = 0;
  int blocked_replays = 0;
  Duration longest_block{};
  int others_blocked = 0;
};

Totals replay(const Trouble& trouble) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Result result = Replay(trouble, seed).run();
    totals.most_ends = std::max(totals.most_ends, result.ends_under_request);
    totals.late_ends += result.late_ends;
    totals.blocked_replays += result.blocked > Duration::zero() ? 1 : 0;
    totals.longest_block = std::max(totals.longest_block, result.blocked);
    totals.others_blocked += result.others_blocked;
  }
  std::cout << "most ends " << totals.most_ends << ", late ends " << totals.late_ends << ", blocked in "
            << totals.blocked_replays << " of " << kSeeds << " replays, at most "
            << totals.longest_block / milliseconds(1) << " ms, others blocked " << totals.others_blocked << "\n";
  return totals;
}

// Copies of a request that ends who runs it, 35 in ten seconds at nine entries.
TEST(ServerEndReplay, AHarmfulRequestEndsFewServersWhosePortClosesLater) {
  const auto totals = replay({.is_harmful = true});
  EXPECT_EQ(totals.late_ends, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

TEST(ServerEndReplay, AHarmfulRequestEndsFewServersWhosePortIsHeld) {
  const auto totals = replay({.is_harmful = true, .holds_port = true});
  EXPECT_EQ(totals.late_ends, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

// The port stays open, so that no look tells the server that ended from one that lives.
TEST(ServerEndReplay, AHarmfulRequestEndsFewServersBehindProxies) {
  const auto totals = replay({.is_harmful = true, .is_proxied = true});
  EXPECT_EQ(totals.late_ends, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

// Good requests: what blocks them must be over after one heartbeat, and what is lost singly must block nothing.
TEST(ServerEndReplay, LostAnswersBlockNobody) {
  const auto totals = replay({.lost_share = 0.03});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

// A caller that sends one good request again and again while links lose a third of all answers: a block that rests on
// nothing but lost answers is over when one of the servers reports.
TEST(ServerEndReplay, LostAnswersOfASeldomRequestBlockItForAHeartbeatAtMost) {
  const auto totals = replay({.is_seldom = true, .lost_share = 0.3});
  EXPECT_LE(totals.longest_block, kHeartbeat + kPublication);
  EXPECT_EQ(totals.others_blocked, 0);
}

TEST(ServerEndReplay, ACutBetweenAnEntryAndAllServersBlocksForAHeartbeatAtMost) {
  const auto totals = replay({.cut = seconds(4)});
  EXPECT_LE(totals.longest_block, kHeartbeat + kPublication);
  EXPECT_EQ(totals.others_blocked, 0);
}

TEST(ServerEndReplay, AMassCrashBlocksNoPopularRequest) {
  const auto totals = replay({.crashes = 8});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

TEST(ServerEndReplay, AMassCrashBehindHeldPortsBlocksNoPopularRequest) {
  const auto totals = replay({.holds_port = true, .crashes = 8});
  EXPECT_EQ(totals.blocked_replays, 0);
  EXPECT_EQ(totals.others_blocked, 0);
}

}  // namespace
}  // namespace larchlever::fleet
