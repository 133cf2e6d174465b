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
  using load::AttemptRecord;
  using load::ExecutionRecord;
  using load::find_history_faults;
  AttemptRecord record;
  record.tag = "t";
  record.key = "t";
  record.node = "n1";
  record.expected = "right";
  record.answer = "right";
  record.status = 200;
  record.is_complete = true;
  record.outcome = "ran";
  record.sent_ms = 100;
  record.done_ms = 200;
  ExecutionRecord run;
  run.tag = "t";
  run.machine = "m1";
  run.started_ms = 150;
  EXPECT_TRUE(find_history_faults({record}, {run}).empty());
  EXPECT_EQ(find_history_faults({record}, {run, run}).size(), 1U) << "doubled";
  EXPECT_EQ(find_history_faults({record}, {}).size(), 1U) << "invented";
  auto crossed = record;
  crossed.answer = "wrong";
  EXPECT_EQ(find_history_faults({crossed}, {run}).size(), 1U) << "crossed";
  auto denied = record;
  denied.outcome = "not-run";
  denied.status = 503;
  EXPECT_EQ(find_history_faults({denied}, {run}).size(), 1U) << "false not-run";
  EXPECT_TRUE(find_history_faults({denied}, {}).empty());
}

TEST(History, HoldsARunAgainstTheAttemptThatItBelongsTo) {
  using load::AttemptRecord;
  using load::ExecutionRecord;
  using load::find_history_faults;
  using load::NotRunScope;
  AttemptRecord cut;
  cut.tag = "t";
  cut.node = "n1";
  cut.is_repeatable = true;
  cut.status = 502;
  cut.outcome = "unknown";
  cut.sent_ms = 100;
  cut.done_ms = 200;
  AttemptRecord refused = cut;
  refused.status = 503;
  refused.outcome = "not-run";
  refused.sent_ms = 300;
  refused.done_ms = 400;
  ExecutionRecord run;
  run.tag = "t";
  run.machine = "m1";
  run.started_ms = 150;
  EXPECT_TRUE(find_history_faults({cut, refused}, {run}, NotRunScope::kAttempt).empty());
  EXPECT_EQ(find_history_faults({cut, refused}, {run}).size(), 1U)
      << "what is excused for the attempt is not for the request";
  auto between = run;
  between.started_ms = 250;
  EXPECT_EQ(find_history_faults({cut, refused}, {between}, NotRunScope::kAttempt).size(), 1U)
      << "a run that no attempt explains";
  auto within = run;
  within.started_ms = 350;
  EXPECT_EQ(find_history_faults({cut, refused}, {within}, NotRunScope::kAttempt).size(), 1U)
      << "a run of the refused attempt itself";
  auto denied = cut;
  denied.outcome = "not-run";
  EXPECT_EQ(find_history_faults({denied, refused}, {run}, NotRunScope::kAttempt).size(), 2U)
      << "an earlier attempt that was denied falsely";
  auto unsafe_cut = cut;
  auto unsafe_refused = refused;
  unsafe_cut.is_repeatable = false;
  unsafe_refused.is_repeatable = false;
  EXPECT_EQ(find_history_faults({unsafe_cut, unsafe_refused}, {run}, NotRunScope::kAttempt).size(), 1U)
      << "who may not repeat asks for all attempts";
  auto keyed_cut = cut;
  auto keyed_refused = refused;
  keyed_cut.key = "k";
  keyed_refused.key = "k";
  EXPECT_EQ(find_history_faults({keyed_cut, keyed_refused}, {run}, NotRunScope::kAttempt).size(), 1U)
      << "a key ties the attempts together";
}

}  // namespace
}  // namespace larchlever::settings
