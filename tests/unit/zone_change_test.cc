#include "core/fleet/zone_change.h"

#include <gtest/gtest.h>

#include "core/base/http_status.h"

namespace larchlever::fleet {
namespace {

constexpr int64_t kCallId = 17;

wire::ControlCall restore_call() {
  wire::ControlCall call;
  call.id = kCallId;
  call.kind = wire::ControlCallKind::RESTORE_ZONE;
  call.zone = "north";
  return call;
}

wire::ControlCallReply reply_with(int status) {
  wire::ControlCallReply reply;
  reply.status = status;
  return reply;
}

wire::ControlCallReply query_reply(int64_t term, int64_t number) {
  auto reply = reply_with(http_status::kOk);
  wire::ZoneChangeId id;
  id.term = term;
  id.number = number;
  reply.__set_last_zone_change(id);
  return reply;
}

// Without the expected change, a late copy of the call would undo what was acknowledged since.
TEST(ZoneChange, NamesTheLeadersLastChangeAndAsksAgainWhenRejected) {
  const ZoneChange change(restore_call(), [] { return true; });
  const auto query = change.make_query();
  EXPECT_EQ(query.kind, wire::ControlCallKind::GET_ZONES);
  const auto next = change.continue_after(query, query_reply(3, 8));
  const auto* forwarded = std::get_if<wire::ControlCall>(&next);
  ASSERT_NE(forwarded, nullptr);
  EXPECT_EQ(forwarded->kind, wire::ControlCallKind::RESTORE_ZONE);
  EXPECT_EQ(forwarded->zone, "north");
  ASSERT_TRUE(forwarded->__isset.expected_zone_change);
  EXPECT_EQ(forwarded->expected_zone_change.term, 3);
  EXPECT_EQ(forwarded->expected_zone_change.number, 8);
  const auto after_conflict = change.continue_after(*forwarded, reply_with(http_status::kConflict));
  ASSERT_TRUE(std::holds_alternative<wire::ControlCall>(after_conflict));
  EXPECT_EQ(std::get<wire::ControlCall>(after_conflict).kind, wire::ControlCallKind::GET_ZONES);
  const auto after_commit = change.continue_after(*forwarded, reply_with(http_status::kOk));
  ASSERT_TRUE(std::holds_alternative<wire::ControlCallReply>(after_commit));
  EXPECT_EQ(std::get<wire::ControlCallReply>(after_commit).id, kCallId);
  EXPECT_EQ(std::get<wire::ControlCallReply>(after_commit).status, http_status::kOk);
}

// An operator that has turned to another replica must not be overtaken by the call that it gave up.
TEST(ZoneChange, IsNotForwardedOnceTheCallerHasGone) {
  bool is_waiting = true;
  const ZoneChange change(restore_call(), [&is_waiting] { return is_waiting; });
  is_waiting = false;
  const auto next = change.continue_after(change.make_query(), query_reply(3, 8));
  ASSERT_TRUE(std::holds_alternative<wire::ControlCallReply>(next));
  EXPECT_EQ(std::get<wire::ControlCallReply>(next).status, http_status::kServiceUnavailable);
}

// While replicas are replaced, the leader may run an earlier version that does not tell its last change.
TEST(ZoneChange, IsForwardedToALeaderOfAnEarlierVersion) {
  const ZoneChange change(restore_call(), [] { return true; });
  const auto next = change.continue_after(change.make_query(), reply_with(http_status::kOk));
  ASSERT_TRUE(std::holds_alternative<wire::ControlCall>(next));
  EXPECT_FALSE(std::get<wire::ControlCall>(next).__isset.expected_zone_change);
}

}  // namespace
}  // namespace larchlever::fleet
