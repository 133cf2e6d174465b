#pragma once

#include "core/base/time.h"
#include "core/document/configuration_document.h"

namespace larchlever::engine {

/// What a group does with a request that is sent to it now.
struct RequestForecast {
  /// From now to the request's first event.
  Duration first_event{};
  /// The longest pass that the group's other streams wait for meanwhile: the pause between two of their events.
  Duration longest_pass{};
};

/// Follows the passes of one engine group by the cost model.
///
/// A group works in passes: each writes a few tokens for all that run and reads the prompts that arrived during the
/// pass before. The clock knows when the pass under way ends and how many prompt tokens wait for the next one, from the
/// requests that were sent there. It knows no more than the cost model, so a group that runs slow is not foreseen.
/// Callers state their prompts' sizes themselves: a prompt counts for no more than the engine's memory, which holds any
/// prompt that is taken, and where nothing runs nothing waits. Pure; single-threaded.
class PassSimulator {
 public:
  /// A request with `prompt_tokens` was sent; `running` do not count it.
  void add(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running,
           double prompt_tokens);
  /// What a request with `prompt_tokens` would meet.
  RequestForecast forecast(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                           int running, double prompt_tokens);
  /// The longest of the passes of the last half second, the one under way included, as of the last call; zero while
  /// nothing ran. The group's own passes lag behind the clock's by what the cost model leaves out.
  Duration longest_recent_pass() const { return longest_recent_pass_; }

 private:
  /// Plays the passes that have ended by `now`.
  void advance(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running);

  TimePoint current_pass_ends_at_ = TimePoint::min();
  double waiting_tokens_ = 0;
  Duration longest_recent_pass_{};
  TimePoint longest_recent_pass_ended_at_ = TimePoint::min();
};

}  // namespace larchlever::engine
