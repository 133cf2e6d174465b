#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/document/configuration_document.h"
#include "core/engine/pass_simulator.h"
#include "core/fair_share/share_ledger.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/group_stall_detector.h"
#include "core/fleet/server_rate_limiter.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The answer to a slot request of an entry.
struct SlotDecision {
  std::string node;
  wire::SlotGrant grant;
};

/// The leader's admission control for engine groups: grants group slots to the requests of all entries, one by one.
///
/// Each entry knows its own requests, but the requests of other entries only with a delay, so entries that decided
/// alone would all choose the same group. The scheduler sees every request before it is sent. It knows the requests in
/// flight and the pending prompts of each group, and grants a slot only if the first event is expected in time and no
/// engine pass becomes so long that the pauses of other streams exceed their objective. A request waits if no group has
/// room; waiting requests are ordered by priority. Requests that can only be late are served after the others, and get
/// a slot at their queue deadline if one is free: a late answer is better than none.
///
/// The scheduler also applies the rate limits of servers, both heads of groups and plain servers. If only rate-limited
/// servers can serve a request, it waits if it can be sent before its queue deadline, and is refused immediately
/// otherwise. Capacity is given by priority, then by age; with AdmissionOptions::fair_shares, by the shares of tenants.
///
/// Grants are advisory: nothing breaks if a deposed leader grants slots, or if entries decide alone while there is no
/// leader. An entry's load reports include a slot once the entry has received it. Single-threaded, deterministic.
class SlotScheduler {
 public:
  explicit SlotScheduler(const AdmissionOptions& options = {}) : options_(options) {}
  /// Starts a new leadership in `term`. Loads are unknown until nodes report them.
  void start(int64_t term);
  /// Sets all servers with a request rate limit.
  void set_rate_limited_servers(const std::vector<RateLimitedServer>& servers) { rate_limiter_.set_servers(servers); }
  /// Updates the groups; only open groups get requests. `heads` maps groups to the incarnations of heads that are
  /// rate-limited.
  void set_groups(const std::vector<wire::EngineGroup>& groups, const std::map<std::string, std::string>& heads = {});
  /// Processes a load report of a node: for all groups if `is_complete`, otherwise only for those listed. The node has
  /// received the grants up to sequence `grants_seen` of term `grants_term`.
  void note_loads(const std::string& node, const std::vector<wire::GroupLoad>& loads, bool is_complete,
                  int64_t grants_term, int64_t grants_seen);
  /// The complete list of groups whose streams at the node currently pause too long. If two nodes report a group, other
  /// groups are preferred.
  void note_quiet_groups(TimePoint now, const std::string& node, const std::vector<std::string>& groups) {
    silence_watch_.note_quiet(now, node, groups);
  }
  /// Returns the groups found to be stalled since the last call. They get no more requests.
  std::vector<std::string> find_failed_groups(TimePoint now, const document::ConfigurationDocument& document);
  /// Nodes that have requests or unreported grants at the group.
  std::vector<std::string> nodes_using_group(const std::string& group) const;
  /// Removes a lost node with its requests and load.
  void forget_node(const std::string& node);
  void add_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  /// Decides all requests that can be decided now. Call after every input and every few milliseconds. Waiting requests
  /// are reviewed only at intervals, so the cost of an input does not grow with their number.
  std::vector<SlotDecision> decide(TimePoint now, const document::ConfigurationDocument& document);

  /// Number of requests that wait for a slot.
  size_t waiting_count() const { return waiting_requests_.size() + new_requests_.size(); }
  /// Requests in flight at a group, including granted slots that are not used yet.
  int in_flight(const std::string& group) const;

 private:
  struct TrackedGroup {
    std::string service;
    std::string model;
    bool is_open = false;
    int in_flight = 0;
    /// Found to be stalled. Stays set, because a re-formed group has a new name.
    bool has_failed = false;
    /// The head's incarnation if it is rate-limited, otherwise empty.
    std::string rate_limited_head;
    /// Zones of the members, sorted.
    std::vector<std::string> zones;
    engine::PassSimulator pass_clock;
  };
  struct NodeLoads {
    std::map<std::string, int> in_flight;
    /// Grants that the node's load reports do not include yet: sequence and group.
    std::deque<std::pair<int64_t, std::string>> unreported_grants;
    int64_t next_sequence = 1;
  };
  struct WaitingRequest {
    std::string node;
    wire::SlotRequest request;
    TimePoint arrived_at{};
    TimePoint queue_deadline{};
    bool is_queued_sent = false;  ///< The verdict QUEUED was sent to the entry.
    /// What the request costs its tenant's share; see request_cost.
    double cost = 0;
  };
  using ModelKey = std::pair<std::string, std::string>;  ///< Service and model.
  /// Requests that compete for the same servers: for one model with the same allowed zones, or for the same plain
  /// servers.
  struct QueueKey {
    ModelKey model;
    std::vector<std::string> allowed_zones;
    std::vector<std::string> rated_servers;
    auto operator<=>(const QueueKey&) const = default;
  };
  /// Aggregate of the servers that serve a queue, if all of them are rate-limited.
  struct LimitedServers {
    /// When the first of them may get a request.
    TimePoint next_allowed_at{};
    /// Sum of their limits, in requests per second.
    double requests_per_second = 0;
  };
  using GroupItem = std::pair<const std::string, TrackedGroup>;
  enum class Feasibility { kInTime, kLate, kNone };
  /// Whether a request may be answered late, which is allowed at its queue deadline. It is refused if there is no room
  /// even so.
  enum class LateAnswers { kNotYet, kAllowed };
  struct SlotCandidate {
    /// The group's name, or the incarnation of a plain server.
    std::string name;
    Duration first_event{};
    Feasibility feasibility = Feasibility::kNone;
    bool is_quiet = false;
  };

  /// Whether the objective for the first event has already passed.
  static bool has_missed_objective(TimePoint now, const WaitingRequest& waiting);
  static ModelKey model_key(const WaitingRequest& waiting) {
    return {waiting.request.service_name, waiting.request.model};
  }
  static QueueKey queue_key(const WaitingRequest& waiting);
  /// Whether the request asks for a plain server instead of a group.
  static bool asks_for_plain_server(const WaitingRequest& waiting) { return waiting.request.__isset.rated_servers; }
  /// Whether the entry uses another server if the requested ones have no room, so the request is never queued.
  static bool has_other_servers(const WaitingRequest& waiting) {
    return asks_for_plain_server(waiting) && waiting.request.patience_ms <= 0;
  }
  /// Whether all members of the group are in zones that the request allows.
  static bool is_in_allowed_zones(const WaitingRequest& waiting, const TrackedGroup& group);
  void set_load(NodeLoads& node, const std::string& group, int in_flight);
  /// The group with room that is expected to produce the first event soonest; one that meets the objective, if any
  /// does.
  SlotCandidate best_group(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                           const WaitingRequest& waiting);
  /// The first of the requested plain servers whose rate limit allows a request.
  SlotCandidate best_server(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting);
  /// Whether the request may be sent to the group, regardless of free slots.
  static bool may_use_group(const WaitingRequest& waiting, const std::string& name, const TrackedGroup& group);
  /// Aggregate of the servers that may serve the request, if every one of them has a rate limit.
  std::optional<LimitedServers> limited_servers(TimePoint now, const document::ServiceSpec& service,
                                                const WaitingRequest& waiting);
  /// Whether even an idle group could not meet the objective for the first event.
  static bool is_objective_unreachable(const document::EngineSpec& engine, const document::ModelSpec& model,
                                       const WaitingRequest& waiting);
  /// The service and model that a request asks for; the model is null for plain servers.
  struct RequestedService {
    const document::ServiceSpec& service;
    const document::ModelSpec* model = nullptr;
  };
  /// Empty if this leader knows of no servers for the request.
  std::optional<RequestedService> find_requested_service(const document::ConfigurationDocument& document,
                                                         const WaitingRequest& waiting) const;
  /// Grants the best server or group if any has room; otherwise marks the queue of the request as blocked.
  bool try_grant(TimePoint now, const RequestedService& requested, const WaitingRequest& waiting,
                 LateAnswers late_answers, std::vector<SlotDecision>& decisions);
  /// Returns true if the decision is final.
  bool decide_request(TimePoint now, const document::ConfigurationDocument& document, WaitingRequest& waiting,
                      LateAnswers late_answers, std::vector<SlotDecision>& decisions);
  void decide_waiting_requests(TimePoint now, const document::ConfigurationDocument& document,
                               std::vector<SlotDecision>& decisions);
  /// Sorts the waiting requests by priority, then those that can still be in time first, then by age.
  void sort_by_priority(TimePoint now);
  /// Sorts the waiting requests of each pool by the shares of their tenants.
  void sort_by_shares(TimePoint now);
  /// The servers whose room a request takes part of, for its tenant's share.
  static ModelKey pool_key(const WaitingRequest& waiting);
  /// Expected occupation of a group's slot in milliseconds; a constant for plain servers, whose answers are of similar
  /// duration.
  static double request_cost(const RequestedService& requested, const WaitingRequest& waiting);
  static fair_share::PendingRequest pending_request(TimePoint now, const WaitingRequest& waiting);
  /// Counts the new requests as demand of their tenants.
  void note_arrivals(TimePoint now, const document::ConfigurationDocument& document);
  /// Charges a granted request to its tenant.
  void charge_grant(TimePoint now, const WaitingRequest& waiting);
  void forget_silent_tenants(TimePoint now);
  /// Refuses requests that rate limits would delay beyond their queue deadline.
  void refuse_beyond_queue_deadline(TimePoint now, std::vector<SlotDecision>& decisions);
  /// Refuses a request. If rate limits are the cause, the answer states when to retry, which is after the retries of
  /// callers that were refused before.
  void refuse(TimePoint now, const WaitingRequest& waiting, int requests_ahead, std::vector<SlotDecision>& decisions);
  void index_open_groups();
  void grant_group_slot(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                        const WaitingRequest& waiting, const SlotCandidate& candidate,
                        std::vector<SlotDecision>& decisions);
  void grant_server_slot(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting,
                         const SlotCandidate& candidate, std::vector<SlotDecision>& decisions);
  static void add_decision(const WaitingRequest& waiting, wire::SlotVerdict::type verdict,
                           std::vector<SlotDecision>& decisions);

  AdmissionOptions options_;
  int64_t term_ = 0;
  std::map<std::string, TrackedGroup> groups_;
  GroupStallDetector silence_watch_;
  /// The open groups of each model.
  std::map<ModelKey, std::vector<GroupItem*>> open_groups_;
  std::map<std::string, NodeLoads> nodes_;
  /// Requests that arrived since the last decision. They are decided first unless other requests wait for the same
  /// model.
  std::vector<WaitingRequest> new_requests_;
  std::vector<WaitingRequest> waiting_requests_;
  /// Queues whose first request found no server with room, with the aggregate of their servers if all of them are
  /// rate-limited.
  std::map<QueueKey, std::optional<LimitedServers>> blocked_queues_;
  /// The latest retry time given to callers that were refused because of rate limits, by queue.
  std::map<QueueKey, TimePoint> retry_after_until_;
  ServerRateLimiter rate_limiter_;
  TimePoint next_review_ = TimePoint::min();
  /// Shares of tenants by pool (service and model, no model for plain servers); empty unless they are turned on.
  std::map<ModelKey, fair_share::ShareLedger> ledgers_;
  TimePoint next_ledger_cleanup_ = TimePoint::min();
  /// Smallest objective for pauses of all requests, by model.
  std::map<ModelKey, Duration> min_gap_objectives_;
};

}  // namespace larchlever::fleet
