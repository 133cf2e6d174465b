#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/document/configuration_document.h"

/// Decides which servers of an engine service should form which groups. Has no side effects.
namespace larchlever::fleet {

/// One usable server of the service, as input to the planner.
struct PlannedServer {
  std::string id;
  /// Fabric domain. All servers of a group must be in the same domain.
  std::string domain;
  /// Model whose weights are in the server's accelerators (the model of its last group); empty for none.
  std::string loaded_model;
  /// Models whose weights are staged on the server's host.
  std::vector<std::string> staged_models;
  /// The group that the server belongs to; empty when it is free.
  std::string group;
  /// The server reports that it is in a spare group (see spare_group_name in group_supervisor.h).
  bool in_spare_group = false;

  bool has_staged(const std::string& model) const;
  /// The server can join a group of `model` without a load from the weight store.
  bool is_warm_for(const std::string& model) const { return loaded_model == model || has_staged(model); }
};

/// One group of the service.
struct PlannedGroup {
  std::string name;
  std::string model;
  /// The group serves, so it may be preempted. False while it is being formed or dissolved.
  bool is_open = false;
  /// The group serves or will serve. False while it is being drained or dissolved.
  bool counts_as_capacity = true;
  /// The group was preempted for another model, and its servers are not free yet.
  bool is_preempted = false;
};

/// How many groups a model needs to serve its current demand within its latency objective; may be fractional.
struct ModelNeed {
  const document::ModelSpec* model = nullptr;
  double groups_needed = 0;
};

/// The complete input of a plan.
struct PlannerInput {
  std::vector<PlannedServer> servers;
  std::vector<PlannedGroup> groups;
  std::vector<ModelNeed> needs;
  /// Domains whose free servers are reserved for one model: domain -> model.
  std::map<std::string, std::string> reserved_domains;
  /// Whether groups may include servers that must load weights first. Otherwise weights are staged before a server
  /// joins.
  bool cold_groups_allowed = true;
};

/// A group to form; the first member is its head.
struct GroupPlan {
  const document::ModelSpec* model = nullptr;
  std::vector<std::string> members;
  /// Number of members that must load the weights from the store.
  size_t weight_loads = 0;
};

/// Open groups, all in one domain, whose servers should be given to a model that needs them more.
struct PreemptionPlan {
  std::vector<std::string> groups;
  std::string domain;
  /// The model that receives the servers.
  std::string model;
};

/// Priority of a weight load while loads are limited.
enum class LoadPriority {
  kRepair,     ///< A free server holds no weights: no group can use it without a load.
  kStandby,    ///< A server of a small model could not help a larger model without a load.
  kPrecaution  ///< The surviving servers of a failed group can be used without this load as well.
};

/// Weights that a server should load in addition to its current work.
struct StagingPlan {
  std::string server;
  std::string model;
  LoadPriority priority = LoadPriority::kPrecaution;
  /// Load into the accelerators of a free server, so that it can join a group at once; otherwise onto its host.
  bool into_accelerators = false;
};

/// Plans for one engine service.
///
/// Models are spread over the fabric domains, and the host of each server stages the weights of a model other than the
/// one that the server runs. A group that lost a member is therefore formed again in its own domain within the time of
/// a warm join, with a free server or by preempting a group of a model that needs it less. The free servers of a domain
/// hold the models in their accelerators in proportion to need and a second model on their hosts, so that a spare can
/// join at once whichever model's group loses a member.
///
/// Deterministic. Not thread-safe.
class GroupPlanner {
 public:
  explicit GroupPlanner(PlannerInput input);

  /// The group to form next; nullopt when no model needs a group that the free servers can form.
  std::optional<GroupPlan> next_group() const;
  /// Adds the group formed from a plan to the input, so that the next plan takes it into account.
  void add_formed_group(const GroupPlan& plan, const std::string& group);
  /// Returns nullopt while a previous preemption is in progress or its servers are still reserved.
  std::optional<PreemptionPlan> groups_to_preempt() const;
  /// Free servers that hold weights of a model in use and are in no spare group. Omits reserved domains, whose servers
  /// are used at once.
  std::vector<const PlannedServer*> spares_without_group() const;
  /// Weights to load, by descending priority.
  std::vector<StagingPlan> staging_plans() const;

 private:
  using ServerIndex = std::vector<size_t>;

  /// Groups needed divided by groups present. The model with the highest pressure is the most overloaded.
  double pressure(const ModelNeed& need, double groups) const;
  double count_groups(const std::string& model) const;
  std::vector<const ModelNeed*> needs_by_pressure() const;
  /// Servers that the model should have if all servers are divided in proportion to need.
  double target_server_count(const ModelNeed& need) const;
  bool may_add_group(const ModelNeed& need) const;
  /// A member would lose the weights of a model under higher pressure than the plan's. While loads are limited, an idle
  /// server is cheaper than loading those weights again.
  bool discards_needed_weights(const GroupPlan& plan) const;
  /// Number of free servers of a domain that need no load for the model.
  size_t count_warm_free_servers(const std::string& domain, const std::string& model) const;
  std::optional<GroupPlan> cheapest_plan(const document::ModelSpec& model) const;
  /// Number of groups of the largest model that `free_servers` can form.
  size_t count_largest_model_groups(size_t free_servers) const;
  /// Open groups of model `donor` in the domain whose preemption lets a group of `model` form there without a load;
  /// empty if there are none.
  std::vector<std::string> donor_groups_in_domain(const std::string& domain, const document::ModelSpec& model,
                                                  const std::string& donor) const;
  /// Number of free servers per (domain, model) that hold the model in their accelerators or are about to.
  using SpareCounts = std::map<std::pair<std::string, std::string>, int>;
  SpareCounts count_spares() const;
  /// The model that a free server should load: the one with the highest need per spare of its domain.
  const document::ModelSpec* model_for_spare(const PlannedServer& server, const SpareCounts& spares) const;
  /// The model to stage on the server's host in addition to the one in its accelerators.
  const document::ModelSpec* model_to_stage_on_host(const PlannedServer& server) const;

  PlannerInput input_;
  std::map<std::string, ServerIndex> servers_by_domain_;
  std::map<std::string, std::string> domain_by_server_;
  std::map<std::string, PlannedGroup> groups_;
};

}  // namespace larchlever::fleet
