#include <algorithm>
#include <deque>
#include <random>

#include "core/control/control_state.h"
#include "simulation/event_queue.h"
#include "simulation/experiment_runs.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int kTenants = 10;
constexpr Duration kCommit = milliseconds(12);
constexpr Duration kMeanThinking = seconds(4);
constexpr Duration kLockExpiry = seconds(30);
/// Share of lock holders who vanish without releasing.
constexpr double kVanish = 0.02;

/// Operators who read a tenant, think, and change it; one of three ways decides whose change stands.
class RacingOperators {
 public:
  RacingOperators(const Experiment& experiment, std::string way, uint64_t seed)
      : experiment_(experiment), way_(std::move(way)), random_(seed) {
    wire::Command command;
    command.__isset.change = true;
    command.change.command_id = "setup";
    wire::Template shape;
    shape.name = "main";
    shape.model = "model";
    shape.version = "1";
    shape.machines_per_group = 4;
    command.change.writes.push_back(make_write("template/main", wire::encode(shape)));
    for (int number = 0; number < kTenants; ++number) {
      command.change.writes.push_back(make_write(tenant_key(number), tenant_value(number, 10)));
    }
    state_.apply(++index_, command);
  }

  std::map<std::string, double> run() {
    for (int64_t number = 0; number < experiment_.operators; ++number) {
      begin(number);
    }
    queue_.run_until(TimePoint(seconds(experiment_.duration_seconds)), [] { return false; });
    std::sort(latency_ms_.begin(), latency_ms_.end());
    const auto at = [this](double share) {
      return latency_ms_.empty()
                 ? 0.0
                 : latency_ms_[static_cast<size_t>(share * static_cast<double>(latency_ms_.size() - 1))];
    };
    const double tries = std::max(1.0, static_cast<double>(accepted_ + refused_));
    return {{"accepted_share", static_cast<double>(accepted_) / tries},
            {"accepted_per_minute",
             60.0 * static_cast<double>(accepted_) / static_cast<double>(experiment_.duration_seconds)},
            {"wasted_thinking_seconds_per_accepted", wasted_s_ / std::max(1.0, static_cast<double>(accepted_))},
            {"waiting_ms_p50", at(0.5)},
            {"waiting_ms_p95", at(0.95)},
            {"log_entries_per_accepted", static_cast<double>(index_) / std::max(1.0, static_cast<double>(accepted_))}};
  }

 private:
  struct Lock {
    bool held = false;
    int64_t holder = 0;
    std::deque<std::function<void()>> waiting;
  };

  static std::string tenant_key(int number) { return "tenant/t" + std::to_string(number); }
  static wire::KeyWrite make_write(const std::string& key, std::string value) {
    wire::KeyWrite write;
    write.key = key;
    write.value = std::move(value);
    return write;
  }
  static std::string tenant_value(int number, int concurrent) {
    wire::Tenant tenant;
    tenant.name = "t" + std::to_string(number);
    tenant.template_name = "main";
    tenant.zones = {"a"};
    tenant.share_percent = 5;
    tenant.max_concurrent = concurrent;
    return wire::encode(tenant);
  }

  Duration thinking() {
    std::exponential_distribution<double> time(1.0 / static_cast<double>(kMeanThinking.count()));
    return Duration(static_cast<int64_t>(time(random_)));
  }

  void begin(int64_t who) {
    const int target = std::uniform_int_distribution<int>(0, kTenants - 1)(random_);
    const TimePoint wanted = queue_.now();
    if (way_ != "locks") {
      queue_.after(kCommit, [this, who, target, wanted] { read_and_think(who, target, wanted); });
      return;
    }
    acquire(target, who, [this, who, target, wanted] { read_and_think(who, target, wanted); });
  }

  void acquire(int target, int64_t who, std::function<void()> granted) {
    Lock& lock = locks_[target];
    if (lock.held) {
      lock.waiting.push_back([this, target, who, granted] { acquire(target, who, granted); });
      return;
    }
    lock.held = true;
    lock.holder = ++next_lock_;
    ++index_;  // Taking a lock is a log entry of its own, and so is giving it back.
    const int64_t mine = lock.holder;
    queue_.after(kLockExpiry, [this, target, mine] {
      if (locks_[target].held && locks_[target].holder == mine) {
        release(target);
      }
    });
    queue_.after(kCommit, granted);
  }

  void release(int target) {
    Lock& lock = locks_[target];
    ++index_;
    lock.held = false;
    if (!lock.waiting.empty()) {
      const auto next = std::move(lock.waiting.front());
      lock.waiting.pop_front();
      next();
    }
  }

  void read_and_think(int64_t who, int target, TimePoint wanted) {
    std::vector<wire::KeyRevision> reads;
    for (int number = 0; number < kTenants; ++number) {
      if (number == target || way_ == "whole_document") {
        wire::KeyRevision read;
        read.key = tenant_key(number);
        read.revision = state_.records().revision_of(read.key).value();
        reads.push_back(std::move(read));
      }
    }
    const Duration time = thinking();
    const double waited = static_cast<double>((queue_.now() - wanted).count()) / 1000.0;
    queue_.after(time, [this, who, target, reads, time, waited] {
      const bool vanishes = std::uniform_real_distribution<double>(0, 1)(random_) < kVanish;
      if (!vanishes) {
        queue_.after(kCommit, [this, who, target, reads, time, waited] { submit(who, target, reads, time, waited); });
      } else {
        begin(who);
      }
    });
  }

  void submit(int64_t who, int target, const std::vector<wire::KeyRevision>& reads, Duration time, double waited) {
    wire::Command command;
    command.__isset.change = true;
    command.change.command_id = "c" + std::to_string(++next_command_);
    command.change.reads = reads;
    command.change.writes.push_back(
        make_write(tenant_key(target), tenant_value(target, std::uniform_int_distribution<int>(1, 99)(random_))));
    const auto answer = *state_.apply(++index_, command).change_answer;
    if (answer.verdict == wire::Verdict::ACCEPTED) {
      ++accepted_;
      latency_ms_.push_back(waited + static_cast<double>(kCommit.count()) / 1000.0);
    } else {
      ++refused_;
      wasted_s_ += static_cast<double>(time.count()) / 1e6;
    }
    if (way_ == "locks") {
      release(target);
    }
    begin(who);
  }

  const Experiment& experiment_;
  std::string way_;
  std::mt19937_64 random_;
  EventQueue queue_;
  control::ControlState state_;
  int64_t index_ = 0;
  std::map<int, Lock> locks_;
  int64_t next_lock_ = 0;
  int64_t next_command_ = 0;
  uint64_t accepted_ = 0;
  uint64_t refused_ = 0;
  double wasted_s_ = 0;
  std::vector<double> latency_ms_;
};

}  // namespace

std::map<std::string, double> run_certification(const Experiment& experiment, const std::string& way, uint64_t seed) {
  return RacingOperators(experiment, way, seed).run();
}

}  // namespace larchlever::simulation
