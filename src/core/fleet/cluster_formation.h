#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Elects the seed of a new cluster that creates the first replicated log (the founder); all other seeds join that log.
///
/// Each seed chooses one founder, persists the choice and sends it to the other seeds. A seed creates the log once a
/// majority of the seeds has chosen it, so any reachable majority suffices. Every seed chooses the lowest reachable
/// address: at once if all seeds are reachable, otherwise after a grace period for late seeds.
///
/// Guarantees: at most one seed creates a log, since any two majorities share a seed, and persisted choices change in
/// one case only: a seed that chose itself and has created no log may switch to a lower address. No other seed counts
/// that seed's choice of itself. A seed that learns of an existing log never creates one. A seed that lost its disk
/// learns of the log from any other seed, and waits while it reaches none.
///
/// Limitation: if the chosen founder is permanently lost before it creates the log, and no other seed can get a
/// majority, the seeds wait until it returns or an operator restarts all of them with empty data folders. No call has
/// been acknowledged by then.
///
/// Single-threaded, deterministic.
class ClusterFormation {
 public:
  /// `self` and `seeds` are peer addresses; `stored_choice` is the choice that an earlier incarnation persisted, empty
  /// if there is none.
  ClusterFormation(TimePoint now, std::string self, std::vector<std::string> seeds, std::string stored_choice);

  /// Returns the notices to the other seeds that are due now.
  std::vector<wire::Envelope> tick(TimePoint now);
  void receive_notice(TimePoint now, const std::string& from, const wire::FormationNotice& notice);

  /// A new choice that must be persisted before it is sent to other seeds; empty if there is none.
  std::optional<std::string> founder_choice_to_store() const;
  void founder_choice_stored();
  /// A majority of the seeds has chosen this one, and it has not learned of an existing log.
  bool may_create_log() const;
  /// Another seed holds a log, so formation is over.
  bool log_exists() const { return log_exists_; }

  /// Seeds that sent a notice within the seed timeout, including this one.
  std::vector<std::string> reachable_seeds(TimePoint now) const;
  /// The founder that this seed has chosen; empty until it has chosen one.
  const std::string& founder_choice() const { return founder_choice_; }
  size_t majority() const { return seeds_.size() / 2 + 1; }

 private:
  struct Seed {
    TimePoint last_notice = TimePoint::min();
    std::string choice;
  };

  void update_founder_choice(TimePoint now);

  std::string self_;
  TimePoint started_at_;
  TimePoint next_notice_ = TimePoint::min();
  std::string founder_choice_;
  bool is_choice_stored_ = false;
  bool log_exists_ = false;
  /// All seeds by address, including this one.
  std::map<std::string, Seed> seeds_;
};

}  // namespace larchlever::fleet
