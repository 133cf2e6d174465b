#include <fcntl.h>
#include <gtest/gtest.h>

#include <random>
#include <thread>

#include "fleet_node_processes.h"

namespace larchlever::integration {
namespace {

constexpr auto kStartTimeout = std::chrono::seconds(5);

// In about one of 80 starts, three of five control replicas never joined, so the configuration could not be changed and
// no entry ever served, although every process kept running. A replica that got the answer "not the leader" moved on to
// the next known replica, and skipped one more when its next query was due. With an even number of known replicas it
// asked only every second one, again and again. 6 s after such a start, two replicas that knew 4 others each had sent
// 50 or 51 queries to each of two of them, and none or 1 to the leader. Two replicas that know only each other
// reproduce this at every start: the second one asks only itself.
TEST(FleetNodeStart, ReplicaAsksAllOtherReplicasForLeader) {
  FleetNodeOptions options;
  options.control_replicas = 2;
  options.entries = 0;
  options.seeds = 2;
  options.tolerated_losses = 1;
  FleetNodeProcesses fleet(options);
  fleet.start_all();
  EXPECT_TRUE(
      wait_until([&] { return fleet.log("c2").find("event=voters_changed") != std::string::npos; }, kStartTimeout))
      << "the second replica did not become a voter";
}

TEST(FleetNodeStart, FleetServesAfterEveryStart) {
  constexpr int kStartCount = 10;
  constexpr int kMaxDelayMs = 50;
  std::mt19937 random(20261202);
  for (int run = 0; run < kStartCount; ++run) {
    FleetNodeProcesses fleet({});
    auto nodes = fleet.all_nodes();
    std::shuffle(nodes.begin(), nodes.end(), random);
    for (const auto& node : nodes) {
      fleet.start(node);
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % (kMaxDelayMs / nodes.size() + 1)));
    }
    ASSERT_TRUE(fleet.put_document(7, kStartTimeout)) << "in start " << run;
    ASSERT_TRUE(fleet.wait_until_entries_ready(kStartTimeout)) << "in start " << run;
    for (const auto& control : fleet.control_replicas()) {
      EXPECT_TRUE(wait_until([&] { return fleet.document_version_at(control) == 7; }, kStartTimeout))
          << control << " in start " << run;
    }
  }
}

// A platform that runs several nodes on one machine gives each node a settings file of its own and passes its path in
// the environment. The path was not read from there: all processes of a fleet of 14 exited at once with exit code 3.
TEST(FleetNodeStart, ReadsSettingsPathFromEnvironment) {
  FleetNodeProcesses fleet({});
  for (const auto& node : fleet.all_nodes()) {
    fleet.start_with_settings_from_environment(node);
  }
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  EXPECT_TRUE(fleet.wait_until_entries_ready(kStartTimeout));
}

// A process that found one of its ports occupied exited at once with exit code 7. The predecessor of the process may
// still be stopping and release the port soon. Without the process, a fleet may lack the voters that it needs to accept
// its first document.
TEST(FleetNodeStart, WaitsForOccupiedPort) {
  FleetNodeProcesses fleet({});
  boost::asio::io_context context;
  using boost::asio::ip::tcp;
  const std::string occupied_endpoint = fleet.control_endpoint("c1");
  const auto colon = occupied_endpoint.find(':');
  const tcp::endpoint endpoint(boost::asio::ip::make_address(occupied_endpoint.substr(0, colon)),
                               static_cast<uint16_t>(std::stoi(occupied_endpoint.substr(colon + 1))));
  auto port_holder = std::make_unique<tcp::acceptor>(context, endpoint);
  ASSERT_EQ(::fcntl(port_holder->native_handle(), F_SETFD, FD_CLOEXEC), 0)
      << "child processes must not inherit the socket";
  fleet.start_all();
  EXPECT_TRUE(wait_until([&] { return fleet.log("c1").find("cannot listen on") != std::string::npos; }, kStartTimeout));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_TRUE(fleet.is_running("c1"));
  port_holder.reset();
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  EXPECT_TRUE(wait_until([&] { return fleet.document_version_at("c1") == 7; }, kStartTimeout));
}

// Only one of the three seeds, the one with the lowest address, could found the cluster. Without it, or if its address
// was written differently, the others answered every call with 503, and no log line gave the reason. Two of three seeds
// must be enough, and the third must join when it starts.
TEST(FleetNodeStart, ClusterFormsWithoutLowestSeed) {
  FleetNodeProcesses fleet({});
  for (const auto& node : fleet.all_nodes()) {
    if (node != "c1") {
      fleet.start(node);
    }
  }
  EXPECT_TRUE(
      wait_until([&] { return fleet.log("c3").find("event=voters_changed") != std::string::npos; }, kStartTimeout))
      << "no replica founded the cluster";
  fleet.start("c1");
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  EXPECT_TRUE(wait_until([&] { return fleet.document_version_at("c1") == 7; }, kStartTimeout));
  EXPECT_EQ(fleet.log("c1").find("event=cluster_founded"), std::string::npos);
}

// The seed that founded the cluster may lose its disk later and be restarted with the same settings. It founded a
// second cluster of which it was the only voter and never rejoined the first one; every call to it was answered with
// 503.
TEST(FleetNodeStart, SeedWithEmptyDiskRejoinsWithFirstStartSettings) {
  FleetNodeProcesses fleet({});
  ASSERT_TRUE(fleet.start_serving(kStartTimeout));
  fleet.kill("c1");
  fleet.wipe_data("c1");
  fleet.start("c1");
  EXPECT_TRUE(wait_until([&] { return fleet.document_version_at("c1") == 7; }, kStartTimeout));
  ASSERT_TRUE(fleet.put_document(8, kStartTimeout));
  EXPECT_TRUE(wait_until([&] { return fleet.document_version_at("c1") == 8; }, kStartTimeout));
}

// A settings file that is read while it is being written is rejected, and is read again until it is complete.
TEST(FleetNodeStart, ReloadsSettingsFileAfterRejection) {
  FleetNodeOptions options;
  options.control_replicas = 1;
  options.entries = 0;
  options.seeds = 1;
  options.tolerated_losses = 0;
  FleetNodeProcesses fleet(options);
  fleet.start("c1");
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  const auto path = fleet.folder() / "c1.ini";
  const std::string whole = read_file(path);
  write_file(path, whole.substr(0, whole.size() / 2));
  const auto written_at = std::filesystem::last_write_time(path);
  EXPECT_TRUE(
      wait_until([&] { return fleet.log("c1").find("event=settings_refused") != std::string::npos; }, kStartTimeout));
  write_file(path, whole);
  std::filesystem::last_write_time(path, written_at);
  EXPECT_TRUE(
      wait_until([&] { return fleet.log("c1").find("event=settings_reloaded") != std::string::npos; }, kStartTimeout));
  EXPECT_TRUE(fleet.is_running("c1"));
}

// Logs go to standard output. If this is a full pipe that nobody reads, a blocking write stops the whole process, and
// with it leases, elections and all requests.
TEST(FleetNodeStart, ServesWithFullLogPipe) {
  FleetNodeProcesses fleet({});
  for (const auto& node : fleet.all_nodes()) {
    fleet.start_with_full_output_pipe(node);
  }
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  EXPECT_TRUE(fleet.wait_until_entries_ready(kStartTimeout));
}

// A process may be started without standard descriptors. The first files that it opens then get their numbers, and log
// lines end up in a peer connection or in the replicated log.
TEST(FleetNodeStart, ServesWithoutStandardDescriptors) {
  FleetNodeProcesses fleet({});
  for (const auto& node : fleet.all_nodes()) {
    fleet.start_without_standard_descriptors(node);
  }
  ASSERT_TRUE(fleet.put_document(7, kStartTimeout));
  ASSERT_TRUE(fleet.wait_until_entries_ready(kStartTimeout));
  for (const auto& node : fleet.all_nodes()) {
    const auto descriptor = "/proc/" + std::to_string(fleet.process_id(node)) + "/fd/1";
    EXPECT_EQ(std::filesystem::read_symlink(descriptor), "/dev/null") << node;
  }
}

// Processes that had closed everything blocked in destructors of libraries, which waited for their threads, until they
// were killed at the end of the grace period. This happened to six of six entries in a rolling stop, 4 s after their
// last log line.
TEST(FleetNodeStop, ProcessExitsPromptlyAfterStoppedEvent) {
  auto options = FleetNodeOptions::with_three_replicas(1);
  FleetNodeProcesses fleet(options);
  ASSERT_TRUE(fleet.start_serving(std::chrono::seconds(15)));
  for (const std::string node : {"e1", "c2"}) {
    const auto stop_requested_at = std::chrono::steady_clock::now();
    EXPECT_EQ(fleet.terminate(node), 0) << node;
    EXPECT_LT(std::chrono::steady_clock::now() - stop_requested_at, std::chrono::seconds(6)) << node;
    const std::string log = fleet.log(node);
    const size_t stopped = log.find("event=stopped");
    ASSERT_NE(stopped, std::string::npos) << node;
    EXPECT_EQ(log.find('\n', stopped), log.size() - 1) << node << " logged more lines after the stopped event";
  }
}

}  // namespace
}  // namespace larchlever::integration
