#include <gtest/gtest.h>

#include "load/history.h"
#include "settings/change_file.h"
#include "settings/node_settings.h"

namespace larchlever::settings {
namespace {

constexpr const char* kGood = R"(
[node]
name = n1
zone = a
peer_address = 127.0.0.1:7401
service_address = 127.0.0.1:7201
admin_address = 127.0.0.1:7301
data_folder = /var/lib/larchlever
[control_nodes]
n1 = 127.0.0.1:7401
n2 = 127.0.0.1:7402
)";

TEST(NodeSettings, AcceptsAGoodFileWithDefaults) {
  std::vector<std::string> errors;
  const auto settings = parse_node_settings(kGood, errors);
  ASSERT_TRUE(settings) << errors.front();
  EXPECT_EQ(settings->control_nodes.size(), 2U);
  EXPECT_EQ(settings->controller.control.heartbeat_interval, milliseconds(250));
}

TEST(NodeSettings, ReportsEveryFaultAtOnceWithSectionKeyValueAndRemedy) {
  std::vector<std::string> errors;
  const std::string text = std::string(kGood) +
                           "[control]\nheartbeat_ms = soon\nlease = 4\nconfiguration_lease_ms = 100\n"
                           "[requests]\nrouting_policy = best\nmost_attempts = 99\n[colour]\nx = 1\n";
  EXPECT_FALSE(parse_node_settings(text, errors));
  std::string all;
  for (const auto& error : errors) {
    all += error + "\n";
  }
  for (const char* expected :
       {"[control] heartbeat_ms = 'soon': not a whole number", "[control] lease = '4': unknown key",
        "shorter than two heartbeats", "[requests] routing_policy = 'best': unknown choice",
        "[requests] most_attempts = '99': out of range; choose 1 to 10", "[colour]: unknown section"}) {
    EXPECT_NE(all.find(expected), std::string::npos) << expected << "\nin\n" << all;
  }
}

TEST(NodeSettings, RefusesAControlNodeWithoutADataFolder) {
  std::vector<std::string> errors;
  std::string text = kGood;
  text.replace(text.find("data_folder"), std::string("data_folder = /var/lib/larchlever").size(), "");
  EXPECT_FALSE(parse_node_settings(text, errors));
  ASSERT_FALSE(errors.empty());
  EXPECT_NE(errors.front().find("data_folder"), std::string::npos);
}

TEST(ChangeFile, RoundTripsThroughItsText) {
  std::vector<std::string> errors;
  const std::string text =
      "[tenant north]\ntemplate = census\nzones = a, b\nadapters = x\nshare_percent = 12\nmax_concurrent = 9\n"
      "priority = 3\nrepeat = safe\n";
  const auto writes = parse_change_file(text, errors);
  ASSERT_TRUE(writes) << errors.front();
  wire::Record record;
  record.key = writes->front().key;
  record.value = writes->front().value;
  EXPECT_EQ(format_record(record), text);
}

TEST(History, CatchesEachKindOfFault) {
  using load::check_history;
  using load::ExecutionRecord;
  using load::HistoryRecord;
  HistoryRecord record;
  record.tag = "t";
  record.key = "t";
  record.node = "n1";
  record.expected = "right";
  record.answer = "right";
  record.status = 200;
  record.whole = true;
  record.outcome = "ran";
  record.sent_ms = 100;
  record.done_ms = 200;
  ExecutionRecord run;
  run.tag = "t";
  run.machine = "m1";
  run.started_ms = 150;
  EXPECT_TRUE(check_history({record}, {run}).empty());
  EXPECT_EQ(check_history({record}, {run, run}).size(), 1U) << "doubled";
  EXPECT_EQ(check_history({record}, {}).size(), 1U) << "invented";
  auto crossed = record;
  crossed.answer = "wrong";
  EXPECT_EQ(check_history({crossed}, {run}).size(), 1U) << "crossed";
  auto denied = record;
  denied.outcome = "not-run";
  denied.status = 503;
  EXPECT_EQ(check_history({denied}, {run}).size(), 1U) << "false not-run";
  EXPECT_TRUE(check_history({denied}, {}).empty());
}

TEST(History, HoldsARunAgainstTheAttemptThatItBelongsTo) {
  using load::check_history;
  using load::ExecutionRecord;
  using load::HistoryRecord;
  using load::NotRunScope;
  HistoryRecord cut;
  cut.tag = "t";
  cut.node = "n1";
  cut.safe = true;
  cut.status = 502;
  cut.outcome = "unknown";
  cut.sent_ms = 100;
  cut.done_ms = 200;
  HistoryRecord refused = cut;
  refused.status = 503;
  refused.outcome = "not-run";
  refused.sent_ms = 300;
  refused.done_ms = 400;
  ExecutionRecord run;
  run.tag = "t";
  run.machine = "m1";
  run.started_ms = 150;
  EXPECT_TRUE(check_history({cut, refused}, {run}, NotRunScope::kAttempt).empty());
  EXPECT_EQ(check_history({cut, refused}, {run}).size(), 1U)
      << "what is excused for the attempt is not for the request";
  auto between = run;
  between.started_ms = 250;
  EXPECT_EQ(check_history({cut, refused}, {between}, NotRunScope::kAttempt).size(), 1U)
      << "a run that no attempt explains";
  auto within = run;
  within.started_ms = 350;
  EXPECT_EQ(check_history({cut, refused}, {within}, NotRunScope::kAttempt).size(), 1U)
      << "a run of the refused attempt itself";
  auto denied = cut;
  denied.outcome = "not-run";
  EXPECT_EQ(check_history({denied, refused}, {run}, NotRunScope::kAttempt).size(), 2U)
      << "an earlier attempt that was denied falsely";
  auto unsafe_cut = cut;
  auto unsafe_refused = refused;
  unsafe_cut.safe = false;
  unsafe_refused.safe = false;
  EXPECT_EQ(check_history({unsafe_cut, unsafe_refused}, {run}, NotRunScope::kAttempt).size(), 1U)
      << "who may not repeat asks for all attempts";
  auto keyed_cut = cut;
  auto keyed_refused = refused;
  keyed_cut.key = "k";
  keyed_refused.key = "k";
  EXPECT_EQ(check_history({keyed_cut, keyed_refused}, {run}, NotRunScope::kAttempt).size(), 1U)
      << "a key ties the attempts together";
}

}  // namespace
}  // namespace larchlever::settings
