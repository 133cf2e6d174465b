#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/document/configuration_document.h"

/// Decides which servers of an engine service should form which groups. Pure: state in, decisions out.
namespace larchlever::fleet {

/// One usable server of the service, as the planner sees it.
struct PlannedServer {
  std::string id;
  /// Servers of a group must share it.
  std::string domain;
  /// The model of the server's last group, whose weights are in its accelerators; empty for none.
  std::string loaded_model;
  /// Models whose weights lie on the server's host.
  std::vector<std::string> staged_models;
  /// The group it belongs to; empty when it is free.
  std::string group;
  /// It reports a holding group.
  bool in_spare_group = false;

  bool has_staged(const std::string& model) const;
  /// Joining a group of `model` needs no load from the weight store.
  bool is_warm_for(const std::string& model) const { return loaded_model == model || has_staged(model); }
};

/// One group of the service.
struct PlannedGroup {
  std::string name;
  std::string model;
  /// It serves, so it may be given up for another. False while it forms or is being dissolved.
  bool is_open = false;
  /// It serves or will; false while it is drained or dissolved.
  bool counts_as_capacity = true;
  /// It was given up for another model, and its servers are not free yet.
  bool is_preempted = false;
};

/// How many groups of a model the present demand fills to the limit of its latency objective; may be fractional.
struct ModelNeed {
  const document::ModelSpec* model = nullptr;
  double groups_needed = 0;
};

/// Everything that a plan depends on.
struct PlannerInput {
  std::vector<PlannedServer> servers;
  std::vector<PlannedGroup> groups;
  std::vector<ModelNeed> needs;
  /// Domains whose free servers are kept for one model.
  std::map<std::string, std::string> reserved_domains;
  /// Groups may be formed of servers that must load weights first. Otherwise they are staged before they join.
  bool cold_groups_allowed = true;
};

/// A group to form; the first member is its head.
struct GroupPlan {
  const document::ModelSpec* model = nullptr;
  std::vector<std::string> members;
  /// Members that must load the weights from the store.
  size_t weight_loads = 0;
};

/// Open groups whose servers should go to a model that needs them more, all in one domain.
struct PreemptionPlan {
  std::vector<std::string> groups;
  std::string domain;
  /// The model that gets the servers.
  std::string model;
};

/// How much a load of weights is worth while loads are dear.
enum class LoadPriority {
  kRepair,     ///< A free server holds nothing: no group can use it without a load.
  kStandby,    ///< A server serves a small model, and its weights would not help a larger one.
  kPrecaution  ///< A group's survivors find other use as well.
};

/// Weights that a server should hold besides the work it does now.
struct StagingPlan {
  std::string server;
  std::string model;
  LoadPriority priority = LoadPriority::kPrecaution;
  /// Into a free server's accelerators, so that it joins a group at once; otherwise onto its host.
  bool into_accelerators = false;
};

/// Plans for one engine service.
///
/// Models are spread over the fabric domains, and servers hold the weights of another model than the one they serve on
/// their hosts: a group that lost a member is completed within a warm join out of its own domain, by a free server or
/// by giving up a group of a model that can spare it. The free servers of a domain hold the models in their
/// accelerators by need, each another one on its host: whichever model's group loses a member, a spare joins at once.
///
/// Deterministic. Not thread-safe.
class GroupPlanner {
 public:
  explicit GroupPlanner(PlannerInput input);

  /// The group to form next; nothing when no model needs one that the free servers can form.
  std::optional<GroupPlan> next_group() const;
  /// Records that a plan is carried out, so that the next one is made on top of it.
  void add_formed_group(const GroupPlan& plan, const std::string& group);
  /// Nothing while servers given up before are not free yet.
  std::optional<PreemptionPlan> groups_to_preempt() const;
  /// Free servers that hold weights of a model in use and are in no holding group, unless their domain is reserved:
  /// those are used at once.
  std::vector<const PlannedServer*> spares_without_group() const;
  /// Weights to stage, the most useful first.
  std::vector<StagingPlan> staging_plans() const;

 private:
  using ServerIndex = std::vector<size_t>;

  /// Need over supply; the model with the highest value serves its callers worst.
  double pressure(const ModelNeed& need, double groups) const;
  double count_groups(const std::string& model) const;
  std::vector<const ModelNeed*> needs_by_pressure() const;
  /// Servers that the model should have when all of them are shared out by need.
  double target_server_count(const ModelNeed& need) const;
  bool may_add_group(const ModelNeed& need) const;
  /// A member would lose the weights of a model that is more pressed than the plan's: loads are dearer than idleness.
  bool discards_needed_weights(const GroupPlan& plan) const;
  /// Free servers of a domain that need no load for the model.
  size_t count_warm_free_servers(const std::string& domain, const std::string& model) const;
  std::optional<GroupPlan> cheapest_plan(const document::ModelSpec& model) const;
  /// Groups of the largest model that `free_servers` could still form.
  size_t count_largest_model_groups(size_t free_servers) const;
  /// Open groups of `donor` in one domain that would let a group of `model` form there without a load; empty if none.
  std::vector<std::string> donor_groups_in_domain(const std::string& domain, const document::ModelSpec& model,
                                                  const std::string& donor) const;
  /// How many free servers of each domain hold each model in their accelerators, or are about to.
  using SpareCounts = std::map<std::pair<std::string, std::string>, int>;
  SpareCounts count_spares() const;
  /// The model that a free server should hold: the one with most need for each spare of its domain.
  const document::ModelSpec* model_for_spare(const PlannedServer& server, const SpareCounts& spares) const;
  /// The model that a server should hold besides the one it serves.
  const document::ModelSpec* model_to_stage_on_host(const PlannedServer& server) const;

  PlannerInput input_;
  std::map<std::string, ServerIndex> servers_by_domain_;
  std::map<std::string, std::string> domain_by_server_;
  std::map<std::string, PlannedGroup> groups_;
};

}  // namespace larchlever::fleet
