#include <algorithm>
#include <deque>
#include <random>

#include "core/control/control_state.h"
#include "simulation/event_queue.h"
#include "simulation/experiment_runs.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int kTenantCount = 10;
constexpr Duration kCommitLatency = milliseconds(12);
constexpr Duration kMeanEditTime = seconds(4);
constexpr Duration kLockTimeout = seconds(30);
/// Probability that an operator abandons an edit without submitting it or releasing its lock.
constexpr double kAbandonProbability = 0.02;

/// Simulates operators that concurrently read a tenant, edit it and submit the change, under one of three kinds of
/// concurrency control.
class ConcurrentOperatorsSimulation {
 public:
  ConcurrentOperatorsSimulation(const Experiment& experiment, std::string concurrency_control, uint64_t seed)
      : experiment_(experiment), concurrency_control_(std::move(concurrency_control)), random_(seed) {
    wire::Command command;
    command.__isset.change = true;
    command.change.command_id = "setup";
    wire::Template model_template;
    model_template.name = "main";
    model_template.model = "model";
    model_template.version = "1";
    model_template.machines_per_group = 4;
    command.change.writes.push_back(make_write("template/main", wire::encode(model_template)));
    for (int number = 0; number < kTenantCount; ++number) {
      command.change.writes.push_back(make_write(tenant_key(number), tenant_value(number, 10)));
    }
    state_.apply(++log_index_, command);
  }

  std::map<std::string, double> run() {
    for (int64_t number = 0; number < experiment_.operator_count; ++number) {
      start_edit(number);
    }
    queue_.run_until(TimePoint(seconds(experiment_.duration_seconds)), [] { return false; });
    std::sort(accepted_latencies_ms_.begin(), accepted_latencies_ms_.end());
    const auto latency_at_quantile = [this](double fraction) {
      return accepted_latencies_ms_.empty() ? 0.0
                                            : accepted_latencies_ms_[static_cast<size_t>(
                                                  fraction * static_cast<double>(accepted_latencies_ms_.size() - 1))];
    };
    const double attempts = std::max(1.0, static_cast<double>(accepted_changes_ + rejected_changes_));
    return {{"accepted_share", static_cast<double>(accepted_changes_) / attempts},
            {"accepted_per_minute",
             60.0 * static_cast<double>(accepted_changes_) / static_cast<double>(experiment_.duration_seconds)},
            {"wasted_thinking_seconds_per_accepted",
             wasted_edit_seconds_ / std::max(1.0, static_cast<double>(accepted_changes_))},
            {"waiting_ms_p50", latency_at_quantile(0.5)},
            {"waiting_ms_p95", latency_at_quantile(0.95)},
            {"log_entries_per_accepted",
             static_cast<double>(log_index_) / std::max(1.0, static_cast<double>(accepted_changes_))}};
  }

 private:
  struct TenantLock {
    bool is_held = false;
    int64_t acquisition_id = 0;
    std::deque<std::function<void()>> waiting_operators;
  };

  static std::string tenant_key(int number) { return "tenant/t" + std::to_string(number); }
  static wire::KeyWrite make_write(const std::string& key, std::string value) {
    wire::KeyWrite write;
    write.key = key;
    write.value = std::move(value);
    return write;
  }
  static std::string tenant_value(int number, int concurrency_limit) {
    wire::Tenant tenant;
    tenant.name = "t" + std::to_string(number);
    tenant.template_name = "main";
    tenant.zones = {"a"};
    tenant.share_percent = 5;
    tenant.max_concurrent = concurrency_limit;
    return wire::encode(tenant);
  }

  Duration draw_edit_time() {
    std::exponential_distribution<double> edit_time(1.0 / static_cast<double>(kMeanEditTime.count()));
    return Duration(static_cast<int64_t>(edit_time(random_)));
  }

  void start_edit(int64_t operator_id) {
    const int tenant_number = std::uniform_int_distribution<int>(0, kTenantCount - 1)(random_);
    const TimePoint started_at = queue_.now();
    if (concurrency_control_ != "locks") {
      queue_.schedule_after(kCommitLatency, [this, operator_id, tenant_number, started_at] {
        read_and_edit(operator_id, tenant_number, started_at);
      });
      return;
    }
    acquire(tenant_number, operator_id,
            [this, operator_id, tenant_number, started_at] { read_and_edit(operator_id, tenant_number, started_at); });
  }

  void acquire(int tenant_number, int64_t operator_id, std::function<void()> on_acquired) {
    TenantLock& lock = locks_[tenant_number];
    if (lock.is_held) {
      lock.waiting_operators.push_back(
          [this, tenant_number, operator_id, on_acquired] { acquire(tenant_number, operator_id, on_acquired); });
      return;
    }
    lock.is_held = true;
    lock.acquisition_id = ++last_acquisition_id_;
    ++log_index_;  // Acquiring and releasing a lock each take one log entry.
    const int64_t own_acquisition_id = lock.acquisition_id;
    queue_.schedule_after(kLockTimeout, [this, tenant_number, own_acquisition_id] {
      if (locks_[tenant_number].is_held && locks_[tenant_number].acquisition_id == own_acquisition_id) {
        release(tenant_number);
      }
    });
    queue_.schedule_after(kCommitLatency, on_acquired);
  }

  void release(int tenant_number) {
    TenantLock& lock = locks_[tenant_number];
    ++log_index_;
    lock.is_held = false;
    if (!lock.waiting_operators.empty()) {
      const auto waiting_operator = std::move(lock.waiting_operators.front());
      lock.waiting_operators.pop_front();
      waiting_operator();
    }
  }

  void read_and_edit(int64_t operator_id, int tenant_number, TimePoint started_at) {
    std::vector<wire::KeyRevision> reads;
    for (int number = 0; number < kTenantCount; ++number) {
      if (number == tenant_number || concurrency_control_ == "whole_document") {
        wire::KeyRevision read;
        read.key = tenant_key(number);
        read.revision = state_.records().revision_of(read.key).value();
        reads.push_back(std::move(read));
      }
    }
    const Duration edit_time = draw_edit_time();
    const double waiting_time_ms = static_cast<double>((queue_.now() - started_at).count()) / 1000.0;
    queue_.schedule_after(edit_time, [this, operator_id, tenant_number, reads, edit_time, waiting_time_ms] {
      const bool is_abandoned = std::uniform_real_distribution<double>(0, 1)(random_) < kAbandonProbability;
      if (!is_abandoned) {
        queue_.schedule_after(kCommitLatency, [this, operator_id, tenant_number, reads, edit_time, waiting_time_ms] {
          submit(operator_id, tenant_number, reads, edit_time, waiting_time_ms);
        });
      } else {
        start_edit(operator_id);
      }
    });
  }

  void submit(int64_t operator_id, int tenant_number, const std::vector<wire::KeyRevision>& reads, Duration edit_time,
              double waiting_time_ms) {
    wire::Command command;
    command.__isset.change = true;
    command.change.command_id = "c" + std::to_string(++last_command_number_);
    command.change.reads = reads;
    command.change.writes.push_back(make_write(
        tenant_key(tenant_number), tenant_value(tenant_number, std::uniform_int_distribution<int>(1, 99)(random_))));
    const auto answer = *state_.apply(++log_index_, command).change_answer;
    if (answer.verdict == wire::Verdict::ACCEPTED) {
      ++accepted_changes_;
      accepted_latencies_ms_.push_back(waiting_time_ms + static_cast<double>(kCommitLatency.count()) / 1000.0);
    } else {
      ++rejected_changes_;
      wasted_edit_seconds_ += static_cast<double>(edit_time.count()) / 1e6;
    }
    if (concurrency_control_ == "locks") {
      release(tenant_number);
    }
    start_edit(operator_id);
  }

  const Experiment& experiment_;
  std::string concurrency_control_;
  std::mt19937_64 random_;
  EventQueue queue_;
  control::ControlState state_;
  int64_t log_index_ = 0;
  std::map<int, TenantLock> locks_;
  int64_t last_acquisition_id_ = 0;
  int64_t last_command_number_ = 0;
  uint64_t accepted_changes_ = 0;
  uint64_t rejected_changes_ = 0;
  double wasted_edit_seconds_ = 0;
  std::vector<double> accepted_latencies_ms_;
};

}  // namespace

std::map<std::string, double> run_certification_trial(const Experiment& experiment,
                                                      const std::string& concurrency_control, uint64_t seed) {
  return ConcurrentOperatorsSimulation(experiment, concurrency_control, seed).run();
}

}  // namespace larchlever::simulation
