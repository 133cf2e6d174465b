// The part of GroupSupervisor that chooses which free instances become which group.

#include <algorithm>

#include "core/fleet/group_supervisor.h"

namespace larchlever::fleet {

namespace {

using FreeByDomain = std::map<std::string, std::vector<const wire::Instance*>>;

/// Keeps a model of no stated share from being infinitely covered.
constexpr double kSmallestFraction = 1e-6;
/// Share of the servers kept out of groups, to replace members that are lost.
constexpr double kSpareShare = 0.0;
/// Lets a target that is a hair under a whole group count as one.
constexpr double kRounding = 0.5;
/// A spare that has not reported its weights in this time is ordered again.
constexpr Duration kStagingPatience = seconds(25);

bool has_staged(const wire::Instance& instance, const std::string& model) {
  const auto& staged = instance.staged_models;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

/// Members for a group of `model` out of one domain's free instances: those that hold the weights come first.
struct Candidate {
  std::vector<const wire::Instance*> members;
  size_t loads = 0;
  size_t left_over = 0;
};

Candidate candidate_from(std::vector<const wire::Instance*> free, const document::ModelSpec& model) {
  std::stable_partition(free.begin(), free.end(),
                        [&model](const auto* instance) { return has_staged(*instance, model.name); });
  Candidate candidate;
  candidate.left_over = free.size() - static_cast<size_t>(model.size);
  free.resize(static_cast<size_t>(model.size));
  candidate.loads = static_cast<size_t>(std::count_if(
      free.begin(), free.end(), [&model](const auto* instance) { return !has_staged(*instance, model.name); }));
  candidate.members = std::move(free);
  return candidate;
}

/// Of `instances`, those that hold the weights of `model`.
size_t count_staged(const std::vector<const wire::Instance*>& instances, const std::string& model) {
  return static_cast<size_t>(std::count_if(instances.begin(), instances.end(),
                                           [&model](const auto* instance) { return has_staged(*instance, model); }));
}

/// The domain where the group costs the fewest loads. Among equals the one that serves the model most already: what a
/// lost member leaves over in a domain of one model completes the domain's next group.
std::optional<Candidate> best_candidate(const FreeByDomain& free, const std::map<std::string, size_t>& serving,
                                        const document::ModelSpec& model) {
  std::optional<Candidate> best;
  size_t best_serving = 0;
  for (const auto& [domain, instances] : free) {
    if (instances.size() < static_cast<size_t>(model.size)) {
      continue;
    }
    auto candidate = candidate_from(instances, model);
    const auto found = serving.find(domain);
    const size_t here = found == serving.end() ? 0 : found->second;
    const bool better = !best || candidate.loads < best->loads ||
                        (candidate.loads == best->loads &&
                         (here > best_serving || (here == best_serving && candidate.left_over > best->left_over)));
    if (better) {
      best = std::move(candidate);
      best_serving = here;
    }
  }
  return best;
}

/// Servers that a model should hold, out of `servers` in all; the rest are spares.
double wanted_servers(const document::ModelSpec& model, size_t servers) {
  return model.fraction * static_cast<double>(servers) * (1.0 - kSpareShare);
}

}  // namespace

size_t GroupSupervisor::loads_under_way(const InstanceDirectory& directory) const {
  size_t loads = 0;
  for (const auto& [name, record] : records_) {
    if (record.group.phase != wire::GroupPhase::JOINING) {
      continue;
    }
    for (const auto& id : record.group.members) {
      const auto* member = directory.find(id);
      const bool ready = reports_ready(member, record.group);
      loads += member != nullptr && !ready && !has_staged(*member, record.group.model) ? 1 : 0;
    }
  }
  for (const auto& [id, since] : staging_) {
    const auto* instance = directory.find(id);
    const bool loading = instance != nullptr && instance->staged_models.empty() && owner_of(id) == nullptr;
    loads += loading ? 1 : 0;
  }
  return loads;
}

bool GroupSupervisor::may_load(TimePoint now, const document::EngineSpec& engine, const InstanceDirectory& directory,
                               size_t loads) {
  const size_t loads_under_way = this->loads_under_way(directory);
  const auto& rows = directory.rows();
  const auto loads_finished = static_cast<size_t>(std::count_if(
      rows.begin(), rows.end(), [](const auto& item) { return !item.second.instance.staged_models.empty(); }));
  if (loads > 0 && now < cold_loads_after_) {
    return false;
  }
  const auto at_once = static_cast<size_t>(engine.loads_at_once);
  if (!traffic_seen_) {
    // Loads begun before the first request are cheap, also those that end after it. The more of the fleet is loaded,
    // the more are begun at once: the store's throughput stays the same, and fewer are left for when they are dear.
    return loads == 0 || loads_under_way < at_once + loads_finished;
  }
  if (loads > 0 && loads_under_way >= at_once) {
    return false;
  }
  while (!load_starts_.empty() && now - load_starts_.front() > options_.load_window) {
    load_starts_.pop_front();
  }
  const double window_seconds = std::chrono::duration<double>(options_.load_window).count();
  const auto most = static_cast<size_t>(std::max(1.0, engine.loads_per_second * window_seconds));
  return load_starts_.size() + loads <= std::max(most, loads);
}

GroupSupervisor::ServiceView GroupSupervisor::view_of(const std::string& service,
                                                      const InstanceDirectory& directory) const {
  ServiceView view;
  for (const auto& [id, row] : directory.rows()) {
    const auto& instance = row.instance;
    const bool usable = row.heard_here && instance.service_name == service && !instance.silent &&
                        instance.state == wire::InstanceState::READY;
    if (!usable) {
      continue;
    }
    ++view.servers;
    const auto* owner = owner_of(id);
    if (owner != nullptr) {
      const size_t counted = owner->phase == wire::GroupPhase::DISSOLVING ? 0 : 1;
      view.held[owner->model] += counted;
      view.serving_by_model[owner->model][instance.domain] += counted;
      continue;
    }
    const auto& membership = instance.membership;
    const bool unattached = membership.group.empty() || membership.state == wire::MembershipState::NONE ||
                            dissolved_.contains(membership.group);
    if (unattached) {
      view.free_by_domain[instance.domain].push_back(&instance);
    }
  }
  return view;
}

const document::ModelSpec* GroupSupervisor::main_model(const document::EngineSpec& engine, const ServiceView& view,
                                                       const std::string& domain) {
  const document::ModelSpec* main = nullptr;
  size_t most = 0;
  for (const auto& model : engine.models) {
    size_t count = 0;
    if (const auto serving = view.serving_by_model.find(model.name); serving != view.serving_by_model.end()) {
      const auto found = serving->second.find(domain);
      count += found == serving->second.end() ? 0 : found->second;
    }
    if (const auto free = view.free_by_domain.find(domain); free != view.free_by_domain.end()) {
      count += count_staged(free->second, model.name);
    }
    const bool better = main == nullptr || count > most || (count == most && model.size > main->size);
    if (better) {
      main = &model;
      most = count;
    }
  }
  return main;
}

void GroupSupervisor::stage_spares(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                                   const InstanceDirectory& directory) {
  const auto view = view_of(service, directory);
  std::erase_if(staging_, [&](const auto& item) { return now - item.second > kStagingPatience; });
  for (const auto& [domain, free] : view.free_by_domain) {
    const auto* model = main_model(engine, view, domain);
    for (const auto* instance : free) {
      if (!instance->staged_models.empty()) {
        staging_.erase(instance->id);
      }
      const bool idle = instance->staged_models.empty() && !staging_.contains(instance->id);
      if (!idle || model == nullptr || !may_load(now, engine, directory, 1)) {
        continue;
      }
      load_starts_.push_back(now);
      staging_[instance->id] = now;
      InstanceOrder order;
      order.kind = OrderKind::kStage;
      order.instance_id = instance->id;
      order.fence = term_;
      order.model = model->name;
      send(now, order, directory);
    }
  }
}

bool GroupSupervisor::form_one(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                               const InstanceDirectory& directory) {
  auto view = view_of(service, directory);
  std::vector<const document::ModelSpec*> by_need;
  for (const auto& model : engine.models) {
    by_need.push_back(&model);
  }
  const auto coverage = [&](const document::ModelSpec& model) {
    const auto held = view.held.find(model.name);
    const size_t servers = held == view.held.end() ? 0 : held->second;
    return static_cast<double>(servers) / std::max(model.fraction, kSmallestFraction);
  };
  std::stable_sort(by_need.begin(), by_need.end(),
                   [&](const auto* left, const auto* right) { return coverage(*left) < coverage(*right); });
  for (const auto* model : by_need) {
    const auto held = view.held.find(model->name);
    const double next_size = static_cast<double>(model->size + (held == view.held.end() ? 0 : held->second));
    const bool is_first = held == view.held.end();
    if (!is_first && next_size > wanted_servers(*model, view.servers) + kRounding) {
      continue;
    }
    const auto candidate = best_candidate(view.free_by_domain, view.serving_by_model[model->name], *model);
    if (!candidate) {
      continue;
    }
    if (!may_load(now, engine, directory, candidate->loads)) {
      return false;
    }
    load_starts_.insert(load_starts_.end(), candidate->loads, now);
    Record record;
    record.group.epoch = next_epoch();
    record.group.name = "g" + std::to_string(term_) + "-" + std::to_string(record.group.epoch & kEpochNumberMask);
    record.group.service_name = service;
    record.group.model = model->name;
    record.group.phase = wire::GroupPhase::JOINING;
    for (const auto* member : candidate->members) {
      record.group.members.push_back(member->id);
    }
    record.since = now;
    const auto& stored = records_[record.group.name] = std::move(record);
    for (const auto& id : stored.group.members) {
      send(now, order_for(OrderKind::kJoin, stored, id), directory);
    }
    return true;
  }
  return false;
}

bool GroupSupervisor::form_groups(TimePoint now, const document::ConfigurationDocument& document,
                                  const InstanceDirectory& directory) {
  bool formed = false;
  for (const auto& [name, service] : document.services) {
    if (!service.engine) {
      continue;
    }
    while (form_one(now, name, *service.engine, directory)) {
      formed = true;
    }
    stage_spares(now, name, *service.engine, directory);
  }
  return formed;
}

}  // namespace larchlever::fleet
