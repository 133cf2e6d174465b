#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// How the seeds of a new fleet settle which one of them makes the first log; all others join it.
///
/// Each seed chooses one founder, keeps the choice on disk and tells it to the others. A seed founds once a majority of
/// the seeds has chosen it, so any majority that is up is enough. All seeds choose the lowest address they hear: at
/// once when all are heard, else after a wait for those that are late.
///
/// Guarantees: no two seeds found, since majorities share a seed, whose choice on disk changes in one case alone: a
/// seed that chose itself and has not founded may give way to a lower one, and nobody else counts its own choice for
/// it. A seed that hears of a log, by whatever way, never founds. A seed that lost its disk hears of the log from any
/// other seed; while it hears from none, it waits.
///
/// Not reached: when the chosen founder is lost for good before it founded, and no majority for another is left, the
/// seeds wait until it returns or an operator starts all of them on empty folders. Nothing was acknowledged by then.
///
/// Single-threaded, deterministic.
class ClusterFormation {
 public:
  /// `self` and `seeds` are peer addresses, `stored_choice` what the disk holds from an earlier life, empty if nothing.
  ClusterFormation(TimePoint now, std::string self, std::vector<std::string> seeds, std::string stored_choice);

  /// Notices to the other seeds that are due now.
  std::vector<wire::Envelope> tick(TimePoint now);
  void receive(TimePoint now, const std::string& from, const wire::FormationNotice& notice);

  /// A choice that is to be on disk before it is told to anybody; nothing when there is no new one.
  std::optional<std::string> founder_choice_to_store() const;
  void founder_choice_stored();
  /// A majority of the seeds has chosen this one, and none of them knows of a log.
  bool may_create_log() const;
  /// Some seed holds a log: there is nothing left to form.
  bool log_exists() const { return log_exists_; }

  /// Seeds heard of late, this one among them.
  std::vector<std::string> reachable_seeds(TimePoint now) const;
  /// The founder that this seed has chosen; empty while it waits for others.
  const std::string& founder_choice() const { return founder_choice_; }
  size_t majority() const { return seeds_.size() / 2 + 1; }

 private:
  struct Seed {
    TimePoint last_heard = TimePoint::min();
    std::string choice;
  };

  void update_founder_choice(TimePoint now);

  std::string self_;
  TimePoint started_at_;
  TimePoint next_notice_ = TimePoint::min();
  std::string founder_choice_;
  bool is_choice_stored_ = false;
  bool log_exists_ = false;
  /// All seeds, this one included, by address.
  std::map<std::string, Seed> seeds_;
};

}  // namespace larchlever::fleet
