#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/document/allowed_regions.h"
#include "core/document/configuration_document.h"
#include "core/engine/cost_model.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/rate_shares.h"
#include "core/fleet/retry_budget/retry_budget.h"
#include "core/fleet/server_limits.h"
#include "core/fleet/server_links.h"
#include "core/fleet/server_notices.h"
#include "core/fleet/target_health.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Where a request may be sent: a plain instance, or the head of an open group.
struct DispatchTarget {
  /// The group's name, or the instance's incarnation if it is in no group. Load and failures are counted under this
  /// key, so those of an earlier incarnation do not affect a later one.
  std::string key;
  std::string service;
  std::string group;
  std::string instance_id;
  std::string address;
  /// Requests in flight at the target when it was chosen, without this one.
  int in_flight = 0;
  /// The server incarnation that the request is meant for: the instance id, with its start time if the instance reports
  /// one.
  std::string incarnation = {};
  /// Zones of the servers that process the request.
  std::vector<std::string> zones = {};
  /// The server that the request is sent to, as the end of a link.
  LinkedServer server = {};
  /// Another entry, which relays the request to a server of its choice. `address` is its relay address.
  bool is_relay_peer = false;
  /// The leader granted a slot there; its count of the load contains the request.
  bool has_slot = false;
  /// Time from sending to the first event, as predicted by the leader that granted the slot; zero if this entry chose
  /// the target itself.
  Duration expected_first_event_delay{};
};

/// Requirements of a request. Plain services ignore model, latency and tokens.
struct RequestRequirements {
  std::string model;
  /// Target for the time to the first event, from the route.
  Duration target_latency{};
  double prompt_tokens = 0;
  /// Zones of the allowed regions; null if the request may run anywhere.
  const std::set<std::string>* allowed_zones = nullptr;
  /// Silent groups are no choice, not even if there are no others: the request already runs at a silent one.
  bool excludes_quiet_groups = false;
};

enum class DispatchFailure { kNone, kNoTarget, kAllBusy };

/// How long a target is avoided after a failure; the leader has decided about it by then.
constexpr Duration kAvoidanceTime = seconds(2);

/// Who decides whether a rate-limited plain server may get another request.
enum class RateAuthority {
  kLeader,      ///< Counts requests of all entries and must be asked.
  kLocalShare,  ///< This entry, using its share of the rate while no leader is reachable.
};

struct DispatchDecision {
  std::optional<DispatchTarget> target;
  DispatchFailure failure = DispatchFailure::kNone;
  /// Rate-limited plain servers for which the leader must be asked, best first: those better than `target`, or all of
  /// them if there is no `target`.
  std::vector<DispatchTarget> rate_limited_targets;
  /// When this entry may next send, if there is no target and only rate limits prevent sending.
  std::optional<TimePoint> next_allowed_at;
};

/// Chooses the target of each request at an entry, based on the fleet state, the load reported by all entries, and the
/// entry's own observations. Single-threaded, deterministic for a given seed.
class Dispatcher {
 public:
  Dispatcher(const FleetOptions& options, std::string zone, uint64_t seed);

  /// Updates the fleet state from the leader. Returns the keys of targets whose server restarted; their in-flight
  /// requests are lost.
  std::vector<std::string> update_state(const wire::FleetState& state);
  void update_services(const std::map<std::string, document::ServiceSpec>& services);
  /// Updates the total in-flight load of each group over all entries, including this one, as of `now`.
  void update_loads(TimePoint now, const std::vector<wire::GroupLoad>& totals);
  /// Updates the zones whose servers get no requests.
  void update_evacuations(const wire::ZoneEvacuations& evacuations) { evacuations_ = evacuations; }
  void set_serving_nodes(int count) {
    serving_nodes_ = count < 1 ? 1 : count;
    retry_budget_.set_entry_count(serving_nodes_);
  }
  /// The links between this entry and the servers.
  ServerLinks& links() { return links_; }
  const ServerLinks& links() const { return links_; }
  /// Whether other entries can relay requests. If so, servers whose links are lost are not chosen.
  void set_relay_available(bool is_available) { is_relay_available_ = is_available; }
  /// Whether this entry has servers for the model but reaches none of them; the model is empty for plain services. If
  /// `allowed_zones` is not null, only servers in these zones count.
  bool are_all_links_lost(const std::string& service, const std::string& model,
                          const std::set<std::string>* allowed_zones) const;
  /// Whether this entry avoids or excludes every group of the model that it could send requests to.
  bool are_all_groups_ruled_out(TimePoint now, const std::string& service, const std::string& model,
                                const std::set<std::string>& excluded);
  /// Whether the link to any server of the model is lost.
  bool is_any_link_lost(const std::string& service, const std::string& model) const;
  /// The service of the server at this address; empty if there is none.
  std::string service_at(const std::string& address) const;
  /// Targets at these addresses are used again at once, although requests failed there.
  void forgive_failures(const std::string& address);

  /// Chooses one of the services of the route at random, by weight.
  const std::string& choose_service(const document::Route& route);
  /// Chooses the least loaded target that is not excluded. Groups get requests only as long as they are expected to
  /// meet the latency target.
  DispatchDecision choose_target(TimePoint now, const document::ServiceSpec& service,
                                 const RequestRequirements& requirements, const std::set<std::string>& excluded,
                                 RateAuthority authority = RateAuthority::kLocalShare);
  /// The plain servers among which the leader chooses one for the request, best first; empty if the leader does not
  /// count their slots. Suspect servers are listed only if there are no others.
  std::vector<DispatchTarget> plain_server_candidates(TimePoint now, const document::ServiceSpec& service,
                                                      const RequestRequirements& requirements,
                                                      const std::set<std::string>& excluded);
  /// Whether changes of this entry's load on the target are reported to the leader at once.
  bool is_load_reported(const DispatchTarget& target) const {
    return !target.group.empty() || options_.admission.plain_server_slots;
  }
  /// Records the time from sending a request to a plain server until its response arrived.
  void note_response_time(const DispatchTarget& target, Duration elapsed);
  /// Adds the response times of plain servers recorded since the last report to the loads that are reported.
  void move_response_times_to(std::vector<wire::GroupLoad>& loads);
  /// The leader cannot grant a request to the server before `until`; other servers are preferred until then.
  void note_rate_limited_until(TimePoint until, const DispatchTarget& target) {
    rate_limited_until_[target.incarnation] = until;
  }
  /// The head of the open group, unless the group is avoided or unknown to this entry.
  std::optional<DispatchTarget> target_of_group(TimePoint now, const std::string& group);
  /// Restarts the silence timers of all targets after this entry was paused: it read no responses meanwhile, so the
  /// silence is not the fault of the targets.
  void restart_silence_timers(TimePoint now);
  /// Groups of a model that are avoided, whose streams pause too long, or whose head asked for a backoff or is shutting
  /// down. While every server is silent, groups whose streams pause are included only with `includes_all_quiet`.
  std::vector<std::string> groups_to_avoid(TimePoint now, const std::string& service, const std::string& model,
                                           bool includes_all_quiet = false);
  /// Records a request for a model, with the prompt and answer sizes that it states, in tokens.
  void record_demand(const std::string& service, const RequestRequirements& requirements,
                     const engine::RequestTokenCounts& sizes);
  /// Records the objective of a request that pauses between events do not exceed `gap`. Groups of the model are
  /// expected to keep the smallest objective.
  void record_gap_objective(const std::string& service, const std::string& model, Duration gap);
  /// Groups whose streams at this entry pause too long.
  std::vector<std::string> quiet_groups(TimePoint now) const;
  /// Demand totals since the start, to be reported to the leader.
  std::vector<wire::ModelDemand> demand_totals() const;
  /// Marks the start and the end of a request attempt, during which it counts as load.
  void begin_attempt(TimePoint now, const DispatchTarget& target, const AttemptState& attempt = {});
  void end_attempt(const DispatchTarget& target, const AttemptState& attempt = {});
  /// The target responded or made progress.
  void note_progress(TimePoint now, const DispatchTarget& target);
  /// The first event of the attempt arrived.
  void note_first_event(TimePoint now, const DispatchTarget& target, AttemptState& attempt);
  /// The target refused or reset the connection, or stalled. Returns true if the target is now avoided; its other
  /// in-flight requests will probably not be answered either.
  bool note_failure(TimePoint now, const DispatchTarget& target,
                    FailureEvidence evidence = FailureEvidence::kConnection);

  /// Groups where requests of this entry are in flight but none made progress for longer than `base_timeout` plus
  /// `timeout_per_request` for each of them: a group that gets many requests at once first processes all their prompts.
  /// The timeout is shorter if streams have started.
  std::vector<DispatchTarget> stalled_groups(TimePoint now, Duration base_timeout, Duration timeout_per_request) const;
  /// How long this entry's requests at the target have waited since its last progress; zero if there are none.
  Duration silence_at(TimePoint now, const std::string& key) const;
  /// Records a Retry-After delay or a shutdown announcement in a response. `note_leaving` returns true for the first
  /// announcement.
  void note_retry_after(TimePoint now, const DispatchTarget& target, Duration delay) {
    notices_.note_retry_after(now, target.incarnation, delay);
  }
  bool note_leaving(TimePoint now, const DispatchTarget& target) {
    return notices_.note_leaving(now, target.incarnation);
  }
  /// Records the rate limit in a response. Returns true if the known limit changed.
  bool note_limit(const LimitObservation& observation);
  /// Whether a limit changed since limits were last taken for a report.
  bool has_unreported_limits() const { return !unreported_limits_.empty(); }
  /// Limits observed by this entry: those that changed since the last call, and all of them.
  std::vector<LimitObservation> take_changed_limits(TimePoint now);
  std::vector<LimitObservation> take_all_limits(TimePoint now);
  /// Whether the target may be sent requests now: its server did not ask for a backoff or announce its shutdown, and
  /// its zones are not evacuated.
  bool may_send(TimePoint now, const DispatchTarget& target) const;
  /// Whether all servers of the model are in evacuated zones; the model is empty for plain services. If `allowed_zones`
  /// is not null, only servers in these zones count.
  bool are_all_servers_evacuated(const std::string& service, const std::string& model,
                                 const std::set<std::string>* allowed_zones = nullptr) const;
  /// If all servers of the model currently back off, the time when the first backoff ends; the model is empty for plain
  /// services. Servers that are shutting down do not count.
  std::optional<TimePoint> all_backing_off_until(TimePoint now, const std::string& service,
                                                 const std::string& model) const;

  /// Avoids the target for `kAvoidanceTime`; if it is only silent, at most until it makes progress.
  void avoid_target(TimePoint now, const std::string& key, FailureEvidence evidence = FailureEvidence::kSilence) {
    health_[key].avoid_until(now + kAvoidanceTime, evidence);
  }

  /// This entry's share of the budget for retries.
  RetryBudget& retry_budget() { return retry_budget_; }

  /// This entry's load per group, to be reported to the leader. The pauses of streams are in one report only.
  std::vector<wire::GroupLoad> group_loads(TimePoint now);
  /// The same for groups whose load changed since the last call.
  std::vector<wire::GroupLoad> take_changed_group_loads(TimePoint now);
  /// Groups that this entry avoids now.
  std::vector<wire::GroupFailure> group_failures(TimePoint now) const;

 private:
  /// Removes the health records of targets that no longer exist.
  void remove_unknown_targets();
  /// Removes rate state of servers that are no longer rate-limited.
  void remove_unlimited_servers();
  void clear_reported_loads();
  /// Clears the load of other entries if it was not updated recently.
  void expire_reported_loads(TimePoint now);
  /// Load of a plain instance in requests in flight, with a penalty for another zone and a random tie-breaker.
  double instance_cost(const std::string& key, const std::string& zone);
  /// Maximum expected pause between events of a healthy group of this service and model.
  Duration longest_pause(const std::string& service, const std::string& model) const;
  /// The instance with this id if it is available, otherwise null.
  const wire::Instance* find_available_instance(const std::string& id) const;
  /// The head of the group if the group is open and serves this model and the head is available, otherwise null.
  const wire::Instance* available_head(const wire::EngineGroup& group, const std::string& service,
                                       const std::string& model) const;
  bool is_available(const wire::Instance& instance) const;
  /// Whether all servers of the group are in zones that the request allows.
  static bool is_in_allowed_zones(const RequestRequirements& requirements, const wire::EngineGroup& group,
                                  const wire::Instance& head);
  /// Zones of the group's members. Groups formed by an earlier version do not list them; the zone of the head is used
  /// then.
  static std::vector<std::string> group_zones(const wire::EngineGroup& group, const wire::Instance& head);
  /// The rate limit of the incarnation: the lower one of this entry's observation and the limit that the leader
  /// published.
  std::optional<double> known_limit(const std::string& incarnation) const;
  /// Requests per second that the instance accepts from all entries; 0 means no limit.
  double request_rate_limit(const document::ServiceSpec& service, const wire::Instance& instance,
                            const std::string& incarnation) const;
  void note_rate_limited_attempt(TimePoint now, const document::ServiceSpec& service, const wire::Instance& instance);
  /// The link to the server is lost, and other entries can relay requests to it.
  bool is_out_of_reach(const wire::Instance& instance) const {
    return is_relay_available_ && links_.is_lost({instance.address, instance.zone});
  }
  /// Available servers of a service; heads of open groups if a model is given.
  std::vector<const wire::Instance*> available_servers(const std::string& service, const std::string& model) const;
  /// An open group and its head.
  using OpenGroup = std::pair<const wire::EngineGroup*, const wire::Instance*>;
  DispatchTarget make_target(const wire::EngineGroup& group, const wire::Instance& head);
  /// Expected time to the first event of the group, in milliseconds, with a penalty for another zone.
  double group_cost_ms(const document::ServiceSpec& service, const RequestRequirements& requirements,
                       const OpenGroup& candidate) const;
  size_t cheapest_of_sample(const document::ServiceSpec& service, const RequestRequirements& requirements,
                            std::vector<OpenGroup>& open);
  /// Recalculates this entry's random share of the free slots of each group of the model, each of which holds
  /// `in_flight_limit` requests. All entries see the same free slots at the same time; without shares, a group would
  /// get many times the requests that it has room for.
  void refresh_permits(TimePoint now, const std::string& service, const std::string& model, int in_flight_limit);
  DispatchDecision choose_group(TimePoint now, const document::ServiceSpec& service,
                                const RequestRequirements& requirements, const std::set<std::string>& excluded);
  /// Maximum requests in flight per group that meets the latency target.
  int max_in_flight(const document::ServiceSpec& service, const RequestRequirements& requirements) const;
  /// A plain instance that may get the request.
  struct InstanceCandidate {
    const wire::Instance* instance = nullptr;
    std::string incarnation;
    double rate_per_second = 0;
    /// Avoided, or it stopped reporting to the control replicas.
    bool is_suspect = false;
    double cost = 0;
  };
  /// Available instances, best first.
  std::vector<InstanceCandidate> rank_instances(TimePoint now, const document::ServiceSpec& service,
                                                const RequestRequirements& requirements,
                                                const std::set<std::string>& excluded);
  DispatchTarget make_target(const InstanceCandidate& candidate);
  DispatchDecision choose_instance(TimePoint now, const document::ServiceSpec& service,
                                   const RequestRequirements& requirements, const std::set<std::string>& excluded,
                                   RateAuthority authority);
  DispatchDecision choose_by_local_share(TimePoint now, const document::ServiceSpec& service,
                                         const std::vector<InstanceCandidate>& candidates);
  /// Lists the rate-limited servers for which the leader must be asked, if one of them is the best candidate.
  DispatchDecision choose_for_leader_admission(TimePoint now, const std::vector<InstanceCandidate>& candidates);
  void mark_load_changed(const DispatchTarget& target);
  /// Includes the pauses of streams since the last report.
  static wire::GroupLoad make_group_load(TimePoint now, const std::string& key, TargetHealth& health);

  FleetOptions options_;
  std::string zone_;
  std::mt19937_64 random_engine_;
  int serving_nodes_ = 1;
  std::map<std::string, wire::Instance> instances_;
  std::vector<wire::EngineGroup> groups_;
  ServerLinks links_;
  bool is_relay_available_ = false;
  ServerNotices notices_;
  ServerLimits observed_limits_;
  /// Rate limits published by the leader, from the reports of all entries, by incarnation.
  std::map<std::string, double> published_limits_;
  /// Incarnations whose limits changed since they were last reported.
  std::set<std::string> unreported_limits_;
  /// When the leader may grant requests to a rate-limited server again, by incarnation.
  std::map<std::string, TimePoint> rate_limited_until_;
  wire::ZoneEvacuations evacuations_;
  RateShares rate_shares_;
  std::map<std::string, TargetHealth> health_;
  /// Groups whose load changed since it was last reported.
  std::set<std::string> changed_groups_;
  struct ResponseTimeSum {
    int count = 0;
    double total_ms = 0;
  };
  /// Response times of plain servers that were not reported yet, by incarnation.
  std::map<std::string, ResponseTimeSum> unreported_response_times_;
  /// Longest pauses by service and model, from the current cost models.
  std::map<std::pair<std::string, std::string>, Duration> longest_pauses_;
  /// Smallest objective for pauses of all requests, by service and model.
  std::map<std::pair<std::string, std::string>, Duration> min_gap_objectives_;
  RetryBudget retry_budget_;
  /// When permits were last recalculated, by service and model.
  std::map<std::pair<std::string, std::string>, TimePoint> permits_refreshed_at_;
  /// When the loads of other entries were last reported; `TimePoint::min()` if there are none.
  TimePoint loads_reported_at_ = TimePoint::min();
  /// Estimated request sizes, by service and model.
  std::map<std::pair<std::string, std::string>, engine::RequestSizeEstimator> size_estimates_;
  std::map<std::pair<std::string, std::string>, wire::ModelDemand> demand_by_model_;
};

}  // namespace larchlever::fleet
