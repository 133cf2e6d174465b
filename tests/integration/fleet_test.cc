#include <gtest/gtest.h>

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>

#include "core/base/http_status.h"
#include "emulator/prompt_text.h"
#include "process_fleet.h"

namespace larchlever::integration {
namespace {

std::string expected_text(const std::string& prompt, int tokens) {
  std::string text;
  for (int offset = 0; offset < tokens; ++offset) {
    text += emulator::token_text("user:" + prompt + "\n", offset);
  }
  return text;
}

std::string outcome_of(const net::FetchResult& result) {
  return result.response ? std::string(result.response->headers.find("larchlever-outcome")) : "";
}

int count_executions(ProcessFleet& fleet, const std::string& tag) {
  int count = 0;
  for (const auto& execution : fleet.executions()) {
    count += execution.tag == tag ? 1 : 0;
  }
  return count;
}

TEST(Fleet, NineNodesServeModelAndServiceRequests) {
  ProcessFleet fleet({9, 5, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());

  const auto fetch_result = fleet.fetch("n9", fleet.model_request("hello", 5, false));
  ASSERT_TRUE(fetch_result.response) << fetch_result.error;
  EXPECT_EQ(fetch_result.response->status, 200);
  EXPECT_NE(fetch_result.response->body.find(expected_text("hello", 5)), std::string::npos)
      << fetch_result.response->body;
  EXPECT_EQ(outcome_of(fetch_result), "ran");

  const auto stream = fleet.fetch("n7", fleet.model_request("hello again", 4, true));
  ASSERT_TRUE(stream.response);
  EXPECT_TRUE(stream.response->body.ends_with("data: [DONE]\n\n")) << stream.response->body;

  net::HttpRequest post;
  post.method = "POST";
  post.target = "/forms/sheet?year=2026";
  post.body = "household=17";
  const auto proxied = fleet.fetch("n6", post);
  ASSERT_TRUE(proxied.response);
  EXPECT_NE(proxied.response->body.find("/forms/sheet?year=2026"), std::string::npos);
  EXPECT_EQ(proxied.response->headers.find("x-service"), "forms");

  const auto status = fleet.run_operator_command({"status"});
  EXPECT_EQ(status.exit_code, 0);
  EXPECT_NE(status.output.find("n9"), std::string::npos) << status.output;
  EXPECT_EQ(fleet.run_operator_command({"audit"}).exit_code, 0);
}

TEST(Fleet, IdempotencyKeyPreventsSecondRunAcrossNodesAndLeaderLoss) {
  ProcessFleet fleet({5, 3, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());

  const auto request = fleet.model_request("letter 17", 6, false, "letter-17");
  const auto first = fleet.fetch("n5", request);
  ASSERT_TRUE(first.response);
  ASSERT_EQ(first.response->status, 200) << first.response->body;

  const std::string leader = fleet.leader();
  ASSERT_FALSE(leader.empty());
  fleet.kill_node(leader, SIGKILL);
  const std::string other = leader == "n4" ? "n5" : "n4";
  net::FetchResult again;
  ASSERT_TRUE(wait_until([&] {
    again = fleet.fetch(other, request);
    return again.response && again.response->status == 200;
  }));
  EXPECT_EQ(again.response->headers.find("larchlever-replayed"), "true");
  EXPECT_EQ(again.response->body, first.response->body);
  EXPECT_EQ(count_executions(fleet, "letter 17"), 1);

  const auto mismatch = fleet.fetch(other, fleet.model_request("another letter", 6, false, "letter-17"));
  ASSERT_TRUE(mismatch.response);
  EXPECT_EQ(mismatch.response->status, 422);
  EXPECT_EQ(outcome_of(mismatch), "not-run");
  EXPECT_EQ(count_executions(fleet, "another letter"), 0);
}

// The idempotency key of a safe request is not looked up. An attempt with such a key that found no capacity was
// reported as not run, although the request had run through another node.
TEST(Fleet, SafeKeyedRequestThatRanIsNotReportedAsNotRun) {
  ProcessFleet fleet({3, 1, "[requests]\nqueue_timeout_ms = 300\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  auto request = fleet.model_request("letter 18", 4, false, "letter-18");
  request.headers.add("Larchlever-Repeat", "safe");
  const auto first = fleet.fetch("n2", request);
  ASSERT_TRUE(first.response);
  ASSERT_EQ(first.response->status, 200) << first.response->body;
  fleet.inject_fault_everywhere("die");
  net::FetchResult refused;
  ASSERT_TRUE(wait_until([&] {
    refused = fleet.fetch("n3", request);
    return refused.response && refused.response->status == 503;
  }));
  EXPECT_EQ(outcome_of(refused), "unknown") << refused.response->body;
  auto without_key = request;
  without_key.headers.remove("Idempotency-Key");
  EXPECT_EQ(outcome_of(fleet.fetch("n3", without_key)), "not-run") << "without a key it is a different request";
}

TEST(Fleet, GroupIsReplacedAfterMachineLoss) {
  ProcessFleet fleet({5, 3, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const int before = fleet.serving_group_count();
  ASSERT_TRUE(fleet.inject_fault("celje-d1-m1", "die"));
  // The new group uses the spare machine of the same domain instead of the lost one.
  ASSERT_TRUE(wait_until([&] {
    return fleet.serving_group_count() == before && !fleet.has_serving_group_with("celje-d1-m1");
  })) << fleet.run_operator_command({"groups"}).output;
  ASSERT_TRUE(fleet.inject_fault("celje-d1-m1", "return"));
  ASSERT_TRUE(wait_until([&] {
    const auto machines = fleet.run_operator_command({"machines"}).output;
    const auto line = machines.substr(machines.find("celje-d1-m1"));
    return line.substr(0, line.find('\n')).find("free") != std::string::npos;
  })) << fleet.run_operator_command({"machines"}).output;
}

TEST(Fleet, PartitionedLeaderRejectsRequestsAndRecoversAfterHealing) {
  ProcessFleet fleet({5, 3, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const std::string old_leader = fleet.leader();
  ASSERT_FALSE(old_leader.empty());
  fleet.partition_node(old_leader, true, true);
  std::string new_leader;
  ASSERT_TRUE(wait_until([&] {
    new_leader = fleet.leader();
    return !new_leader.empty() && new_leader != old_leader;
  }));
  // The partitioned node rejects requests, since it cannot confirm its configuration any more.
  ASSERT_TRUE(wait_until([&] {
    const auto refused = fleet.fetch(old_leader, fleet.model_request("through the cut", 2, false));
    return refused.response && refused.response->status == 503 && outcome_of(refused) == "not-run";
  }));
  fleet.clear_link_faults();
  ASSERT_TRUE(wait_until([&] {
    const auto served = fleet.fetch(old_leader, fleet.model_request("after the cut", 2, false));
    return served.response && served.response->status == 200;
  }));
  EXPECT_FALSE(fleet.leader().empty());
}

TEST(Fleet, TenantZoneChangeAppliesOnceAcknowledged) {
  ProcessFleet fleet({5, 3, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const auto file = std::filesystem::temp_directory_path() / ("larchlever-change-" + std::to_string(::getpid()));
  std::ofstream(file) << "[tenant south]\ntemplate = census\nzones = koper\nshare_percent = 40\nmax_concurrent = 64\n";
  const auto dry_run = fleet.run_operator_command({"apply", file.string(), "--dry_run"});
  EXPECT_EQ(dry_run.exit_code, 0) << dry_run.output;
  const auto applied =
      fleet.run_operator_command({"apply", file.string(), "--command_id=move", "--operator_name=test"});
  ASSERT_EQ(applied.exit_code, 0) << applied.output;
  const size_t before = fleet.executions().size();
  for (int number = 0; number < 20; ++number) {
    auto request = fleet.model_request("south " + std::to_string(number), 2, false);
    request.headers.set("Larchlever-Tenant", "south");
    fleet.fetch("n" + std::to_string(number % 5 + 1), request);
  }
  const auto executions = fleet.executions();
  for (size_t position = before; position < executions.size(); ++position) {
    EXPECT_EQ(executions[position].zone, "koper");
  }
  EXPECT_GT(executions.size(), before);
  // Sending the same command again returns the same result.
  const auto resent = fleet.run_operator_command({"apply", file.string(), "--command_id=move", "--operator_name=test"});
  EXPECT_EQ(resent.exit_code, 0) << resent.output;
  std::filesystem::remove(file);
}

TEST(Fleet, GracefulStopInterruptsNoRequests) {
  ProcessFleet fleet({5, 3, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  load::LoadOptions options;
  options.request_count = 400;
  options.caller_count = 12;
  options.service_path = "/forms";
  options.max_output_tokens = 40;
  options.seed = 11;
  options.nodes = {fleet.service_address("n1"), fleet.service_address("n2")};
  // All load goes to two nodes, one of which stops. Callers keep using its address, as behind a load balancer that
  // reacts late.
  load::LoadReport report;
  int exit_code = -1;
  const auto violations = fleet.run_load_and_check(options, report, [&] {
    ASSERT_TRUE(wait_until([&] { return fleet.executions().size() > 60; }));
    fleet.kill_node("n2", SIGTERM);
    exit_code = fleet.wait_for_exit("n2");
  });
  EXPECT_EQ(exit_code, 0);
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_EQ(report.unknown, 0U);
  EXPECT_EQ(report.requests, 400U);
}

// A node took requests from kept connections while it stopped and closed these connections at the end of its drain
// time.
TEST(Fleet, StoppingNodeCompletesOrRefusesStreamsFromKeptConnections) {
  constexpr int kCallers = 8;
  constexpr int kTokens = 640;
  constexpr auto kOffset = std::chrono::milliseconds(350);
  ProcessFleet fleet({3, 1, "[node]\ndrain_timeout_ms = 4000\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  std::mutex mutex;
  std::vector<std::string> failures;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      BlockingClient client;
      std::this_thread::sleep_for(caller * kOffset);
      bool is_open = true;
      for (int number = 0; is_open; ++number) {
        const auto request = fleet.model_request(std::to_string(caller) + "-" + std::to_string(number), kTokens, true);
        const auto result = client.fetch(fleet.service_address("n2"), request);
        is_open = result.response && result.response->headers.find("Connection") != "close";
        served += result.response && result.response->status == http_status::kOk ? 1 : 0;
        refused += result.response && result.response->status == http_status::kServiceUnavailable ? 1 : 0;
        if (!result.response) {
          const std::lock_guard lock(mutex);
          failures.push_back(result.error);
        }
      }
    });
  }
  ASSERT_TRUE(wait_until([&] { return served >= kCallers; }));
  fleet.kill_node("n2", SIGTERM);
  EXPECT_EQ(fleet.wait_for_exit("n2"), 0);
  callers.clear();
  for (const auto& failure : failures) {
    ADD_FAILURE() << failure;
  }
  EXPECT_GT(refused, 0);
}

// A node that stopped before a request had ended crashed on its way out.
TEST(Fleet, StoppingNodeExitsRegularlyWithRequestsLeft) {
  ProcessFleet fleet({3, 1, "[node]\ndrain_timeout_ms = 300\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  ASSERT_TRUE(wait_until([&] {
    const auto result = fleet.fetch("n2", fleet.model_request("first", 4, false));
    return result.response && result.response->status == http_status::kOk;
  }));
  constexpr int kTokens = 1200;
  std::jthread caller([&] {
    BlockingClient client;
    client.fetch(fleet.service_address("n2"), fleet.model_request("long", kTokens, true));
  });
  ASSERT_TRUE(wait_until([&] { return count_executions(fleet, "long") > 0; }));
  fleet.kill_node("n2", SIGTERM);
  EXPECT_EQ(fleet.wait_for_exit("n2"), 0);
}

TEST(Fleet, HistoryCheckPassesUnderFaults) {
  ProcessFleet fleet({6, 4, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  load::LoadOptions options;
  options.request_count = 1200;
  options.caller_count = 16;
  options.service_path = "/forms";
  options.seed = 5;
  options.timeout = std::chrono::milliseconds(40'000);
  load::LoadReport report;
  const auto violations = fleet.run_load_and_check(options, report, [&] {
    const auto pause = [] { std::this_thread::sleep_for(std::chrono::milliseconds(700)); };
    fleet.inject_fault("ljubljana-d1-m1", "die");
    pause();
    fleet.partition_node("n3", true, false);
    pause();
    fleet.kill_node("n2", SIGKILL);
    fleet.inject_fault("koper-d1-m1", "pause");
    pause();
    fleet.start_node("n2");
    load::ProxyFaults slow;
    slow.delay = std::chrono::milliseconds(60);
    fleet.set_link_faults("n5", "n1", slow);
    pause();
    fleet.clear_link_faults();
    fleet.inject_fault("koper-d1-m1", "resume");
    fleet.inject_fault("ljubljana-d1-m1", "return");
    fleet.kill_node("n6", SIGKILL);
    pause();
    fleet.start_node("n6");
  });
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 600U);
}

// A node was killed with safe requests in flight, and their callers sent them again without a key. A partitioned node
// rejected one such attempt as not run. So the caller was told that a request had not run, although it had begun to run
// through the killed node. The history check reports this as "false not-run".
TEST(Fleet, RequestDispatchedByKilledNodeIsNotReportedAsNotRun) {
  ProcessFleet fleet({6, 4, ""});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  load::LoadOptions options;
  options.request_count = 600;
  options.caller_count = 40;
  options.keyed_percent = 0;
  options.safe_percent = 100;
  options.max_output_tokens = 200;
  options.seed = 292;
  options.timeout = std::chrono::milliseconds(40'000);
  options.nodes = {fleet.service_address("n1"), fleet.service_address("n3"), fleet.service_address("n6")};
  load::LoadReport report;
  const auto violations = fleet.run_load_and_check(options, report, [&] {
    fleet.partition_node("n3", true, true);
    ASSERT_TRUE(wait_until([&] {
      const auto refused = fleet.fetch("n3", fleet.model_request("through the cut", 2, false));
      return refused.response && refused.response->status == 503;
    }));
    fleet.kill_node("n6", SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fleet.clear_link_faults();
  });
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.refused_after_lost_answer, 0U) << "no attempt was rejected after one whose response was lost";
}

// A safe request without a key was interrupted while a machine ran it, and its caller sent it again. Three nodes
// rejected these attempts as not run, which is correct for each attempt. The history check reported "false not-run",
// since it wrongly counted the earlier run as a contradiction.
TEST(Fleet, AttemptsRejectedAfterInterruptedStreamAreReportedAsNotRun) {
  ProcessFleet fleet({5, 3, "[requests]\nqueue_timeout_ms = 300\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  load::LoadOptions options;
  options.request_count = 60;
  options.caller_count = 8;
  options.keyed_percent = 0;
  options.safe_percent = 100;
  options.max_output_tokens = 400;
  options.seed = 37;
  options.timeout = std::chrono::milliseconds(40'000);
  const auto fault_all_machines = [&] {
    ASSERT_TRUE(wait_until([&] { return fleet.executions().size() > 12; }));
    fleet.inject_fault_everywhere("die");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    fleet.inject_fault_everywhere("return");
  };
  load::LoadReport report;
  const auto violations = fleet.run_load_and_check(options, report, fault_all_machines, load::NotRunScope::kAttempt);
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.not_run, 0U) << "no attempt was rejected";
}

TEST(Fleet, DataSurvivesSuccessiveReplacementOfTwoLostDisks) {
  ProcessFleet fleet({5, 3, "[control]\nreplica_timeout_ms = 2000\n"});
  fleet.start();
  ASSERT_FALSE(testing::Test::HasFatalFailure());
  const auto first = fleet.fetch("n5", fleet.model_request("kept", 3, false, "kept-key"));
  ASSERT_TRUE(first.response);
  for (const std::string node : {"n2", "n3"}) {
    const auto before = fleet.voters();
    fleet.kill_node(node, SIGKILL);
    fleet.wipe_data(node);
    fleet.start_node(node);
    // Repaired: there are three voters again, one of them with a new identity.
    ASSERT_TRUE(wait_until([&] {
      const auto now = fleet.voters();
      return now.size() == 3 && now != before;
    })) << fleet.run_operator_command({"status"}).output;
  }
  const auto again = fleet.fetch("n4", fleet.model_request("kept", 3, false, "kept-key"));
  ASSERT_TRUE(again.response);
  EXPECT_EQ(again.response->headers.find("larchlever-replayed"), "true") << again.response->body;
  EXPECT_EQ(count_executions(fleet, "kept"), 1);
}

}  // namespace
}  // namespace larchlever::integration
