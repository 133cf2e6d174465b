#include <gtest/gtest.h>

#include "load/history.h"
#include "settings/change_file.h"
#include "settings/node_settings.h"

namespace larchlever::settings {
namespace {

constexpr const char* kValidSettings = R"(
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

TEST(NodeSettings, AppliesDefaultsToValidFile) {
  std::vector<std::string> errors;
  const auto settings = parse_node_settings(kValidSettings, errors);
  ASSERT_TRUE(settings) << errors.front();
  EXPECT_EQ(settings->control_nodes.size(), 2U);
  EXPECT_EQ(settings->controller.control.heartbeat_interval, milliseconds(250));
}

TEST(NodeSettings, ReportsAllErrorsWithSectionKeyValueAndRemedy) {
  std::vector<std::string> errors;
  const std::string text = std::string(kValidSettings) +
                           "[control]\nheartbeat_ms = soon\nlease = 4\nconfiguration_lease_ms = 100\n"
                           "[requests]\nrouting_policy = best\nmost_attempts = 99\n[colour]\nx = 1\n";
  EXPECT_FALSE(parse_node_settings(text, errors));
  std::string all_errors;
  for (const auto& error : errors) {
    all_errors += error + "\n";
  }
  for (const char* expected :
       {"[control] heartbeat_ms = 'soon': not a whole number", "[control] lease = '4': unknown key",
        "shorter than two heartbeats", "[requests] routing_policy = 'best': unknown choice",
        "[requests] most_attempts = '99': out of range; choose 1 to 10", "[colour]: unknown section"}) {
    EXPECT_NE(all_errors.find(expected), std::string::npos) << expected << "\nin\n" << all_errors;
  }
}

TEST(NodeSettings, RejectsControlNodeWithoutDataFolder) {
  std::vector<std::string> errors;
  std::string text = kValidSettings;
  text.replace(text.find("data_folder"), std::string("data_folder = /var/lib/larchlever").size(), "");
  EXPECT_FALSE(parse_node_settings(text, errors));
  ASSERT_FALSE(errors.empty());
  EXPECT_NE(errors.front().find("data_folder"), std::string::npos);
}

TEST(ChangeFile, FormattedRecordMatchesParsedText) {
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

TEST(History, DetectsEachKindOfViolation) {
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
  ExecutionRecord execution;
  execution.tag = "t";
  execution.machine = "m1";
  execution.started_ms = 150;
  EXPECT_TRUE(find_history_faults({record}, {execution}).empty());
  EXPECT_EQ(find_history_faults({record}, {execution, execution}).size(), 1U) << "the request ran twice";
  EXPECT_EQ(find_history_faults({record}, {}).size(), 1U) << "the response has no execution";
  auto with_wrong_answer = record;
  with_wrong_answer.answer = "wrong";
  EXPECT_EQ(find_history_faults({with_wrong_answer}, {execution}).size(), 1U)
      << "the response belongs to another request";
  auto reported_not_run = record;
  reported_not_run.outcome = "not-run";
  reported_not_run.status = 503;
  EXPECT_EQ(find_history_faults({reported_not_run}, {execution}).size(), 1U) << "reported as not run, but it ran";
  EXPECT_TRUE(find_history_faults({reported_not_run}, {}).empty());
}

TEST(History, MatchesExecutionToItsRequestAttempt) {
  using load::AttemptRecord;
  using load::ExecutionRecord;
  using load::find_history_faults;
  using load::NotRunScope;
  AttemptRecord interrupted;
  interrupted.tag = "t";
  interrupted.node = "n1";
  interrupted.is_repeatable = true;
  interrupted.status = 502;
  interrupted.outcome = "unknown";
  interrupted.sent_ms = 100;
  interrupted.done_ms = 200;
  AttemptRecord rejected = interrupted;
  rejected.status = 503;
  rejected.outcome = "not-run";
  rejected.sent_ms = 300;
  rejected.done_ms = 400;
  ExecutionRecord execution;
  execution.tag = "t";
  execution.machine = "m1";
  execution.started_ms = 150;
  EXPECT_TRUE(find_history_faults({interrupted, rejected}, {execution}, NotRunScope::kAttempt).empty());
  EXPECT_EQ(find_history_faults({interrupted, rejected}, {execution}).size(), 1U)
      << "an execution by another attempt is a violation in request scope";
  auto execution_between_attempts = execution;
  execution_between_attempts.started_ms = 250;
  EXPECT_EQ(find_history_faults({interrupted, rejected}, {execution_between_attempts}, NotRunScope::kAttempt).size(),
            1U)
      << "an execution outside of all attempts";
  auto execution_of_rejected_attempt = execution;
  execution_of_rejected_attempt.started_ms = 350;
  EXPECT_EQ(find_history_faults({interrupted, rejected}, {execution_of_rejected_attempt}, NotRunScope::kAttempt).size(),
            1U)
      << "an execution by the rejected attempt itself";
  auto reported_not_run = interrupted;
  reported_not_run.outcome = "not-run";
  EXPECT_EQ(find_history_faults({reported_not_run, rejected}, {execution}, NotRunScope::kAttempt).size(), 2U)
      << "the earlier attempt was wrongly reported as not run";
  auto unsafe_interrupted = interrupted;
  auto unsafe_rejected = rejected;
  unsafe_interrupted.is_repeatable = false;
  unsafe_rejected.is_repeatable = false;
  EXPECT_EQ(find_history_faults({unsafe_interrupted, unsafe_rejected}, {execution}, NotRunScope::kAttempt).size(), 1U)
      << "for a request that is unsafe to repeat, not-run applies to all attempts";
  auto keyed_interrupted = interrupted;
  auto keyed_rejected = rejected;
  keyed_interrupted.key = "k";
  keyed_rejected.key = "k";
  EXPECT_EQ(find_history_faults({keyed_interrupted, keyed_rejected}, {execution}, NotRunScope::kAttempt).size(), 1U)
      << "for requests with an idempotency key, not-run applies to all attempts";
}

}  // namespace
}  // namespace larchlever::settings
