#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/requests/latency_estimate.h"

namespace larchlever::fleet {

/// One sending of a request, from when it leaves to its end.
struct AttemptState {
  double prompt_tokens = 0;
  /// Its first event arrived.
  bool is_streaming = false;
};

/// Stands for the age of progress that nobody saw of late.
constexpr int32_t kUnknownProgressAge = -1;

/// What other entries have under way at a target, as the leader last told.
struct OtherEntriesLoad {
  int in_flight = 0;
  int streaming = 0;
  double waiting_tokens = 0;
  /// When any of them last saw progress; the origin of time when none did of late.
  TimePoint last_progress = TimePoint::min();
};

/// Load and signs of life of one target (a plain instance, or a group's head), as one entry sees them.
/// Single-threaded, deterministic.
class TargetHealth {
 public:
  void begin_attempt(TimePoint now, const AttemptState& attempt);
  void note_first_event(TimePoint now, AttemptState& attempt);
  void note_progress(TimePoint now);
  void end_attempt(const AttemptState& attempt);
  void set_other_entries_load(const OtherEntriesLoad& others) { other_entries_ = others; }
  /// How many more requests this entry may send there until its part of the free places is drawn anew.
  void set_permits(int permits) { permits_ = permits; }
  bool has_permit() const { return permits_ > 0; }
  /// Silence counts from now on: until now this entry itself did not look.
  void restart_silence_timer(TimePoint now);
  void avoid_until(TimePoint until) { avoid_until_ = until; }

  int in_flight() const { return in_flight_; }
  int streaming() const { return streaming_; }
  double waiting_tokens() const { return waiting_tokens_; }
  int total_in_flight() const { return in_flight_ + other_entries_.in_flight; }
  /// Prompt tokens, over all entries, of requests that wait for their first event.
  double total_waiting_tokens() const { return waiting_tokens_ + other_entries_.waiting_tokens; }
  TimePoint last_progress() const { return last_progress_; }
  bool is_avoided(TimePoint now) const { return now < avoid_until_; }
  bool progressed_within(TimePoint now, Duration age) const;
  /// Streams go on there, yet none brought anything for longer than `longest_pause`, whoever watches.
  bool is_quiet(TimePoint now, Duration longest_pause) const;
  /// Streams of this entry go on there, and bring nothing for clearly longer than they used to, if `longest_pause`
  /// allows no less.
  bool is_overdue(TimePoint now, Duration longest_pause) const;
  /// This entry's own requests have waited this long since it last saw progress; zero when it has none there.
  Duration silence(TimePoint now) const;

 private:
  int in_flight_ = 0;
  int streaming_ = 0;
  double waiting_tokens_ = 0;
  int permits_ = 0;
  /// Since when at least one request, or one stream, has been under way.
  TimePoint busy_since_ = TimePoint::min();
  TimePoint streaming_since_ = TimePoint::min();
  TimePoint last_progress_ = TimePoint::min();
  /// Times between two signs of progress while streams went on.
  requests::LatencyEstimate pauses_;
  TimePoint avoid_until_ = TimePoint::min();
  OtherEntriesLoad other_entries_;
};

}  // namespace larchlever::fleet
