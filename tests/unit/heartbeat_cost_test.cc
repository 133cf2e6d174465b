// Processor time of an entry's heartbeat at the control replica that it subscribes to.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/fleet/entry_distributor.h"
#include "simulation/processor_clock.h"

namespace larchlever::fleet {
namespace {

constexpr int kSmallFleet = 60;
constexpr int kLargeFleet = 600;
constexpr int kMeasuredHeartbeats = 600;
/// A cost that is proportional to the number of entries would grow by `kLargeFleet / kSmallFleet`.
constexpr double kMaxGrowth = 3;
constexpr int kRepetitions = 5;

wire::Envelope heartbeat(int entry, int64_t sequence) {
  wire::Envelope envelope;
  envelope.from_node = "10.1." + std::to_string(entry / 200) + "." + std::to_string(entry % 200) + ":7340";
  envelope.from_incarnation = 1;
  envelope.__isset.fleet_heartbeat = true;
  envelope.fleet_heartbeat.sequence = sequence;
  envelope.fleet_heartbeat.serves_requests = true;
  envelope.fleet_heartbeat.zone = "zone-" + std::to_string(entry % 5);
  envelope.fleet_heartbeat.__set_relay_address(envelope.from_node + "-relay");
  return envelope;
}

/// Processor time in nanoseconds of `kMeasuredHeartbeats` heartbeats, a quarter of a second apart for each entry.
double measure_heartbeats(int entries) {
  const FleetOptions options;
  FleetSubscription subscription(options, {"10.0.0.1:1", "zone-0", "10.0.0.1:2", Incarnation(1), false}, {});
  EntryDistributor distributor(options);
  const DistributorSource source{subscription, "10.0.0.2:1", {}};
  TimePoint now{seconds(100)};
  int64_t sequence = 0;
  const auto report = [&](int entry) {
    now += options.entry_heartbeat_interval / entries;
    distributor.entries_hold_version(now);
    distributor.handle_heartbeat(now, heartbeat(entry, ++sequence), source);
    distributor.entries_hold_version(now);
    distributor.take_envelopes();
  };
  for (int entry = 0; entry < entries; ++entry) {
    report(entry);
  }
  const int64_t before_ns = simulation::thread_processor_time_ns();
  for (int number = 0; number < kMeasuredHeartbeats; ++number) {
    report(number % entries);
  }
  return static_cast<double>(simulation::thread_processor_time_ns() - before_ns);
}

// Guards against control replicas that a few hundred entries keep busy with heartbeats alone: each heartbeat cost more
// the more entries there were.
TEST(HeartbeatCost, DoesNotGrowWithTheNumberOfEntries) {
  std::vector<double> growths;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const double small = measure_heartbeats(kSmallFleet);
    growths.push_back(measure_heartbeats(kLargeFleet) / small);
  }
  EXPECT_LT(*std::min_element(growths.begin(), growths.end()), kMaxGrowth);
}

}  // namespace
}  // namespace larchlever::fleet
