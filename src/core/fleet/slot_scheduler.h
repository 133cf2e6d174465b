#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/document/configuration_document.h"
#include "core/engine/cost_model.h"
#include "core/engine/group_placement.h"
#include "core/engine/group_work.h"
#include "core/engine/pass_simulator.h"
#include "core/fair_share/share_ledger.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/group_stall_detector.h"
#include "core/fleet/placement_explanation.h"
#include "core/fleet/plain_servers/plain_server_slots.h"
#include "core/fleet/return_schedule.h"
#include "core/fleet/server_rate_limiter.h"
#include "core/fleet/server_speeds.h"
#include "core/fleet/turn_forecast.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The answer to a slot request of an entry.
struct SlotDecision {
  std::string node;
  wire::SlotGrant grant;
};

/// A group whose streams stopped.
struct StalledGroup {
  std::string name;
  StalledStreams streams;
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
/// If enabled, it also counts the slots of plain servers over all entries and chooses the server of each request; see
/// PlainServerSlots. Their loads are counted under their incarnations, like those of groups under the groups' names.
///
/// The scheduler also applies the rate limits of servers, both heads of groups and plain servers. If only rate-limited
/// servers can serve a request, it waits if it can be sent before its queue deadline, and is refused immediately
/// otherwise. Capacity is given by priority, then by age; with AdmissionOptions::fair_shares, by the shares of tenants.
///
/// With turn forecasts, a request that waits for a full pool of groups is refused as early: as soon as its turn is
/// expected after its queue deadline. Its caller is told when to return and keeps its place until then (TurnForecast,
/// ReturnSchedule; slot_scheduler_refusals.cc).
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
  /// Sets all plain servers that may get requests.
  void set_plain_servers(const std::vector<PlainServer>& servers) { plain_servers_.set_servers(servers); }
  /// Plain servers that began or ceased to count as slow, for the log.
  std::vector<PlainServerSpeedChange> take_plain_speed_changes(TimePoint now) {
    return plain_servers_.take_speed_changes(now);
  }
  /// Updates the groups; only open groups get requests. `heads` maps groups to the incarnations of heads that are
  /// rate-limited.
  void set_groups(const std::vector<wire::EngineGroup>& groups, const std::map<std::string, std::string>& heads = {});
  /// Processes a load report of a node: for all groups if `is_complete`, otherwise only for those listed. The node has
  /// received the grants up to sequence `grants_seen` of term `grants_term`.
  void note_loads(const std::string& node, const std::vector<wire::GroupLoad>& loads, bool is_complete,
                  int64_t grants_term, int64_t grants_seen);
  /// Records the response times of plain servers in a load report. Call before `note_loads`, since the times were
  /// measured under the previous loads.
  void note_response_times(TimePoint now, const std::string& node, const std::vector<wire::GroupLoad>& loads);
  /// Learns the speeds of groups from the pauses in a load report. Call before `note_loads`, because the pauses are
  /// those of the load until now.
  void note_pauses(TimePoint now, const document::ConfigurationDocument& document, const std::string& node,
                   const std::vector<wire::GroupLoad>& loads);
  /// The groups that are slower than the cost model says, with the factor. They get fewer requests.
  std::map<std::string, double> slow_groups(TimePoint now) const { return speeds_.slow_targets(now); }
  /// The complete list of groups whose streams at the node currently pause too long. If two nodes report a group, other
  /// groups are preferred.
  void note_quiet_groups(TimePoint now, const std::string& node, const std::vector<std::string>& groups) {
    silence_watch_.note_quiet(now, node, groups);
  }
  /// Returns the groups found to be stalled since the last call. They get no more requests until they are resumed.
  std::vector<StalledGroup> find_failed_groups(TimePoint now, const document::ConfigurationDocument& document);
  /// The group gets no requests until it is resumed.
  void suspend_group(const std::string& group);
  /// A suspended group gets requests again, and its silence counts from now on.
  void resume_group(TimePoint now, const std::string& group);
  /// Entries have streams at the group, and most of them see events arrive.
  bool are_streams_moving(const std::string& group) const { return silence_watch_.are_streams_moving(group); }
  /// Nodes that have requests or unreported grants at the group.
  std::vector<std::string> nodes_using_group(const std::string& group) const;
  /// Removes a lost node with its requests and load.
  void forget_node(const std::string& node);
  void add_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  /// Decides all requests that can be decided now. Call after every input and every few milliseconds. Waiting requests
  /// are reviewed only at intervals, so the cost of an input does not grow with their number.
  std::vector<SlotDecision> decide(TimePoint now, const document::ConfigurationDocument& document);

  /// Where a request with these properties would be sent now, and why. Changes no state.
  PlacementExplanation explain(TimePoint now, const document::ConfigurationDocument& document,
                               const PlacementQuery& query) const;

  /// Number of requests that wait for a slot.
  size_t waiting_count() const { return waiting_requests_.size() + new_requests_.size(); }
  /// Requests in flight at a group, including granted slots that are not used yet.
  int in_flight(const std::string& group) const;

 private:
  struct TrackedGroup {
    std::string service;
    std::string model;
    /// It is formed and may serve requests.
    bool is_serving = false;
    /// It gets no requests, because it is silent.
    bool is_suspended = false;
    /// It is serving and not suspended.
    bool is_open = false;
    int in_flight = 0;
    /// The head's incarnation if it is rate-limited, otherwise empty.
    std::string rate_limited_head;
    /// Zones of the members, sorted.
    std::vector<std::string> zones;
    engine::PassSimulator pass_clock;
    /// Slots released minus slots taken without a grant since the last review.
    int released = 0;
    /// Factor by which answers take longer than the cost model expects.
    double time_factor = 1;
    /// Tracked only with learned costs.
    engine::GroupWork work;
  };
  struct NodeLoads {
    std::map<std::string, int> in_flight;
    /// Grants that the node's load reports do not include yet: sequence and group.
    std::deque<std::pair<int64_t, std::string>> unreported_grants;
    int64_t next_sequence = 1;
  };
  using ModelKey = std::pair<std::string, std::string>;  ///< Service and model.
  /// Requests that compete for the same servers: for one model with the same allowed zones, or for the same plain
  /// servers.
  struct QueueKey {
    ModelKey model;
    std::vector<std::string> allowed_zones;
    std::vector<std::string> plain_servers;
    auto operator<=>(const QueueKey&) const = default;
  };
  struct WaitingRequest {
    std::string node;
    wire::SlotRequest request;
    /// Set on arrival, because it is looked up several times at each review.
    std::shared_ptr<const QueueKey> queue;
    TimePoint arrived_at{};
    /// Orders the queue: arrival of the caller's first attempt, if it was told to return now; otherwise `arrived_at`.
    TimePoint first_arrived_at{};
    /// When its caller was told to return, if it came clearly before that time.
    std::optional<TimePoint> awaited_at;
    TimePoint queue_deadline{};
    bool is_queued_sent = false;  ///< The verdict QUEUED was sent to the entry.
    /// Its turn was compared with those of callers that were told to return before it.
    bool is_turn_checked = false;
    /// What the request costs its tenant's share; see request_cost.
    double cost = 0;
  };
  /// What is known about the turns of a queue that was blocked.
  struct QueueTurns {
    TurnForecast forecast;
    ReturnSchedule returns;
    TimePoint blocked_at{};  ///< Most recently.
    /// As of the current review.
    std::optional<TurnPace> pace;
    int free_slots = 0;
  };
  struct PoolSlots {
    int busy = 0;
    int free = 0;
    int released = 0;
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
    /// The choice among plain servers whose slots are counted.
    PlainServerChoice server_choice;
  };
  /// What speaks for and against giving a request to a group now.
  struct GroupAssessment {
    RuledOut ruled_out = RuledOut::kNo;
    engine::RequestForecast forecast;
    /// The first event is expected after the objective.
    bool is_late = false;
    /// Only if the group is not ruled out.
    engine::PlacementScore score;
  };
  /// The engine and model of a group; null if the document does not have them.
  struct GroupEngine {
    const document::EngineSpec* engine = nullptr;
    const document::ModelSpec* model = nullptr;
  };

  /// Whether the objective for the first event has already passed.
  static bool has_missed_objective(TimePoint now, const WaitingRequest& waiting);
  static ModelKey model_key(const WaitingRequest& waiting) {
    return {waiting.request.service_name, waiting.request.model};
  }
  static const QueueKey& queue_key(const WaitingRequest& waiting) { return *waiting.queue; }
  static void set_queue(WaitingRequest& waiting);
  /// Whether the request asks for a slot of a plain server.
  static bool asks_for_server_slot(const WaitingRequest& waiting) { return waiting.request.__isset.plain_servers; }
  /// Whether the request asks for a plain server instead of a group.
  static bool asks_for_plain_server(const WaitingRequest& waiting) {
    return waiting.request.__isset.rated_servers || asks_for_server_slot(waiting);
  }
  /// The plain servers that the request may be sent to.
  static const std::vector<std::string>& requested_servers(const WaitingRequest& waiting) {
    return asks_for_server_slot(waiting) ? waiting.request.plain_servers : waiting.request.rated_servers;
  }
  /// Whether the entry uses another server if the requested ones have no room, so the request is never queued.
  static bool has_other_servers(const WaitingRequest& waiting) {
    return waiting.request.__isset.rated_servers && waiting.request.patience_ms <= 0;
  }
  /// Whether all members of the group are in zones that the request allows.
  static bool is_in_allowed_zones(const WaitingRequest& waiting, const TrackedGroup& group);
  static GroupEngine engine_of(const document::ConfigurationDocument& document, const TrackedGroup& group);
  /// Makes the group's simulated passes take as long as observed. Returns the factor.
  double apply_pace(TimePoint now, const std::string& name, TrackedGroup& group) const;
  /// The same for placing a request; a slow group that is due for a trial request counts as fast.
  double apply_pace_or_trial(TimePoint now, const std::string& name, TrackedGroup& group) const;
  void retain_speeds_of_known_groups();
  void set_load(NodeLoads& node, const std::string& group, int in_flight);
  /// Longest pass that keeps the pauses of the model's streams within their objective.
  Duration max_pass(const WaitingRequest& waiting) const;
  GroupAssessment assess_group(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                               const WaitingRequest& waiting, GroupItem& item);
  /// The group with room that is expected to produce the first event soonest; one that meets the objective, if any
  /// does. A group that misses an objective because it is slow is used only if no other has room.
  SlotCandidate best_group(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                           const WaitingRequest& waiting);
  /// Tokens that the request's answer is expected to have; the mean of the model if the entry does not say.
  double expected_answer_tokens(const document::EngineSpec& engine, const WaitingRequest& waiting) const;
  /// Accounts for requests of the group that ended, or that were not granted here, since the last call.
  void reconcile_work(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                      TrackedGroup& group) const;
  /// How well the group suits the request, which is due in `time_left`. Without learned costs, only the first event
  /// counts.
  engine::PlacementScore score_group(TimePoint now, const document::EngineSpec& engine,
                                     const document::ModelSpec& model, const WaitingRequest& waiting,
                                     TrackedGroup& group, const engine::PlacementForecast& forecast,
                                     Duration time_left) const;
  /// Records the expected end of a request that was granted a slot; does nothing without learned costs.
  void note_granted_work(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                         const WaitingRequest& waiting, TrackedGroup& group, Duration first_event);
  /// The best of the requested plain servers whose rate limits allow a request.
  SlotCandidate best_server(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting);
  /// The first of the requested plain servers whose rate limit allows a request; their slots are not counted.
  SlotCandidate first_permitted_server(TimePoint now, const document::ServiceSpec& service,
                                       const WaitingRequest& waiting);
  /// The best of the requested plain servers that have a free slot.
  SlotCandidate best_server_with_slot(TimePoint now, const document::ServiceSpec& service,
                                      const WaitingRequest& waiting);
  /// Whether this leader counts slots and knows one of the requested plain servers.
  bool knows_requested_server(const WaitingRequest& waiting) const;
  /// Whether the request may be sent to the group, regardless of free slots.
  static bool may_use_group(const WaitingRequest& waiting, const std::string& name, const TrackedGroup& group);
  /// The pace at which the servers that may serve the request accept requests, if every one of them has a rate limit.
  std::optional<TurnPace> rate_limited_pace(TimePoint now, const document::ServiceSpec& service,
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
  /// Refuses requests whose turn is expected after their queue deadline.
  void refuse_beyond_queue_deadline(TimePoint now, const document::ConfigurationDocument& document,
                                    std::vector<SlotDecision>& decisions);
  /// Whether the turn of the request is expected after its queue deadline, `requests_ahead` waiting before it.
  bool is_turn_too_late(TimePoint now, const document::ConfigurationDocument& document, WaitingRequest& waiting,
                        int requests_ahead);
  /// Whether a group or server has room for the request even though its queue is blocked by another one.
  bool has_room(TimePoint now, const document::ConfigurationDocument& document, const WaitingRequest& waiting);
  /// Refuses a request. If its turn can be forecast, the answer states when to retry, which is after the retries of
  /// callers that were refused before.
  void refuse(TimePoint now, const WaitingRequest& waiting, int requests_ahead, std::vector<SlotDecision>& decisions);
  /// The next time to retry without turn forecasts, and with rate limits as the cause.
  TimePoint next_retry_at(TimePoint now, const QueueKey& queue, const TurnPace& pace, int requests_ahead);
  /// The pace of a blocked queue; empty if it is not blocked or nothing is known.
  std::optional<TurnPace> queue_pace(const QueueKey& queue) const;
  /// Forecasts the pace of each queue for the current review.
  void update_paces(TimePoint now, const document::ConfigurationDocument& document);
  ReturnSchedule::RefusedCaller refused_caller(const WaitingRequest& waiting) const;
  /// Slots of the plain servers of the queue; none are free where the leader does not count them.
  PoolSlots plain_pool_slots(const QueueKey& queue) const;
  /// Slots of the groups or plain servers that serve the queue.
  PoolSlots pool_slots(const document::ConfigurationDocument& document, const QueueKey& queue) const;
  /// Gives the request the place that its caller was promised, if it returns as told.
  void restore_place(TimePoint now, WaitingRequest& waiting);
  /// The caller of the request needs no place any more.
  void forget_place(const WaitingRequest& waiting);
  /// Updates the forecasts of all queues after a review.
  void note_pool_loads(TimePoint now, const document::ConfigurationDocument& document);
  static WaitingRequest make_waiting_request(TimePoint now, const PlacementQuery& query);
  /// The name of the candidate if the request would be granted to it now, otherwise empty.
  std::string chosen_now(const SlotCandidate& candidate, const WaitingRequest& waiting) const;
  /// The candidates for the request, and the chosen one; for a copy of the scheduler, because forecasts advance the
  /// simulated passes.
  void explain_groups(TimePoint now, const WaitingRequest& waiting, PlacementExplanation& explanation);
  void explain_servers(TimePoint now, const WaitingRequest& waiting, PlacementExplanation& explanation);
  /// The requests that wait for the same servers, and when the request would get its turn behind them.
  void explain_queue(TimePoint now, const document::ConfigurationDocument& document, const WaitingRequest& waiting,
                     PlacementExplanation& explanation);
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
  PlainServerSlots plain_servers_;
  GroupStallDetector silence_watch_;
  ServerSpeeds speeds_;
  /// The open groups of each model.
  std::map<ModelKey, std::vector<GroupItem*>> open_groups_;
  std::map<std::string, NodeLoads> nodes_;
  /// Requests that arrived since the last decision. They are decided first unless other requests wait for the same
  /// model.
  std::vector<WaitingRequest> new_requests_;
  std::vector<WaitingRequest> waiting_requests_;
  /// Queues whose first request found no server with room, with the pace of their servers if all of them are
  /// rate-limited.
  std::map<QueueKey, std::optional<TurnPace>> blocked_queues_;
  /// Queues that were blocked recently; empty without turn forecasts.
  std::map<QueueKey, QueueTurns> queue_turns_;
  /// The latest retry time given to callers that were refused because of rate limits, by queue.
  std::map<QueueKey, TimePoint> retry_after_until_;
  ServerRateLimiter rate_limiter_;
  TimePoint next_review_ = TimePoint::min();
  /// Shares of tenants by pool (service and model, no model for plain servers); empty unless they are turned on.
  std::map<ModelKey, fair_share::ShareLedger> ledgers_;
  TimePoint next_ledger_cleanup_ = TimePoint::min();
  /// Smallest objective for pauses of all requests, by model.
  std::map<ModelKey, Duration> min_gap_objectives_;
  /// Mean sizes of the granted requests, by model; only with learned costs.
  std::map<ModelKey, engine::RequestSizeEstimator> granted_sizes_;
};

}  // namespace larchlever::fleet
