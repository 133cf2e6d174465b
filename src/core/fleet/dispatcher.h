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
#include "core/document/configuration_document.h"
#include "core/document/home_regions.h"
#include "core/engine/cost_model.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/rate_shares.h"
#include "core/fleet/server_limits.h"
#include "core/fleet/server_notices.h"
#include "core/fleet/target_health.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Where a request may be sent: a plain instance, or the head of an open group.
struct DispatchTarget {
  /// The group's name, or the instance's incarnation where there is no group. Load and failures are counted under it,
  /// so that nothing of an earlier start is held against a later.
  std::string key;
  std::string service;
  std::string group;
  std::string instance_id;
  std::string address;
  /// Requests in flight there when it was chosen, this one not counted.
  int in_flight = 0;
  /// The start of the server that the request is meant for: its id, and its birth where it tells one.
  std::string incarnation = {};
  /// Zones of the servers that the request reaches.
  std::vector<std::string> zones = {};
};

/// What a request asks of a service; model, latency and tokens are ignored for plain ones.
struct RequestRequirements {
  std::string model;
  /// Time to the first event that its route aims at.
  Duration target_latency{};
  double prompt_tokens = 0;
  /// Zones of its home regions; null when it may run anywhere.
  const std::set<std::string>* allowed_zones = nullptr;
};

enum class DispatchFailure { kNone, kNoTarget, kAllBusy };

/// How long a target is avoided after it failed; the leader has decided about it by then.
constexpr Duration kAvoidanceTime = seconds(2);

/// Who decides whether a plain server that takes only so many requests a second gets one more.
enum class RateAuthority {
  kLeader,      ///< Counts for all entries; to be asked.
  kLocalShare,  ///< This entry, by its part of the rate, while no leader answers.
};

struct DispatchDecision {
  std::optional<DispatchTarget> target;
  DispatchFailure failure = DispatchFailure::kNone;
  /// Where the leader has to be asked: plain servers that are better than `target`, or all there are, the best first.
  std::vector<DispatchTarget> rated_targets;
  /// Without a target and where only rates hold the request back: when this entry's next turn comes.
  std::optional<TimePoint> next_allowed_at;
};

/// An entry's choice of where each request goes, by the fleet's state, the load that all entries report, and what it
/// saw itself. Single-threaded, deterministic for a given seed.
class Dispatcher {
 public:
  Dispatcher(const FleetOptions& options, std::string zone, uint64_t seed);

  /// Takes the leader's state. Returns the keys of targets whose server started again: what is under way there is lost.
  std::vector<std::string> update_state(const wire::FleetState& state);
  void update_services(const std::map<std::string, document::ServiceSpec>& services);
  /// What all entries, this one included, have under way per group, as of `now`.
  void update_loads(TimePoint now, const std::vector<wire::GroupLoad>& totals);
  /// Takes the zones whose servers get no requests.
  void update_evacuations(const wire::ZoneEvacuations& evacuations) { evacuations_ = evacuations; }
  void set_serving_nodes(int count) { serving_nodes_ = count < 1 ? 1 : count; }

  /// The service of a route for one request, drawn by weight.
  const std::string& choose_service(const document::Route& route);
  /// The least loaded target that is not excluded. Groups are filled only so far that the demand's objective
  /// is expected to hold.
  DispatchDecision choose(TimePoint now, const document::ServiceSpec& service, const RequestRequirements& requirements,
                          const std::set<std::string>& excluded, RateAuthority authority = RateAuthority::kLocalShare);
  /// The leader has no room at the server until then: others are preferred.
  void note_rate_limited_until(TimePoint until, const DispatchTarget& target) {
    rate_limited_until_[target.incarnation] = until;
  }
  /// The head of an open group that is not avoided; nothing when this entry knows of none of that name.
  std::optional<DispatchTarget> target_of_group(TimePoint now, const std::string& group);
  /// This entry stood still until now, and what its targets sent meanwhile was not read: their silence is its own.
  void restart_silence_timers(TimePoint now);
  /// Groups of a model that this entry avoids, whose streams pause too long, or whose head rests or leaves.
  std::vector<std::string> groups_to_avoid(TimePoint now, const std::string& service, const std::string& model);
  /// A request for a model arrived, with its own statement of prompt and answer, in tokens.
  void record_demand(const std::string& service, const RequestRequirements& requirements,
                     const engine::RequestSizes& sizes);
  /// A request for a model aims at no pause between events longer than `gap`: no pass of its groups is let grow longer.
  void record_gap_objective(const std::string& service, const std::string& model, Duration gap);
  /// Groups whose streams at this entry pause too long.
  std::vector<std::string> quiet_groups(TimePoint now) const;
  /// Totals of what `record_demand` was told since the start, to be reported.
  std::vector<wire::ModelDemand> demand_totals() const;
  /// Brackets one sending; the load counts between them.
  void begin_attempt(TimePoint now, const DispatchTarget& target, const AttemptState& attempt = {});
  void end_attempt(const DispatchTarget& target, const AttemptState& attempt = {});
  /// The target answered or made progress.
  void note_progress(TimePoint now, const DispatchTarget& target);
  /// The sending's first event arrived.
  void note_first_event(TimePoint now, const DispatchTarget& target, AttemptState& attempt);
  /// The target refused, reset or stood still. True when it is now to be avoided: what else is under way there will not
  /// come back either.
  bool note_failure(TimePoint now, const DispatchTarget& target);

  /// Groups where requests of this entry wait although none made progress for longer than `patience`, and
  /// `timeout_per_request` for each that waits: a group that got many at once reads all their prompts first. Less
  /// patience is shown where streams had begun.
  std::vector<DispatchTarget> stalled_groups(TimePoint now, Duration base_timeout, Duration timeout_per_request) const;
  /// What the target's server asked for in its answer. `note_leaving` returns true when that is news.
  void note_retry_after(TimePoint now, const DispatchTarget& target, Duration delay) {
    notices_.note_retry_after(now, target.incarnation, delay);
  }
  bool note_leaving(TimePoint now, const DispatchTarget& target) {
    return notices_.note_leaving(now, target.incarnation);
  }
  /// What an answer said of its server's limit. True when the limit changes.
  bool note_limit(const LimitObservation& observation);
  /// A limit changed since it was last taken to be reported.
  bool has_unreported_limits() const { return !unreported_limits_.empty(); }
  /// What this entry knows of limits by itself: what changed since the last call, and all of it.
  std::vector<LimitObservation> take_changed_limits(TimePoint now);
  std::vector<LimitObservation> take_all_limits(TimePoint now);
  /// Whether the target's server takes requests of this entry now: it neither rests nor leaves, and its zone is not
  /// evacuated.
  bool may_send(TimePoint now, const DispatchTarget& target) const;
  /// Every server that runs the model stands in an evacuated zone; for plain services the model is empty.
  /// Where `allowed_zones` is not null, only servers there count.
  bool are_all_servers_evacuated(const std::string& service, const std::string& model,
                                 const std::set<std::string>* allowed_zones = nullptr) const;
  /// When the first of the servers that serve the model rests no longer, if all of them rest now; for plain services
  /// the model is empty. Servers that leave do not count.
  std::optional<TimePoint> all_backing_off_until(TimePoint now, const std::string& service,
                                                 const std::string& model) const;

  /// The group is to be avoided for a while.
  void avoid_target(TimePoint now, const std::string& key) { health_[key].avoid_until(now + kAvoidanceTime); }

  /// Counts a request, and says whether one more sending of it fits this entry's part of the retry budget.
  void note_request(TimePoint now, const std::string& service);
  bool try_take_retry(TimePoint now, const std::string& service);
  /// How many more `try_take_retry` would grant now.
  int remaining_retries(TimePoint now, const std::string& service);

  /// This entry's in-flight requests per group, to be reported.
  std::vector<wire::GroupLoad> group_loads(TimePoint now) const;
  /// The same for those that changed since the last call.
  std::vector<wire::GroupLoad> take_changed_group_loads(TimePoint now);
  /// Groups that this entry avoids now.
  std::vector<wire::GroupFailure> group_failures(TimePoint now) const;

 private:
  struct RetryHistory {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  /// Forgets the health of targets that exist no more.
  void remove_unknown_targets();
  void remove_unrated_servers();
  void clear_reported_loads();
  /// Forgets what other entries had under way when nobody told of it lately.
  void expire_reported_loads(TimePoint now);
  double instance_cost(const std::string& key, const std::string& zone);
  /// Longest pause between events of a healthy group of this service and model.
  Duration longest_pause(const std::string& service, const std::string& model) const;
  /// The instance of that id, if it takes requests.
  const wire::Instance* find_available_instance(const std::string& id) const;
  /// The head of the group, if the group serves that model and its head takes requests.
  const wire::Instance* available_head(const wire::EngineGroup& group, const std::string& service,
                                       const std::string& model) const;
  bool is_available(const wire::Instance& instance) const;
  /// The request has no homes, or the group's servers all stand in them.
  static bool is_in_allowed_zones(const RequestRequirements& requirements, const wire::EngineGroup& group,
                                  const wire::Instance& head);
  /// Zones that a request to the group reaches; its head's for a group formed by an earlier version.
  static std::vector<std::string> group_zones(const wire::EngineGroup& group, const wire::Instance& head);
  /// The limit that the incarnation names, by its answers here and by what other entries reported.
  std::optional<double> known_limit(const std::string& incarnation) const;
  /// Requests a second that the instance takes from all entries; 0 for any number.
  double rate_limit_of(const document::ServiceSpec& service, const wire::Instance& instance,
                       const std::string& incarnation) const;
  void note_rated_attempt(TimePoint now, const document::ServiceSpec& service, const wire::Instance& instance);
  /// Servers that take the requests of a service, heads of open groups where it has a model.
  std::vector<const wire::Instance*> available_servers(const std::string& service, const std::string& model) const;
  /// An open group and its head.
  using OpenGroup = std::pair<const wire::EngineGroup*, const wire::Instance*>;
  DispatchTarget make_target(const wire::EngineGroup& group, const wire::Instance& head);
  /// Expected time to the first event there, in milliseconds.
  double group_cost_ms(const document::ServiceSpec& service, const RequestRequirements& requirements,
                       const OpenGroup& candidate) const;
  size_t cheapest_of_sample(const document::ServiceSpec& service, const RequestRequirements& requirements,
                            std::vector<OpenGroup>& open);
  /// Draws this entry's part of the free places of each group of the model, each of which holds `most`. All entries
  /// know the same free places at the same time: were each to take them, a group would get many times what it has room
  /// for.
  void refresh_permits(TimePoint now, const std::string& service, const std::string& model, int in_flight_limit);
  DispatchDecision choose_group(TimePoint now, const document::ServiceSpec& service,
                                const RequestRequirements& requirements, const std::set<std::string>& excluded);
  int max_in_flight(const document::ServiceSpec& service, const RequestRequirements& requirements) const;
  /// A plain instance that may get the request.
  struct InstanceCandidate {
    const wire::Instance* instance = nullptr;
    std::string incarnation;
    double rate = 0;
    bool is_suspect = false;
    double cost = 0;
  };
  std::vector<InstanceCandidate> rank_instances(TimePoint now, const document::ServiceSpec& service,
                                                const RequestRequirements& requirements,
                                                const std::set<std::string>& excluded);
  DispatchTarget make_target(const InstanceCandidate& candidate);
  DispatchDecision choose_instance(TimePoint now, const document::ServiceSpec& service,
                                   const RequestRequirements& requirements, const std::set<std::string>& excluded,
                                   RateAuthority authority);
  DispatchDecision choose_by_local_share(TimePoint now, const document::ServiceSpec& service,
                                         const std::vector<InstanceCandidate>& candidates);
  /// Names the rated servers that the leader is to be asked for, where one of them is the best choice.
  DispatchDecision choose_for_leader_admission(TimePoint now, const std::vector<InstanceCandidate>& candidates);
  void drop_expired(TimePoint now, RetryHistory& history) const;
  void mark_load_changed(const DispatchTarget& target);
  static wire::GroupLoad make_group_load(TimePoint now, const std::string& key, const TargetHealth& health);

  FleetOptions options_;
  std::string zone_;
  std::mt19937_64 random_;
  int serving_nodes_ = 1;
  std::map<std::string, wire::Instance> instances_;
  std::vector<wire::EngineGroup> groups_;
  ServerNotices notices_;
  ServerLimits limits_;
  /// The limits that the leader holds, by all entries' reports.
  std::map<std::string, double> reported_limits_;
  /// Incarnations whose limits changed since they were last reported.
  std::set<std::string> unreported_limits_;
  /// Until when the leader has no room at rated servers.
  std::map<std::string, TimePoint> rate_limited_until_;
  wire::ZoneEvacuations evacuations_;
  RateShares rate_shares_;
  std::map<std::string, TargetHealth> health_;
  /// Targets whose load differs from what was last told.
  std::set<std::string> changed_groups_;
  /// Longest pauses by service and model, from the cost models in force.
  std::map<std::pair<std::string, std::string>, Duration> longest_pauses_;
  /// The strictest objective for pauses that requests had, by service and model.
  std::map<std::pair<std::string, std::string>, Duration> min_gap_objectives_;
  std::map<std::string, RetryHistory> retry_histories_;
  /// When permits for a service's model were last drawn.
  std::map<std::pair<std::string, std::string>, TimePoint> permits_refreshed_at_;
  /// When the loads of other entries were last told; `TimePoint::min()` when none are held.
  TimePoint loads_reported_at_ = TimePoint::min();
  /// Sizes of the requests for each model, by service and model.
  std::map<std::pair<std::string, std::string>, engine::SizeEstimate> size_estimates_;
  std::map<std::pair<std::string, std::string>, wire::ModelDemand> demand_by_model_;
};

}  // namespace larchlever::fleet
