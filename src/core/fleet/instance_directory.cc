#include "core/fleet/instance_directory.h"

#include <algorithm>
#include <tuple>

namespace larchlever::fleet {

namespace {

/// How long a gone instance is remembered, so that its late reports do not bring it back.
constexpr Duration kGoneMemory = seconds(120);

}  // namespace

bool says_the_same(const wire::Instance& left, const wire::Instance& right) {
  const auto facts = [](const wire::Instance& instance) {
    return std::tie(instance.id, instance.service_name, instance.address, instance.zone, instance.domain,
                    instance.state, instance.slots, instance.staged_models, instance.membership, instance.silent,
                    instance.model);
  };
  return facts(left) == facts(right);
}

void InstanceDirectory::start(TimePoint now, const std::vector<wire::Instance>& inherited) {
  rows_.clear();
  merge(now, inherited);
}

void InstanceDirectory::merge(TimePoint now, const std::vector<wire::Instance>& inherited) {
  for (const auto& instance : inherited) {
    auto [row, is_new] = rows_.try_emplace(instance.id);
    if (is_new) {
      row->second = {instance, now, false};
    } else {
      row->second.instance.state = std::max(row->second.instance.state, instance.state);
    }
  }
}

void InstanceDirectory::retire_previous_holder(const wire::Instance& instance) {
  for (auto& [id, row] : rows_) {
    const bool replaced = id != instance.id && row.instance.address == instance.address;
    if (replaced && row.instance.state != wire::InstanceState::GONE) {
      row.instance.state = wire::InstanceState::GONE;
      row.instance.membership = {};
    }
  }
}

bool InstanceDirectory::heard(TimePoint now, const wire::Instance& report) {
  const auto found = rows_.find(report.id);
  if (found == rows_.end()) {
    retire_previous_holder(report);
    rows_[report.id] = {report, now, true};
    return true;
  }
  InstanceRow& row = found->second;
  if (report.call_number < row.instance.call_number || row.instance.state == wire::InstanceState::GONE) {
    return false;
  }
  if (!row.heard_here) {
    // A copy may still name an earlier holder of the address.
    retire_previous_holder(report);
  }
  row.last_heard = now;
  row.heard_here = true;
  wire::Instance next = report;
  next.state = std::max(row.instance.state, report.state);
  next.silent = false;
  if (next.model.empty()) {
    next.model = row.instance.model;
  }
  const bool changed = !says_the_same(row.instance, next);
  row.instance = std::move(next);
  return changed;
}

bool InstanceDirectory::deregister(TimePoint now, const std::string& id) {
  const auto found = rows_.find(id);
  if (found == rows_.end()) {
    // Unknown here, yet its late heartbeats must not register it.
    wire::Instance instance;
    instance.id = id;
    instance.state = wire::InstanceState::GONE;
    rows_[id] = {instance, now, true};
    return true;
  }
  const bool changed = found->second.instance.state != wire::InstanceState::GONE;
  found->second.instance.state = wire::InstanceState::GONE;
  found->second.last_heard = now;
  return changed;
}

bool InstanceDirectory::tick(TimePoint now) {
  const auto overdue = [&](const InstanceRow& row) { return now - row.last_heard > silence_; };
  size_t ready = 0;
  size_t silent = 0;
  for (const auto& [id, row] : rows_) {
    if (row.instance.state == wire::InstanceState::READY) {
      ++ready;
      silent += overdue(row) ? 1 : 0;
    }
  }
  const bool cut_off = silent * 2 > ready;
  bool changed = false;
  for (auto item = rows_.begin(); item != rows_.end();) {
    InstanceRow& row = item->second;
    if (row.instance.state == wire::InstanceState::GONE && now - row.last_heard > kGoneMemory) {
      item = rows_.erase(item);
      changed = true;
      continue;
    }
    if (overdue(row) && !row.instance.silent && !cut_off) {
      row.instance.silent = true;
      changed = true;
    }
    ++item;
  }
  return changed;
}

const wire::Instance* InstanceDirectory::find(const std::string& id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second.instance;
}

std::vector<wire::Instance> InstanceDirectory::snapshot() const {
  std::vector<wire::Instance> result;
  result.reserve(rows_.size());
  for (const auto& [id, row] : rows_) {
    result.push_back(row.instance);
  }
  return result;
}

}  // namespace larchlever::fleet
