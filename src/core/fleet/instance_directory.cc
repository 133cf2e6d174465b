#include "core/fleet/instance_directory.h"

#include <algorithm>
#include <tuple>

namespace larchlever::fleet {

namespace {

/// Separates the id and the birth in the name of an incarnation.
constexpr char kBirthSeparator = '@';
/// How long a gone instance is kept, so that its late reports do not register it again.
constexpr Duration kGoneRetention = seconds(120);
/// An instance that reports another's address for this long, while the other does not report, has replaced it. Late
/// heartbeats arrive in a burst when a partition heals; a live instance reports continuously.
constexpr Duration kAddressTakeoverTime = milliseconds(700);

/// An incarnation without a birth, or with an earlier one, is accepted after this many reports over this time while the
/// known one did not report. Without a birth, only the call numbers distinguish it from delayed reports; delays can be
/// seconds, so the time is longer.
constexpr int kMinCandidateReports = 3;
constexpr Duration kCandidateTime = kAddressTakeoverTime;
constexpr Duration kCandidateTimeWithoutBirth = seconds(3);
/// Reports are batched and forwarded: one that arrives now may be this old.
constexpr Duration kReportTransitTime = milliseconds(300);
/// How long an instance of a restored zone is assumed cold without its own report. Several reports fall into this time.
constexpr Duration kAssumedColdTime = seconds(5);

}  // namespace

bool is_other_incarnation(const wire::Instance& left, const wire::Instance& right) {
  return left.born_ms != 0 && right.born_ms != 0 && left.born_ms != right.born_ms;
}

std::string incarnation_name(const wire::Instance& instance) {
  return instance.born_ms == 0 ? instance.id : instance.id + kBirthSeparator + std::to_string(instance.born_ms);
}

std::optional<double> rate_limit_of(const wire::Instance& instance) {
  return instance.__isset.limit_per_second ? std::optional(instance.limit_per_second) : std::nullopt;
}

bool has_same_content(const wire::Instance& left, const wire::Instance& right) {
  const auto fields = [](const wire::Instance& instance) {
    return std::tie(instance.id, instance.service_name, instance.address, instance.zone, instance.domain,
                    instance.state, instance.slots, instance.staged_models, instance.membership, instance.silent,
                    instance.model, instance.born_ms, instance.cold);
  };
  return fields(left) == fields(right) && rate_limit_of(left) == rate_limit_of(right);
}

void InstanceDirectory::start(TimePoint now, const std::vector<wire::Instance>& inherited) {
  rows_.clear();
  rows_by_address_.clear();
  merge(now, inherited);
}

void InstanceDirectory::merge(TimePoint now, const std::vector<wire::Instance>& inherited) {
  for (const auto& instance : inherited) {
    const auto known = rows_.find(instance.id);
    if (known == rows_.end()) {
      InstanceRow& row = add_row({instance, now, false});
      row.cold_until = instance.cold ? now + kAssumedColdTime : TimePoint::min();
    } else if (!is_other_incarnation(known->second.instance, instance)) {
      known->second.instance.state = std::max(known->second.instance.state, instance.state);
      if (instance.__isset.limit_per_second) {
        known->second.instance.__set_limit_per_second(instance.limit_per_second);
      }
    } else if (instance.born_ms > known->second.instance.born_ms) {
      replace_incarnation(now, known->second, instance, false);
    }
  }
}

InstanceDirectory::ReportClass InstanceDirectory::classify_report(const wire::Instance& known,
                                                                  const wire::Instance& report) {
  if (is_other_incarnation(known, report)) {
    return report.born_ms > known.born_ms ? ReportClass::kNewIncarnation : ReportClass::kPossiblyNewIncarnation;
  }
  if (report.call_number >= known.call_number) {
    return ReportClass::kCurrent;
  }
  const bool is_same_incarnation = known.born_ms != 0 && known.born_ms == report.born_ms;
  return is_same_incarnation ? ReportClass::kStale : ReportClass::kPossiblyNewIncarnation;
}

bool InstanceDirectory::update_candidate(TimePoint now, InstanceRow& row, const wire::Instance& report) {
  auto& candidate = row.candidate;
  if (!candidate || candidate->born_ms != report.born_ms) {
    candidate = CandidateIncarnation{report.born_ms, report.call_number, now, 1};
    return false;
  }
  if (report.call_number <= candidate->call_number) {
    return false;
  }
  candidate->call_number = report.call_number;
  ++candidate->reports;
  const Duration needed = report.born_ms == 0 ? kCandidateTimeWithoutBirth : kCandidateTime;
  return candidate->reports >= kMinCandidateReports && now - candidate->since >= needed;
}

void InstanceDirectory::replace_incarnation(TimePoint now, InstanceRow& row, const wire::Instance& report,
                                            bool reported_this_term) {
  std::erase(rows_by_address_[row.instance.address], &row);
  const bool is_contended = reported_this_term && is_address_held_by_another(report);
  row = InstanceRow{report, now, reported_this_term, is_contended ? std::optional(now) : std::nullopt};
  row.instance.cold = apply_cold_state(now, row, report);
  rows_by_address_[report.address].push_back(&row);
}

InstanceRow& InstanceDirectory::add_row(InstanceRow row) {
  const std::string id = row.instance.id;
  InstanceRow& added = rows_[id] = std::move(row);
  rows_by_address_[added.instance.address].push_back(&added);
  return added;
}

template <typename Action>
void InstanceDirectory::for_each_other_at_address(const wire::Instance& instance, const Action& action) {
  for (auto* row : rows_by_address_[instance.address]) {
    if (row->instance.id != instance.id && row->instance.state != wire::InstanceState::GONE) {
      action(*row);
    }
  }
}

bool InstanceDirectory::is_address_held_by_another(const wire::Instance& instance) {
  bool held = false;
  for_each_other_at_address(instance,
                            [&held](const InstanceRow& other) { held = held || !other.address_contended_since; });
  return held;
}

void InstanceDirectory::resolve_address_conflict(TimePoint now, InstanceRow& row) {
  if (!row.address_contended_since) {
    for_each_other_at_address(row.instance, [now](InstanceRow& other) { other.address_contended_since = now; });
    return;
  }
  if (now - *row.address_contended_since < kAddressTakeoverTime) {
    return;
  }
  row.address_contended_since.reset();
  for_each_other_at_address(row.instance, [](InstanceRow& other) {
    other.instance.state = wire::InstanceState::GONE;
    other.instance.membership = {};
  });
}

bool InstanceDirectory::handle_report(TimePoint now, const wire::Instance& report) {
  const auto found = rows_.find(report.id);
  if (found == rows_.end()) {
    const bool is_contended = is_address_held_by_another(report);
    InstanceRow& added = add_row({report, now, true, is_contended ? std::optional(now) : std::nullopt});
    added.instance.cold = apply_cold_state(now, added, report);
    return true;
  }
  InstanceRow& row = found->second;
  const ReportClass report_class = classify_report(row.instance, report);
  const bool is_new = report_class == ReportClass::kNewIncarnation ||
                      (report_class == ReportClass::kPossiblyNewIncarnation && update_candidate(now, row, report));
  if (is_new) {
    replace_incarnation(now, row, report, true);
    return true;
  }
  if (report_class != ReportClass::kCurrent || row.instance.state == wire::InstanceState::GONE) {
    return false;
  }
  row.candidate.reset();
  if (!row.reported_this_term && is_address_held_by_another(report)) {
    row.address_contended_since = now;  // The state copy may hold an earlier or a later owner of the address.
  }
  const bool was_settled = row.is_confirmed();
  row.last_report_at = now;
  row.reported_this_term = true;
  const bool changed = apply_report(now, row, report);
  resolve_address_conflict(now, row);
  return changed || row.is_confirmed() != was_settled;
}

bool InstanceDirectory::handle_stale_report(TimePoint now, const wire::Instance& report) {
  const auto found = rows_.find(report.id);
  if (found == rows_.end()) {
    InstanceRow& added = add_row({report, now, false});
    added.instance.cold = apply_cold_state(now, added, report);
    return true;
  }
  InstanceRow& row = found->second;
  const ReportClass report_class = classify_report(row.instance, report);
  if (report_class == ReportClass::kNewIncarnation) {
    replace_incarnation(now, row, report, false);
    return true;
  }
  const bool is_news = report_class == ReportClass::kCurrent && !row.reported_this_term &&
                       report.call_number > row.instance.call_number && row.instance.state != wire::InstanceState::GONE;
  return is_news && apply_report(now, row, report);
}

bool InstanceDirectory::apply_cold_state(TimePoint now, InstanceRow& row, const wire::Instance& report) {
  const TimePoint reported_cold_until = now + milliseconds(report.cold_left_ms);
  const bool is_up_to_date = now >= row.cold_reports_valid_from;
  row.cold_until = is_up_to_date ? reported_cold_until : std::max(row.cold_until, reported_cold_until);
  return row.cold_until > now;
}

bool InstanceDirectory::mark_zone_cold(TimePoint now, const std::string& zone) {
  bool changed = false;
  for (auto& [id, row] : rows_) {
    if (row.instance.zone != zone) {
      continue;
    }
    row.cold_reports_valid_from = now + kReportTransitTime;
    row.cold_until = std::max(row.cold_until, now + kAssumedColdTime);
    changed = changed || !row.instance.cold;
    row.instance.cold = true;
  }
  return changed;
}

bool InstanceDirectory::apply_report(TimePoint now, InstanceRow& row, const wire::Instance& report) {
  wire::Instance next = report;
  next.cold = apply_cold_state(now, row, report);
  next.address = row.instance.address;  // An instance never changes its address or service.
  next.service_name = row.instance.service_name;
  next.born_ms = std::max(row.instance.born_ms, report.born_ms);
  next.state = std::max(row.instance.state, report.state);
  next.silent = false;
  next.limit_per_second = row.instance.limit_per_second;
  next.__isset.limit_per_second = row.instance.__isset.limit_per_second;
  if (next.model.empty()) {
    next.model = row.instance.model;
  }
  const bool changed = !has_same_content(row.instance, next);
  row.instance = std::move(next);
  return changed;
}

bool InstanceDirectory::set_rate_limit(const std::string& incarnation, std::optional<double> per_second) {
  auto found = rows_.find(incarnation.substr(0, incarnation.rfind(kBirthSeparator)));
  if (found == rows_.end()) {
    found = rows_.find(incarnation);
  }
  if (found == rows_.end() || incarnation_name(found->second.instance) != incarnation) {
    return false;
  }
  auto& instance = found->second.instance;
  const auto before = rate_limit_of(instance);
  instance.limit_per_second = per_second.value_or(0);
  instance.__isset.limit_per_second = per_second.has_value();
  return rate_limit_of(instance) != before;
}

bool InstanceDirectory::deregister(TimePoint now, const std::string& id, int64_t born_ms) {
  const auto found = rows_.find(id);
  const bool is_late = found != rows_.end() && born_ms != 0 && born_ms < found->second.instance.born_ms;
  if (is_late) {
    return false;
  }
  if (found == rows_.end()) {
    // Unknown here, but its late heartbeats must not register it.
    wire::Instance instance;
    instance.id = id;
    instance.born_ms = born_ms;
    instance.state = wire::InstanceState::GONE;
    add_row({instance, now, true});
    return true;
  }
  const bool changed = found->second.instance.state != wire::InstanceState::GONE;
  found->second.instance.born_ms = std::max(found->second.instance.born_ms, born_ms);
  found->second.instance.state = wire::InstanceState::GONE;
  found->second.last_report_at = now;
  return changed;
}

bool InstanceDirectory::tick(TimePoint now) {
  const auto overdue = [&](const InstanceRow& row) { return now - row.last_report_at > silence_timeout_; };
  size_t ready = 0;
  size_t silent = 0;
  for (const auto& [id, row] : rows_) {
    if (row.instance.state == wire::InstanceState::READY) {
      ++ready;
      silent += overdue(row) ? 1 : 0;
    }
  }
  const bool is_leader_isolated = silent * 2 > ready;
  bool changed = false;
  for (auto item = rows_.begin(); item != rows_.end();) {
    InstanceRow& row = item->second;
    if (row.instance.state == wire::InstanceState::GONE && now - row.last_report_at > kGoneRetention) {
      std::erase(rows_by_address_[row.instance.address], &row);
      item = rows_.erase(item);
      changed = true;
      continue;
    }
    if (row.instance.cold && now >= row.cold_until) {
      row.instance.cold = false;
      changed = true;
    }
    if (overdue(row) && row.address_contended_since) {
      row.instance.state = wire::InstanceState::GONE;  // It was a late heartbeat with no later reports.
      row.address_contended_since.reset();
      changed = true;
    } else if (overdue(row) && !row.instance.silent && !is_leader_isolated) {
      row.instance.silent = true;
      changed = true;
    }
    ++item;
  }
  return changed;
}

void InstanceDirectory::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [id, row] : rows_) {
    row.last_report_at = last_contact_after_pause(now, row.last_report_at, pause);
  }
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
