#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "core/document/route_table.h"
#include "core/fleet/crash_attribution/blocked_requests.h"
#include "core/fleet/dispatcher.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/relay_peers.h"
#include "core/requests/recent_quantile.h"
#include "core/requests/shutdown_admission.h"
#include "node/answer_sizes.h"

namespace larchlever::node {

/// Request counters of an entry, by result. `refused_retryable` counts 503 and 429, `refused_permanently` other
/// refusals.
struct EntryCounters {
  uint64_t requests = 0;
  uint64_t served = 0;
  uint64_t refused_retryable = 0;
  uint64_t failed = 0;
  uint64_t refused_permanently = 0;
  uint64_t refused_blocked = 0;
  uint64_t caller_disconnects = 0;
  uint64_t retries = 0;
  /// Retries that the entry's share of the retry budget did not allow.
  uint64_t retries_over_budget = 0;
  uint64_t resumed = 0;
  /// Responses of servers that were discarded because they did not answer the request whose response was due.
  uint64_t surplus_responses = 0;
  uint64_t stalls = 0;
  /// Requests for which a second server was looked for while theirs was silent, and those that it took over.
  uint64_t hedges = 0;
  uint64_t superseded = 0;
  /// Attempts that other entries relayed, by result: a server's response, a refusal, or neither.
  uint64_t relayed_by_peers = 0;
  uint64_t refused_by_peers = 0;
  uint64_t failed_at_peers = 0;
  /// Requests that this entry relayed for others.
  uint64_t relayed_for_peers = 0;
};

/// State shared by the components of an entry, all on one thread.
struct EntryState {
  EntryState(const fleet::FleetOptions& options, const fleet::PeerIdentity& identity,
             const std::vector<std::string>& seeds, uint64_t random_seed)
      : subscription(options, identity, seeds),
        dispatcher(options, identity.zone, random_seed),
        relay_peers(identity.zone, random_seed),
        zone_regions(options.zones),
        admission(options.admission),
        refusal_random_engine(random_seed),
        answer_sizes(options.admission.learned_costs) {}

  fleet::FleetSubscription subscription;
  fleet::Dispatcher dispatcher;
  /// Entries that relay requests to servers that this one does not reach.
  fleet::RelayPeers relay_peers;
  /// Maps each zone in the settings to its region.
  document::ZoneRegions zone_regions;
  fleet::AdmissionOptions admission;
  /// Spreads the retry times of refused callers.
  std::mt19937_64 refusal_random_engine;
  /// Requests that are known to crash the servers that run them.
  fleet::BlockedRequests blocked_request_tracker;
  /// Null until the first configuration document arrives.
  std::shared_ptr<const document::RouteTable> routes;
  /// By model: actual minus predicted time to the first event, an error that the leader's cost model leaves out.
  std::map<std::string, requests::RecentQuantile> first_event_excess;
  AnswerSizes answer_sizes;
  requests::ShutdownAdmission shutdown_admission;
  EntryCounters counters;
  bool traffic_seen = false;
};

}  // namespace larchlever::node
