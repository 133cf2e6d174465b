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
#include "core/engine/pass_clock.h"
#include "core/fleet/server_rate_limiter.h"
#include "core/fleet/silence_watch.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// An answer to one entry's question for a slot.
struct SlotDecision {
  std::string node;
  wire::SlotGrant grant;
};

/// The leader's admission to engine groups: hands out the groups' slots to the entries' requests, one by one.
///
/// Entries each know what they sent themselves, and of each other only what they heard a while ago; asked one by one,
/// they would all send to the same group. The scheduler sees every request before it is sent, so it knows what each
/// group has under way and which prompts wait there, and grants a slot only where the first event is expected in time
/// and no pass grows so long that the other streams pause beyond their objective. A request for which no group has room
/// waits in order, the most urgent first. One that can only be late lets those behind it go first, and gets a slot late
/// when its patience ends, if there is one: a late answer is worth more than none.
///
/// Servers that take only so many requests a second are counted here as well, heads of groups and plain servers. Where
/// nobody else could serve a request, it waits for its turn if that comes within its patience, and is refused at once
/// if not: the most urgent and the oldest have the first turns.
///
/// Slots are advice: nothing breaks when a deposed leader hands out some, or when entries decide for themselves while
/// nobody leads. Loads that entries report count a slot once they have received it. Single-threaded, deterministic.
class SlotScheduler {
 public:
  /// A leadership begins in `term`; nothing is known of loads until nodes report them.
  void start(int64_t term);
  /// All servers that take only so many requests a second.
  void set_rate_limited_servers(const std::vector<RateLimitedServer>& servers) { rates_.set_servers(servers); }
  /// Takes the groups that may get requests now; only open ones do. `heads` names the incarnations of rated heads, by
  /// group.
  void set_groups(const std::vector<wire::EngineGroup>& groups, const std::map<std::string, std::string>& heads = {});
  /// A node reported what it has under way: at every group if `is_complete`, otherwise at those named. It has received
  /// the slots up to `grants_seen` of `grants_term`.
  void note_loads(const std::string& node, const std::vector<wire::GroupLoad>& loads, bool is_complete,
                  int64_t grants_term, int64_t grants_seen);
  /// The groups whose streams at the node pause too long now. Where two nodes say so, other groups are preferred.
  void note_quiet_groups(TimePoint now, const std::string& node, const std::vector<std::string>& groups) {
    silence_.note_quiet(now, node, groups);
  }
  /// Groups that are found to stand still since the last call; they get no requests any more.
  std::vector<std::string> find_failed_groups(TimePoint now, const document::ConfigurationDocument& document);
  /// Nodes that have something under way at the group.
  std::vector<std::string> nodes_using_group(const std::string& group) const;
  /// The node is gone, and what it had under way with it.
  void forget_node(const std::string& node);
  void add_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  /// Decides what can be decided now. To be called after every input and every few milliseconds. Requests that wait are
  /// looked at again only when room was made or a little time has passed, so the cost of an input does not grow with
  /// their number.
  std::vector<SlotDecision> decide(TimePoint now, const document::ConfigurationDocument& document);

  /// Requests that wait for a slot.
  size_t waiting_count() const { return waiting_requests_.size() + new_requests_.size(); }
  /// Requests under way at a group, slots counted that were not used yet.
  int in_flight(const std::string& group) const;

 private:
  struct TrackedGroup {
    std::string service;
    std::string model;
    bool is_open = false;
    int in_flight = 0;
    /// Found to stand still; a group that is formed again has another name.
    bool has_failed = false;
    /// The head's incarnation, where it is a rated server.
    std::string rated_head;
    /// Zones of its members, sorted.
    std::vector<std::string> zones;
    engine::PassClock clock;
  };
  struct NodeLoads {
    std::map<std::string, int> in_flight;
    /// Slots granted that the node's reports do not count yet: sequence and group.
    std::deque<std::pair<int64_t, std::string>> unreported_grants;
    int64_t next_sequence = 1;
  };
  struct WaitingRequest {
    std::string node;
    wire::SlotRequest request;
    TimePoint arrived{};
    TimePoint queue_deadline{};
    bool is_queued_sent = false;  ///< The entry knows that it waits.
  };
  using ModelKey = std::pair<std::string, std::string>;  ///< Service and model.
  /// Requests that compete for the same servers: of one model, with the same homes, or for the same plain servers.
  struct QueueKey {
    ModelKey model;
    std::vector<std::string> allowed_zones;
    std::vector<std::string> rated_servers;
    auto operator<=>(const QueueKey&) const = default;
  };
  /// Servers that serve a queue, all of which name limits.
  struct LimitedServers {
    /// When the first of them has room.
    TimePoint next_allowed_at{};
    /// Requests a second that they take together.
    double per_second = 0;
  };
  using GroupItem = std::pair<const std::string, TrackedGroup>;
  enum class Feasibility { kInTime, kLate, kNone };
  /// Whether a request whose patience is over may be answered late; it is refused where there is no room even so.
  enum class LateAnswers { kNotYet, kAllowed };
  struct SlotCandidate {
    /// The group's name, or the incarnation of a plain server.
    std::string name;
    Duration first_event{};
    Feasibility feasibility = Feasibility::kNone;
    bool is_quiet = false;
  };

  /// Past the time in which its first event could still come within the objective.
  static bool has_missed_objective(TimePoint now, const WaitingRequest& waiting);
  static ModelKey model_key(const WaitingRequest& waiting) {
    return {waiting.request.service_name, waiting.request.model};
  }
  static QueueKey queue_key(const WaitingRequest& waiting);
  /// The request asks for a plain server instead of a group.
  static bool asks_for_plain_server(const WaitingRequest& waiting) { return waiting.request.__isset.rated_servers; }
  /// The request has no homes, or all of the group's members stand in them.
  static bool is_in_allowed_zones(const WaitingRequest& waiting, const TrackedGroup& group);
  void set_load(NodeLoads& node, const std::string& group, int in_flight);
  /// The group that would bring the first event soonest, of those with room; in time if any is.
  SlotCandidate best_group(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                           const WaitingRequest& waiting);
  /// The first of the plain servers asked for that has room.
  SlotCandidate best_server(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting);
  /// The group may serve the request, room or not.
  static bool may_use_group(const WaitingRequest& waiting, const std::string& name, const TrackedGroup& group);
  /// The servers that may serve the request, if every one of them names a limit.
  std::optional<LimitedServers> limited_servers(TimePoint now, const document::ServiceSpec& service,
                                                const WaitingRequest& waiting);
  /// No group, however idle, could bring the first event in time.
  static bool is_objective_unreachable(const document::EngineSpec& engine, const document::ModelSpec& model,
                                       const WaitingRequest& waiting);
  /// The service that a request asks for, and its model; null for plain servers.
  struct RequestedService {
    const document::ServiceSpec& service;
    const document::ModelSpec* model = nullptr;
  };
  /// Nothing where this leader knows of no servers.
  std::optional<RequestedService> find_requested_service(const document::ConfigurationDocument& document,
                                                         const WaitingRequest& waiting) const;
  /// Grants the best server or group, if any has room; otherwise the request's queue is blocked.
  bool try_grant(TimePoint now, const RequestedService& requested, const WaitingRequest& waiting,
                 LateAnswers late_answers, std::vector<SlotDecision>& decisions);
  /// True when the request was answered for good.
  bool decide_request(TimePoint now, const document::ConfigurationDocument& document, WaitingRequest& waiting,
                      LateAnswers late_answers, std::vector<SlotDecision>& decisions);
  void decide_waiting(TimePoint now, const document::ConfigurationDocument& document,
                      std::vector<SlotDecision>& decisions);
  /// Refuses requests whose turn at limited servers comes after their patience.
  void refuse_beyond_queue_deadline(TimePoint now, std::vector<SlotDecision>& decisions);
  /// Refuses a request; told when its turn comes, behind those that were told before, where limits hold it back.
  void refuse(TimePoint now, const WaitingRequest& waiting, int requests_ahead, std::vector<SlotDecision>& decisions);
  void index_open_groups();
  void grant_group_slot(TimePoint now, const document::ServiceSpec& service, const document::ModelSpec& model,
                        const WaitingRequest& waiting, const SlotCandidate& candidate,
                        std::vector<SlotDecision>& decisions);
  void grant_server_slot(TimePoint now, const document::ServiceSpec& service, const WaitingRequest& waiting,
                         const SlotCandidate& candidate, std::vector<SlotDecision>& decisions);
  static void add_decision(const WaitingRequest& waiting, wire::SlotVerdict::type verdict,
                           std::vector<SlotDecision>& decisions);

  int64_t term_ = 0;
  std::map<std::string, TrackedGroup> groups_;
  SilenceWatch silence_;
  /// The open groups of each model.
  std::map<ModelKey, std::vector<GroupItem*>> open_groups_;
  std::map<std::string, NodeLoads> nodes_;
  /// Came since the last decision; they are decided first, unless others wait for the same model.
  std::vector<WaitingRequest> new_requests_;
  std::vector<WaitingRequest> waiting_requests_;
  /// Queues for whose first request no server had room; with their servers, where all of them name limits.
  std::map<QueueKey, std::optional<LimitedServers>> blocked_queues_;
  /// Up to when callers refused for limits were told to come back, by queue.
  std::map<QueueKey, TimePoint> retry_after_until_;
  ServerRateLimiter rates_;
  TimePoint next_review_ = TimePoint::min();
  /// The strictest objective for pauses that a model's requests had.
  std::map<ModelKey, Duration> min_gap_objectives_;
};

}  // namespace larchlever::fleet
