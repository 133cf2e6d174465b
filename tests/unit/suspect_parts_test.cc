#include "core/fleet/crash_attribution/suspect_parts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "core/fleet/crash_attribution/blocked_requests.h"
#include "core/fleet/crash_attribution/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;
using Verdict = BlockedRequests::Verdict;

const RequestFingerprint kHarmfulPart(1);
const RequestFingerprint kSharedPart(2);
const RequestFingerprint kOtherHarmfulPart(3);
constexpr int64_t kFirstRequest = 1000;

TimePoint at(double seconds_from_start) {
  return TimePoint(Duration(static_cast<int64_t>(seconds_from_start * 1e6) + 1'000'000'000));
}

ServerCrash crash_under_request(int64_t request, const std::string& instance, double time) {
  return {RequestFingerprint(kFirstRequest + request), instance, at(time)};
}

ServerCrash crash_under_part(RequestFingerprint part, int64_t request, const std::string& instance, double time,
                             CrashCertainty certainty = CrashCertainty::kConfirmed) {
  return {part, instance, at(time), certainty, CauseKind::kPromptPart, RequestFingerprint(kFirstRequest + request)};
}

/// The row of the part, if the leader publishes one.
std::optional<wire::BlockedRequest> row_of(const RequestBlocker& blocker, RequestFingerprint part) {
  for (const auto& row : blocker.rows()) {
    if (row.fingerprint == part.value()) {
      return row;
    }
  }
  return std::nullopt;
}

bool is_blocked(const RequestBlocker& blocker, RequestFingerprint cause) {
  const auto row = row_of(blocker, cause);
  return row && !row->is_suspect;
}

void tick_until(RequestBlocker& blocker, double from, double to) {
  for (double time = from; time < to; time += 0.05) {
    blocker.tick(at(time));
  }
}

/// Three servers crash under different requests with the part, 0.1 s apart.
void crash_three_servers(RequestBlocker& blocker, RequestFingerprint part, double time) {
  for (int number = 0; number < 3; ++number) {
    const std::string instance = std::to_string(part.value()) + "-" + std::to_string(number) + std::to_string(time);
    const double crashed_at = time + 0.1 * number;
    blocker.note_server_end(crash_under_request(number, instance, crashed_at));
    blocker.note_server_end(crash_under_part(part, number, instance, crashed_at));
  }
}

// Requests that were all different crashed one server after the other, because only whole requests were counted.
TEST(SuspectParts, PartOfDifferentRequestsIsBlockedAfterThreeCrashes) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  crash_three_servers(blocker, kHarmfulPart, 1);
  tick_until(blocker, 1.2, 1.6);
  const auto row = row_of(blocker, kHarmfulPart);
  ASSERT_TRUE(row);
  EXPECT_FALSE(row->is_suspect);
  EXPECT_TRUE(row->is_prompt_part);
  EXPECT_EQ(row->server_ends, 3);
}

// One request with a body that crashes servers made the parts of its prompt look harmful.
TEST(SuspectParts, PartOfOneRepeatedRequestIsNotBlocked) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 4; ++number) {
    const std::string instance = "i" + std::to_string(number);
    blocker.note_server_end(crash_under_request(7, instance, 1 + number));
    blocker.note_server_end(crash_under_part(kSharedPart, 7, instance, 1 + number));
    tick_until(blocker, 1 + number, 1.9 + number);
  }
  EXPECT_TRUE(is_blocked(blocker, RequestFingerprint(kFirstRequest + 7)));
  EXPECT_FALSE(is_blocked(blocker, kSharedPart));
}

// A part that sound requests share with harmful ones must come out clean, whether it stands before or after.
TEST(SuspectParts, PartThatWasAnsweredIsClearedBeforeItIsBlocked) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 3; ++number) {
    const std::string instance = "i" + std::to_string(number);
    blocker.note_server_end(crash_under_part(kSharedPart, number, instance, 1));
    blocker.note_server_end(crash_under_part(kHarmfulPart, number, instance, 1));
  }
  blocker.tick(at(1.02));
  BlockedRequests entry;
  entry.note_answered(at(0.5), kSharedPart, CauseKind::kPromptPart);
  entry.update(at(1.08), blocker.rows());
  EXPECT_EQ(entry.verdict_for(at(1.08), kHarmfulPart), Verdict::kSuspected);
  for (const int64_t answered : entry.take_answered_requests()) {
    blocker.note_answered(at(1.1), RequestFingerprint(answered));
  }
  tick_until(blocker, 1.1, 2);
  EXPECT_FALSE(row_of(blocker, kSharedPart));
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart));
  blocker.note_server_end(crash_under_part(kSharedPart, 9, "i9", 2));
  EXPECT_FALSE(row_of(blocker, kSharedPart)) << "it is not suspected again for some time";
}

// A retried harmful request was blocked first, and its crashes no longer counted against its part.
TEST(SuspectParts, RequestIsNoExplanationForCrashesUnderItsPart) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 3; ++number) {
    const std::string instance = "i" + std::to_string(number);
    blocker.note_server_end(crash_under_request(7, instance, 1 + 0.1 * number));
    blocker.note_server_end(crash_under_part(kHarmfulPart, 7, instance, 1 + 0.1 * number));
  }
  EXPECT_TRUE(is_blocked(blocker, RequestFingerprint(kFirstRequest + 7)));
  blocker.note_server_end(crash_under_part(kHarmfulPart, 8, "i8", 1.4));
  tick_until(blocker, 1.4, 1.8);
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart)) << "four crashes, two different requests";
}

// Sound requests that were resumed at one server after the other were blocked, and stayed so once the cause was known.
TEST(SuspectParts, RequestsThatThePartExplainsAreUnblocked) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 3; ++number) {
    blocker.note_server_end(crash_under_request(99, "i" + std::to_string(number), 1 + 0.1 * number));
    blocker.note_server_end(crash_under_part(kHarmfulPart, number, "i" + std::to_string(number), 1 + 0.1 * number));
  }
  EXPECT_TRUE(is_blocked(blocker, RequestFingerprint(kFirstRequest + 99)));
  tick_until(blocker, 1.2, 1.6);
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart));
  EXPECT_FALSE(is_blocked(blocker, RequestFingerprint(kFirstRequest + 99)));
}

// Copies that are sent while it is not yet known which part is harmful must not crash a server each.
TEST(SuspectParts, SuspectedPartRunsOnOneServerAtATime) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(crash_under_part(kHarmfulPart, 1, "i1", 1));
  EXPECT_TRUE(blocker.grant_retry(at(1.1), kHarmfulPart));
  EXPECT_FALSE(blocker.grant_retry(at(1.2), kHarmfulPart));
  EXPECT_TRUE(blocker.grant_retry(at(1.1), kSharedPart)) << "no server crashed under it";
}

// While entries could still object to a part with three crashes, requests with it crashed further servers.
TEST(SuspectParts, PartWithEnoughCrashesIsNotSentWhileEntriesMayObject) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  crash_three_servers(blocker, kHarmfulPart, 1);
  EXPECT_FALSE(is_blocked(blocker, kHarmfulPart));
  EXPECT_FALSE(blocker.grant_retry(at(1.21), kHarmfulPart));
  EXPECT_TRUE(blocker.note_answered(at(1.3), kHarmfulPart));
  EXPECT_TRUE(blocker.grant_retry(at(1.31), kHarmfulPart)) << "an entry objected";
}

TEST(SuspectParts, TwoHarmfulPartsAreBothBlocked) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  crash_three_servers(blocker, kHarmfulPart, 1);
  crash_three_servers(blocker, kOtherHarmfulPart, 1.05);
  tick_until(blocker, 1.2, 1.8);
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart));
  EXPECT_TRUE(is_blocked(blocker, kOtherHarmfulPart));
}

// Entries counted crashes against a part after the servers had shown that they were alive.
TEST(SuspectParts, LikelyCrashesAreTakenBackWhenTheServersReport) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 2; ++number) {
    blocker.note_server_end(
        crash_under_part(kSharedPart, number, "i" + std::to_string(number) + "@1", 1, CrashCertainty::kLikely));
    blocker.note_incarnation_alive(at(2), "i" + std::to_string(number) + "@1");
  }
  EXPECT_TRUE(blocker.tick(at(2.1)));
  EXPECT_FALSE(row_of(blocker, kSharedPart));
}

// A new leader learned of a blocked part as if it were a request.
TEST(SuspectParts, BlockedPartSurvivesAChangeOfLeader) {
  RequestBlocker before;
  before.start(at(0), {});
  crash_three_servers(before, kHarmfulPart, 1);
  tick_until(before, 1.2, 1.6);
  RequestBlocker after;
  after.start(at(2), before.rows());
  const auto row = row_of(after, kHarmfulPart);
  ASSERT_TRUE(row);
  EXPECT_TRUE(row->is_prompt_part);
  EXPECT_FALSE(row->is_suspect);
}

// While a new leader knew nothing of the suspicion, all entries sent requests with the part.
TEST(SuspectParts, SuspicionSurvivesAChangeOfLeader) {
  RequestBlocker old_leader;
  old_leader.start(at(0), {});
  old_leader.note_server_end(crash_under_part(kHarmfulPart, 1, "i1", 1));
  old_leader.note_server_end(crash_under_part(kHarmfulPart, 2, "i2", 1.1));
  RequestBlocker new_leader;
  new_leader.start(at(2), old_leader.rows());
  ASSERT_TRUE(row_of(new_leader, kHarmfulPart));
  EXPECT_TRUE(row_of(new_leader, kHarmfulPart)->is_suspect);
  EXPECT_FALSE(new_leader.grant_retry(at(2.1), kHarmfulPart)) << "entries may report enough crashes to block it";
  EXPECT_TRUE(new_leader.grant_retry(at(3.1), kHarmfulPart));
  EXPECT_FALSE(new_leader.grant_retry(at(3.2), kHarmfulPart)) << "one server at a time";
  for (int number = 1; number <= 3; ++number) {
    new_leader.note_server_end(crash_under_part(kHarmfulPart, number, "i" + std::to_string(number), 1 + 0.1 * number));
  }
  tick_until(new_leader, 3.3, 3.7);
  EXPECT_TRUE(is_blocked(new_leader, kHarmfulPart));
}

// The report that a part was answered was lost with the leader, and the next one had no reason to expect another.
TEST(SuspectParts, PartIsClearedAgainIfTheReportWasLostWithTheLeader) {
  RequestBlocker old_leader;
  old_leader.start(at(0), {});
  old_leader.note_server_end(crash_under_part(kSharedPart, 1, "i1", 1));
  BlockedRequests entry;
  entry.note_answered(at(0.5), kSharedPart, CauseKind::kPromptPart);
  entry.update(at(1.1), old_leader.rows());
  EXPECT_EQ(entry.take_answered_requests().size(), 1U);
  RequestBlocker new_leader;
  new_leader.start(at(2), old_leader.rows());
  entry.update(at(2.1), new_leader.rows());
  EXPECT_TRUE(entry.take_answered_requests().empty());
  for (const int64_t answered : entry.recently_answered_rows(at(2.2))) {
    new_leader.note_answered(at(2.2), RequestFingerprint(answered));
  }
  crash_three_servers(new_leader, kSharedPart, 2.3);
  tick_until(new_leader, 2.3, 3);
  EXPECT_FALSE(row_of(new_leader, kSharedPart));
}

// A part stayed suspected, although no entry knew of a crash under it.
TEST(SuspectParts, InheritedSuspicionEndsWithoutReportsOfCrashes) {
  RequestBlocker old_leader;
  old_leader.start(at(0), {});
  old_leader.note_server_end(crash_under_part(kSharedPart, 1, "i1", 1));
  RequestBlocker new_leader;
  new_leader.start(at(2), old_leader.rows());
  tick_until(new_leader, 2, 5.2);
  EXPECT_FALSE(row_of(new_leader, kSharedPart));
  EXPECT_TRUE(new_leader.grant_retry(at(5.2), kSharedPart));
  EXPECT_TRUE(new_leader.grant_retry(at(5.3), kSharedPart));
}

// The third crash came under a leader that had not heard of the first two.
TEST(SuspectParts, CrashesUnderAPartAreReportedToANewLeader) {
  BlockedRequests entry;
  entry.note_server_end(crash_under_part(kHarmfulPart, 1, "i1", 1));
  entry.note_server_end(crash_under_part(kHarmfulPart, 2, "i2", 1.2));
  entry.take_unreported_ends(at(1.3));
  RequestBlocker blocker;
  blocker.start(at(2), {});
  for (const auto& end : entry.recent_ends(at(2))) {
    ASSERT_TRUE(end.__isset.request_of_part);
    blocker.note_server_end({RequestFingerprint(end.fingerprint), end.instance_id, at(2) - milliseconds(end.age_ms),
                             CrashCertainty::kConfirmed, CauseKind::kPromptPart,
                             RequestFingerprint(end.request_of_part)});
  }
  blocker.note_server_end(crash_under_part(kHarmfulPart, 3, "i3", 2.1));
  tick_until(blocker, 2.1, 2.5);
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart));
}

// A part that stays blocked after its cause was mended is tried by one request, and an answer frees it.
TEST(SuspectParts, AnsweredTrialUnblocksThePart) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  crash_three_servers(blocker, kHarmfulPart, 1);
  tick_until(blocker, 1.2, 1.6);
  blocker.tick(at(40));
  EXPECT_TRUE(blocker.grant_trial(at(40), kHarmfulPart));
  EXPECT_FALSE(blocker.grant_trial(at(40), kHarmfulPart)) << "only one trial at a time";
  EXPECT_TRUE(blocker.note_answered(at(41), kHarmfulPart));
  EXPECT_FALSE(row_of(blocker, kHarmfulPart));
}

// When a zone failed, parts that were new and had not been answered yet were at several of the crashes.
TEST(SuspectParts, PartAtFewOfManyCrashesIsNotBlocked) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 16; ++number) {
    const std::string instance = "i" + std::to_string(number);
    blocker.note_server_end(crash_under_request(number, instance, 1));
    if (number < 4) {
      blocker.note_server_end(crash_under_part(kSharedPart, number, instance, 1));
    }
  }
  tick_until(blocker, 1, 3);
  EXPECT_FALSE(is_blocked(blocker, kSharedPart));
  crash_three_servers(blocker, kSharedPart, 4);
  tick_until(blocker, 4, 5);
  EXPECT_TRUE(is_blocked(blocker, kSharedPart)) << "at seven of 19 crashes";
}

// Callers that invent parts must not cost memory without a bound.
TEST(SuspectParts, LimitsTheNumberOfSuspects) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  SuspectParts suspects;
  ServerCrashHistory crashes;
  for (int number = 0; number < 20'000; ++number) {
    const auto crash =
        crash_under_part(RequestFingerprint(100'000 + number), number, "i" + std::to_string(number), number * 0.001);
    blocker.note_server_end(crash);
    suspects.count_crash(crash);
    crashes.note(crash);
    suspects.note_crash(crash, crashes);
  }
  EXPECT_LE(blocker.rows().size(), SuspectParts::kMaxSuspects);
  EXPECT_EQ(suspects.tracked_count(), SuspectParts::kMaxSuspects);
  // One crash with all parts, so that each of them explains it.
  blocker.start(at(100), {});
  for (int number = 0; number < 20'000; ++number) {
    blocker.note_server_end(crash_under_part(RequestFingerprint(100'000 + number), number, "i", 100));
  }
  EXPECT_EQ(blocker.rows().size(), SuspectParts::kMaxSuspects);
}

// Guards against sound requests that are withheld because a group, a rack or a zone failed, or because servers that go
// on lost many answers at once.
TEST(SuspectParts, PartsAtOneOfManyCrashesAreNotSuspected) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  constexpr int kCrashes = 40;
  for (int number = 0; number < kCrashes; ++number) {
    const std::string instance = "i" + std::to_string(number);
    const double time = 1 + number * 0.002;
    blocker.note_server_end(crash_under_request(number, instance, time));
    blocker.note_server_end(crash_under_part(RequestFingerprint(100 + number), number, instance, time));
    if (number % 10 == 0) {
      blocker.note_server_end(crash_under_part(kSharedPart, number, instance, time));
    }
  }
  blocker.tick(at(1.1));
  EXPECT_TRUE(blocker.rows().empty()) << blocker.rows().size() << " rows";
  tick_until(blocker, 1.1, 2);
  crash_three_servers(blocker, kHarmfulPart, 10);
  tick_until(blocker, 10, 11);
  EXPECT_TRUE(is_blocked(blocker, kHarmfulPart)) << "a part that is harmful is still found afterwards";
}

/// Passes an entry's reports of crashes under parts to the leader.
void report_ends(RequestBlocker& blocker, const std::vector<wire::RequestServerEnd>& ends, double now) {
  for (const auto& end : ends) {
    blocker.note_server_end({RequestFingerprint(end.fingerprint), end.instance_id, at(now) - milliseconds(end.age_ms),
                             CrashCertainty::kConfirmed, CauseKind::kPromptPart,
                             RequestFingerprint(end.request_of_part)});
  }
}

/// Sends the reports of all entries to the leader, and its rows to all entries.
void exchange_reports(std::vector<BlockedRequests>& entries, RequestBlocker& blocker, double now) {
  for (auto& entry : entries) {
    report_ends(blocker, entry.take_unreported_ends(at(now)), now);
  }
  blocker.tick(at(now));
  for (auto& entry : entries) {
    entry.update(at(now), blocker.rows());
    for (const int64_t answered : entry.take_answered_requests()) {
      blocker.note_answered(at(now), RequestFingerprint(answered));
    }
  }
}

// With sound requests on the same servers, only the harmful part may be blocked, whatever shares its crashes by chance.
TEST(SuspectParts, OnlyTheHarmfulPartIsBlockedInMixedTraffic) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&random](int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); };
    RequestBlocker blocker;
    blocker.start(at(0), {});
    std::vector<BlockedRequests> entries(9);
    constexpr int kSoundParts = 40;
    for (int number = 0; number < 300; ++number) {
      entries[static_cast<size_t>(draw(9))].note_answered(
          at(1 + number * 0.01), RequestFingerprint(100 + number % kSoundParts), CauseKind::kPromptPart);
    }
    for (int crash = 0; crash < 6; ++crash) {
      const double time = 4 + crash * 0.15;
      const std::string instance = "i" + std::to_string(crash);
      for (int victim = 0; victim < 20; ++victim) {
        const auto part = victim == 0 ? kHarmfulPart : RequestFingerprint(100 + draw(kSoundParts));
        auto& entry = entries[static_cast<size_t>(draw(9))];
        entry.note_server_end(crash_under_part(part, crash * 100 + victim, instance, time));
      }
      for (double now = time; now < time + 0.15; now += 0.05) {
        exchange_reports(entries, blocker, now);
      }
    }
    tick_until(blocker, 5, 6);
    EXPECT_TRUE(is_blocked(blocker, kHarmfulPart)) << "seed " << seed;
    for (int number = 0; number < kSoundParts; ++number) {
      EXPECT_FALSE(is_blocked(blocker, RequestFingerprint(100 + number))) << "seed " << seed;
    }
  }
}

/// Crashes servers with requests that carry parts which others use, to have these blocked.
class PartAdversary {
 public:
  explicit PartAdversary(unsigned seed) : random_(seed) { leader_.start(at(0), {}); }

  /// Plays `kRounds` rounds of 50 ms. Returns how often a part was found blocked that others use.
  int count_wrong_blocks() {
    int count = 0;
    for (int round = 0; round < kRounds; ++round) {
      now_ = 1 + round * 0.05;
      answer_sound_requests(round);
      if (round > kRoundsPerUse && draw(2) == 0) {
        crash_server(round);
      }
      exchange_reports(entries_, leader_, now_);
      if (round % kRoundsPerLeader == kRoundsPerLeader - 1) {
        replace_leader();
      }
      for (int victim = 0; victim < kVictims; ++victim) {
        count += is_blocked(leader_, part_of(victim)) ? 1 : 0;
      }
    }
    return count;
  }

 private:
  static constexpr int kRounds = 600;
  static constexpr int kVictims = 6;
  /// Each part is used at one entry only, once in this many rounds, which is less than the lifetime of an answer.
  static constexpr int kRoundsPerUse = 100;
  static constexpr int kRoundsPerLeader = 70;

  int draw(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
  static RequestFingerprint part_of(int victim) { return RequestFingerprint(100 + victim); }
  void answer_sound_requests(int round) {
    for (int victim = 0; victim < kVictims; ++victim) {
      if (round % kRoundsPerUse == victim) {
        entries_[static_cast<size_t>(victim)].note_answered(at(now_), part_of(victim), CauseKind::kPromptPart);
      }
    }
  }
  void crash_server(int round) {
    const int entry_number = kVictims + draw(2);
    auto& entry = entries_[static_cast<size_t>(entry_number)];
    const int carried = 1 + draw(kVictims);
    for (int number = 0; number < carried; ++number) {
      entry.note_server_end(crash_under_part(part_of(draw(kVictims)), round, "i" + std::to_string(round), now_));
    }
  }
  void replace_leader() {
    const auto rows = leader_.rows();
    leader_.start(at(now_), rows);
    for (auto& entry : entries_) {
      report_ends(leader_, entry.recent_ends(at(now_)), now_);
      for (const int64_t answered : entry.recently_answered_rows(at(now_))) {
        leader_.note_answered(at(now_), RequestFingerprint(answered));
      }
    }
  }

  std::mt19937 random_;
  RequestBlocker leader_;
  std::vector<BlockedRequests> entries_{9};
  double now_ = 0;
};

// Crashing requests that carry the parts of others must not have these blocked, whichever parts are chosen.
TEST(SuspectParts, AdversaryCannotBlockPartsThatOthersUse) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    EXPECT_EQ(PartAdversary(seed).count_wrong_blocks(), 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace larchlever::fleet
