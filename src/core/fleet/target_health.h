#pragma once

#include <cstdint>
#include <optional>

#include "core/base/time.h"
#include "core/fleet/stream_pauses.h"
#include "core/requests/latency_estimate.h"

namespace larchlever::fleet {

/// What shows that a target failed.
enum class FailureEvidence {
  kConnection,  ///< It refused or reset a connection, or its end was seen otherwise.
  kSilence,     ///< It did not answer in time. Sound servers may be silent too.
};

/// State of one request attempt, from dispatch to completion.
struct AttemptState {
  double prompt_tokens = 0;
  /// The first event of the response has arrived.
  bool is_streaming = false;
};

/// Reported instead of the age of the last progress when there was none recently.
constexpr int32_t kUnknownProgressAge = -1;

/// Load of all other entries on a target, from the leader's last report.
struct OtherEntriesLoad {
  int in_flight = 0;
  int streaming = 0;
  double waiting_tokens = 0;
  /// When any other entry last saw progress; `TimePoint::min()` if none did recently.
  TimePoint last_progress = TimePoint::min();
};

/// Load and liveness of one target (a plain instance, or the head of a group) as observed by one entry.
/// Single-threaded, deterministic.
class TargetHealth {
 public:
  void begin_attempt(TimePoint now, const AttemptState& attempt);
  void note_first_event(TimePoint now, AttemptState& attempt);
  /// Returns the pause that the event ended, if streams were active. Further events of the same engine pass end none.
  std::optional<Duration> note_progress(TimePoint now);
  void end_attempt(const AttemptState& attempt);
  void set_other_entries_load(const OtherEntriesLoad& others) { other_entries_ = others; }
  /// Number of further requests that this entry may send to the target until its share of the free slots is
  /// recalculated.
  void set_permits(int permits) { permits_ = permits; }
  bool has_permit() const { return permits_ > 0; }
  /// Pauses of this entry's streams that the leader shall know of. Cleared when the first of several streams starts.
  StreamPauses& stream_pauses() { return stream_pauses_; }
  /// Measures silence and pauses from now on, because this entry was paused until now and read no responses.
  void restart_silence_timer(TimePoint now);
  /// Avoids the target until `until`; if it is only silent, at most until it makes progress.
  void avoid_until(TimePoint until, FailureEvidence evidence);
  void stop_avoiding();

  int in_flight() const { return in_flight_; }
  int streaming() const { return streaming_; }
  double waiting_tokens() const { return waiting_tokens_; }
  int total_in_flight() const { return in_flight_ + other_entries_.in_flight; }
  /// Prompt tokens of requests that wait for their first event, over all entries.
  double total_waiting_tokens() const { return waiting_tokens_ + other_entries_.waiting_tokens; }
  TimePoint last_progress() const { return last_progress_; }
  bool is_avoided(TimePoint now) const { return now < avoid_until_; }
  /// It is avoided only because it did not answer in time.
  bool is_avoided_for_silence(TimePoint now) const { return is_avoided(now) && now >= connection_failed_until_; }
  bool progressed_within(TimePoint now, Duration age) const;
  /// There are active streams, but none produced an event for longer than `longest_pause`. Uses the other entries'
  /// reports if this entry has no stream there.
  bool is_quiet(TimePoint now, Duration longest_pause) const;
  /// This entry has active streams, and none produced an event for clearly longer than the usual pause, or for longer
  /// than `longest_pause`.
  bool is_overdue(TimePoint now, Duration longest_pause) const;
  /// How long this entry's streams have paused; zero if there are none.
  Duration ongoing_pause(TimePoint now) const;
  /// How long this entry's requests have waited since the last progress; zero if there are none.
  Duration silence_duration(TimePoint now) const;

 private:
  int in_flight_ = 0;
  int streaming_ = 0;
  double waiting_tokens_ = 0;
  int permits_ = 0;
  /// Start of the current period with at least one request in flight, or one stream.
  TimePoint busy_since_ = TimePoint::min();
  TimePoint streaming_since_ = TimePoint::min();
  TimePoint last_progress_ = TimePoint::min();
  /// Intervals between progress events while streams were active.
  requests::LatencyEstimate pause_estimate_;
  StreamPauses stream_pauses_;
  TimePoint avoid_until_ = TimePoint::min();
  /// Until when the target is avoided because a connection failed.
  TimePoint connection_failed_until_ = TimePoint::min();
  OtherEntriesLoad other_entries_;
};

}  // namespace larchlever::fleet
