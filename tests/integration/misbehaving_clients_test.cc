#include <gtest/gtest.h>

#include <thread>

#include "client_crowd.h"
#include "core/base/http_status.h"
#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Only ends a test whose process hangs; nothing depends on how fast the crowd is served.
constexpr auto kHangTimeout = seconds(30);
/// How long an ordinary client waits for its answer.
constexpr auto kPatience = seconds(8);
/// Memory of the smallest machines on which entries and control replicas run.
constexpr size_t kMemoryOfEntry = 260'000'000;
constexpr size_t kMemoryOfControlReplica = 256'000'000;
/// Descriptors that a process may hold in excess of those before the crowd came, once the crowd has left.
constexpr size_t kMaxLeftDescriptors = 16;
/// Limit on descriptors of processes that meet more clients than that.
constexpr int kMaxDescriptors = 256;
/// Clients that are too many are not left to this timeout.
constexpr auto kLongTimeout = seconds(60);
constexpr size_t kMoreClientsThanDescriptors = 300;
constexpr size_t kSendingClients = 40;
/// The clients together send more than twice the memory of a machine.
constexpr size_t kSentBytesPerClient = 16'000'000;
constexpr size_t kStallingClients = 100;
constexpr auto kSlowResponse = seconds(3);
/// Bodies of which nothing has arrived for this long give way to others.
constexpr auto kStallTime = milliseconds(1500);
/// `max_body_bytes` of the document.
constexpr size_t kMaxBodyBytes = 4'194'304;

/// A listener of a process, and the process that listens.
struct Listener {
  const char* name;
  const char* node;
  const char* port;
  const char* method;
  const char* target;
  size_t memory_bytes;
};

constexpr Listener kCallers = {"Callers", "e1", ":8227", "POST", "/forms/1", kMemoryOfEntry};
constexpr Listener kReadiness = {"Readiness", "e1", ":8220", "GET", "/ready", kMemoryOfEntry};
constexpr Listener kRelay = {"Relay", "e1", ":7355", "POST", "/forms/1", kMemoryOfEntry};
constexpr Listener kOperators = {"Operators", "c1", ":8229", "PUT", "/v1/configuration", kMemoryOfControlReplica};

std::ostream& operator<<(std::ostream& out, const Listener& listener) { return out << listener.name; }

std::string make_head(const Listener& listener, const std::string& framing) {
  return std::string(listener.method) + " " + listener.target +
         " HTTP/1.1\r\nHost: forms.example\r\nLarchlever-Request-Id: e1-crowd\r\n" + framing + "\r\n\r\n";
}

std::string make_chunked_head(const Listener& listener) { return make_head(listener, "Transfer-Encoding: chunked"); }

std::string make_chunk(const std::string& hexadecimal_size, size_t size) {
  return hexadecimal_size + "\r\n" + std::string(size, 'x') + "\r\n";
}

/// Runs three control replicas, one entry and a plain server.
class MisbehavingClients : public PlainServerFleetFixture, public testing::WithParamInterface<Listener> {
 protected:
  explicit MisbehavingClients(const FleetNodeOptions& options = FleetNodeOptions::with_three_replicas(1))
      : PlainServerFleetFixture(options, 1) {}

  void SetUp() override {
    PlainServerFleetFixture::SetUp();
    process_id_ = fleet_.process_id(GetParam().node);
    descriptors_before_ = fleet_.open_descriptors(GetParam().node);
  }

  std::string crowd_endpoint() const { return fleet_.address(GetParam().node) + GetParam().port; }

  static int status_of(const net::FetchResult& result) { return result.response ? result.response->status : 0; }
  int call_forms(const std::string& id, const std::string& body = "") {
    BlockingClient client;
    return status_of(fleet_.call_forms(client, "e1", "e1-" + id, body, kPatience));
  }
  int call_at(const std::string& endpoint, const std::string& target) {
    BlockingClient client;
    net::HttpRequest request;
    request.target = target;
    return status_of(client.fetch(endpoint, request, kPatience));
  }
  /// Sends one ordinary request to the process that the crowd calls, on a new connection.
  int call_process() {
    const std::string name = GetParam().name;
    if (name == kOperators.name) {
      return call_at(crowd_endpoint(), "/v1/configuration");
    }
    return name == kReadiness.name ? call_at(crowd_endpoint(), "/ready") : call_forms("ordinary", "form");
  }

  /// The crowd is still connected.
  void expect_process_serves() {
    const auto& listener = GetParam();
    RecordProperty("peak_megabytes", std::to_string(fleet_.peak_resident_bytes(listener.node) / 1'000'000));
    EXPECT_LT(fleet_.peak_resident_bytes(listener.node), listener.memory_bytes);
    EXPECT_EQ(call_process(), http_status::kOk);
    EXPECT_LT(fleet_.peak_resident_bytes(listener.node), listener.memory_bytes);
    EXPECT_TRUE(fleet_.is_running(listener.node));
    EXPECT_EQ(fleet_.process_id(listener.node), process_id_);
  }
  void expect_descriptors_are_released() {
    EXPECT_TRUE(wait_until(
        [this] { return fleet_.open_descriptors(GetParam().node) <= descriptors_before_ + kMaxLeftDescriptors; },
        kHangTimeout))
        << fleet_.open_descriptors(GetParam().node) << " open, " << descriptors_before_ << " before";
  }
  void run_crowd(size_t client_count, const ClientScript& script) {
    {
      const ClientCrowd crowd(crowd_endpoint(), client_count, script);
      EXPECT_TRUE(crowd.wait_until_settled(kHangTimeout)) << "a client neither sent everything nor was disconnected";
      RecordProperty("disconnected", std::to_string(crowd.disconnected_count()));
      expect_process_serves();
    }
    expect_descriptors_are_released();
  }

  int process_id_ = -1;
  size_t descriptors_before_ = 0;
};

std::string name_of(const testing::TestParamInfo<Listener>& info) { return info.param.name; }

const auto kAllListeners = testing::Values(kCallers, kReadiness, kRelay, kOperators);

// ------------------------------------------------------------------ framing

/// Framing of a body that never ends, within a body that is short.
using EndlessFraming = MisbehavingClients;

// The parser buffered trailer fields until their end, without a limit.
TEST_P(EndlessFraming, TrailersTakeBoundedMemory) {
  run_crowd(kSendingClients,
            {make_chunked_head(GetParam()) + "4\r\nform\r\n0\r\n", "X-Field: value\r\n", kSentBytesPerClient});
}

TEST_P(EndlessFraming, TrailerLineTakesBoundedMemory) {
  run_crowd(kSendingClients, {make_chunked_head(GetParam()) + "4\r\nform\r\n0\r\nX: ", "x", kSentBytesPerClient});
}

TEST_P(EndlessFraming, ChunkExtensionTakesBoundedMemory) {
  run_crowd(kSendingClients, {make_chunked_head(GetParam()) + "4;", "x", kSentBytesPerClient});
}

INSTANTIATE_TEST_SUITE_P(At, EndlessFraming, kAllListeners, name_of);

// ---------------------------------------------------------- rejected requests

/// Clients that go on sending although their request was rejected.
class RejectedClients : public MisbehavingClients {
 protected:
  static constexpr size_t kWithoutEnd = ClientScript::kWithoutEnd;

  void expect_disconnected_while_sending(const ClientScript& script) {
    const ClientCrowd crowd(crowd_endpoint(), kSendingClients, script);
    EXPECT_TRUE(crowd.wait_until_settled(kHangTimeout)) << crowd.disconnected_count() << " were disconnected";
    expect_process_serves();
    expect_descriptors_are_released();
  }
};

// A client that sends without a pause met no deadline, because each read completed before its timer fired.
TEST_P(RejectedClients, AreDisconnectedWhileTheySendBodyOfKnownLength) {
  expect_disconnected_while_sending({make_head(GetParam(), "Content-Length: 4000000000"), "x", kWithoutEnd});
}

TEST_P(RejectedClients, AreDisconnectedWhileTheySendChunks) {
  expect_disconnected_while_sending({make_chunked_head(GetParam()), make_chunk("10000", 0x10000), kWithoutEnd});
}

TEST_P(RejectedClients, AreDisconnectedWhileTheySendOneChunk) {
  expect_disconnected_while_sending({make_chunked_head(GetParam()) + "fffffff0\r\n", "x", kWithoutEnd});
}

INSTANTIATE_TEST_SUITE_P(At, RejectedClients, kAllListeners, name_of);

// ------------------------------------------------------------ stalled bodies

/// Bodies within the limits that stop just short of their end.
using StalledBodies = MisbehavingClients;

// The bodies of incomplete requests were held without a limit on their total size.
TEST_P(StalledBodies, OfKnownLengthTakeBoundedMemory) {
  run_crowd(kStallingClients,
            {make_head(GetParam(), "Content-Length: " + std::to_string(kMaxBodyBytes)), "x", kMaxBodyBytes - 1});
}

TEST_P(StalledBodies, InLargeChunksTakeBoundedMemory) {
  constexpr size_t kChunkBytes = 0x10000;
  const std::string chunk = make_chunk("10000", kChunkBytes);
  run_crowd(kStallingClients, {make_chunked_head(GetParam()), chunk, (kMaxBodyBytes / kChunkBytes - 1) * chunk.size()});
}

TEST_P(StalledBodies, InSmallChunksTakeBoundedMemory) {
  constexpr size_t kChunkBytes = 16;
  const std::string chunk = make_chunk("10", kChunkBytes);
  run_crowd(kStallingClients, {make_chunked_head(GetParam()), chunk, (kMaxBodyBytes / kChunkBytes - 1) * chunk.size()});
}

INSTANTIATE_TEST_SUITE_P(At, StalledBodies, kAllListeners, name_of);

/// Whole bodies within the limits, at servers that take their time.
class BodiesAtSlowServers : public MisbehavingClients {
 protected:
  void SetUp() override {
    MisbehavingClients::SetUp();
    servers_[0]->set_delay(kSlowResponse);
  }
};

// A body was held three times while its request was at a server, and those of all requests had no common limit.
TEST_P(BodiesAtSlowServers, TakeBoundedMemory) {
  run_crowd(kStallingClients,
            {make_head(GetParam(), "Content-Length: " + std::to_string(kMaxBodyBytes)), "x", kMaxBodyBytes});
}

INSTANTIATE_TEST_SUITE_P(At, BodiesAtSlowServers, testing::Values(kCallers, kOperators), name_of);

/// Less memory for bodies than one request within the limits needs.
class SmallBodyBudget : public MisbehavingClients {
 protected:
  SmallBodyBudget() : MisbehavingClients(fleet_options()) {}

  static FleetNodeOptions fleet_options() {
    auto options = FleetNodeOptions::with_three_replicas(1);
    options.entry_settings = "request_buffers_mb = 1\n";
    return options;
  }
};

TEST_P(SmallBodyBudget, ServesOneLongestBodyAlone) {
  for (int request = 0; request < 3; ++request) {
    EXPECT_EQ(call_forms("long-" + std::to_string(request), std::string(kMaxBodyBytes, 'x')), http_status::kOk);
  }
}

// Clients within the limits were refused because others let long bodies rest.
TEST_P(SmallBodyBudget, ServesOneLongestBodyBesideStalledOnes) {
  const ClientCrowd crowd(crowd_endpoint(), kStallingClients,
                          {make_head(GetParam(), "Content-Length: 4000000"), "x", 100'000});
  EXPECT_TRUE(crowd.wait_until_settled(kHangTimeout));
  std::this_thread::sleep_for(kStallTime);
  EXPECT_EQ(call_forms("long", std::string(kMaxBodyBytes, 'x')), http_status::kOk);
}

INSTANTIATE_TEST_SUITE_P(At, SmallBodyBudget, testing::Values(kCallers), name_of);

// --------------------------------------------------------------- descriptors

/// More clients than the process may have descriptors.
class TooManyClients : public MisbehavingClients {
 protected:
  TooManyClients() : MisbehavingClients(fleet_options()) {}

  static FleetNodeOptions fleet_options() {
    auto options = FleetNodeOptions::with_three_replicas(1);
    options.max_descriptors = kMaxDescriptors;
    options.header_timeout = kLongTimeout;
    return options;
  }
};

using TooManyIncompleteHeads = TooManyClients;
using TooManyIncompleteBodies = TooManyClients;

// Connections of clients that never completed a request used all descriptors; nothing else was accepted or opened.
TEST_P(TooManyIncompleteHeads, LeaveDescriptors) {
  run_crowd(kMoreClientsThanDescriptors,
            {std::string(GetParam().method) + " " + GetParam().target + " HTTP/1.1\r\n", "", 0});
}

TEST_P(TooManyIncompleteBodies, LeaveDescriptors) {
  run_crowd(kMoreClientsThanDescriptors, {make_head(GetParam(), "Content-Length: 100") + "form", "", 0});
}

INSTANTIATE_TEST_SUITE_P(At, TooManyIncompleteHeads, kAllListeners, name_of);
INSTANTIATE_TEST_SUITE_P(At, TooManyIncompleteBodies, kAllListeners, name_of);

}  // namespace
}  // namespace larchlever::integration
