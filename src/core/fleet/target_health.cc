#include "core/fleet/target_health.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Delay with which the progress seen by other entries is known here.
constexpr Duration kReportDelay = milliseconds(250);
/// Events of several streams that arrive within this time belong to the same engine pass.
constexpr Duration kSamePassWindow = milliseconds(5);
/// Streams are overdue after a pause of the mean plus this many deviations, but not before the minimum, which covers a
/// packet retransmission from a nearby server.
constexpr int kOverdueDeviations = 4;
constexpr Duration kMinOverduePause = milliseconds(80);

}  // namespace

void TargetHealth::begin_attempt(TimePoint now, const AttemptState& attempt) {
  if (in_flight_++ == 0) {
    busy_since_ = now;
  }
  waiting_tokens_ += attempt.prompt_tokens;
  --permits_;
}

void TargetHealth::note_first_event(TimePoint now, AttemptState& attempt) {
  if (attempt.is_streaming) {
    return;
  }
  attempt.is_streaming = true;
  waiting_tokens_ -= attempt.prompt_tokens;
  if (streaming_++ == 0) {
    streaming_since_ = now;
    stream_pauses_.clear();
  }
}

void TargetHealth::restart_silence_timer(TimePoint now) {
  busy_since_ = now;
  streaming_since_ = now;
  stream_pauses_.clear();
}

void TargetHealth::avoid_until(TimePoint until, FailureEvidence evidence) {
  avoid_until_ = until;
  if (evidence == FailureEvidence::kConnection) {
    connection_failed_until_ = until;
  }
}

void TargetHealth::stop_avoiding() {
  avoid_until_ = TimePoint::min();
  connection_failed_until_ = TimePoint::min();
}

void TargetHealth::end_attempt(const AttemptState& attempt) {
  in_flight_ = std::max(0, in_flight_ - 1);
  ++permits_;
  if (attempt.is_streaming) {
    streaming_ = std::max(0, streaming_ - 1);
  } else {
    waiting_tokens_ -= attempt.prompt_tokens;
  }
  if (in_flight_ == 0) {
    waiting_tokens_ = 0;  // Prevents accumulation of rounding errors.
  }
}

std::optional<Duration> TargetHealth::note_progress(TimePoint now) {
  const TimePoint previous = std::max(streaming_since_, last_progress_);
  last_progress_ = now;
  if (is_avoided_for_silence(now)) {
    stop_avoiding();
  }
  if (streaming_ == 0) {
    return std::nullopt;
  }
  const Duration pause = now - previous;
  if (pause <= kSamePassWindow) {
    return std::nullopt;
  }
  pause_estimate_.add_sample(pause);
  return pause;
}

bool TargetHealth::progressed_within(TimePoint now, Duration age) const {
  return last_progress_ != TimePoint::min() && now - last_progress_ < age;
}

bool TargetHealth::is_quiet(TimePoint now, Duration longest_pause) const {
  if (streaming_ > 0) {
    return now - std::max(streaming_since_, last_progress_) > longest_pause;
  }
  const bool others_stream = other_entries_.streaming > 0 && other_entries_.last_progress != TimePoint::min();
  return others_stream && now - std::max(other_entries_.last_progress, last_progress_) > longest_pause + kReportDelay;
}

bool TargetHealth::is_overdue(TimePoint now, Duration longest_pause) const {
  if (streaming_ == 0) {
    return false;
  }
  const Duration usual = std::max<Duration>(pause_estimate_.upper_bound(kOverdueDeviations), kMinOverduePause);
  const Duration allowed = pause_estimate_.has_samples() ? std::min(usual, longest_pause) : longest_pause;
  return now - std::max(streaming_since_, last_progress_) > allowed;
}

Duration TargetHealth::ongoing_pause(TimePoint now) const {
  return streaming_ == 0 ? Duration::zero() : now - std::max(streaming_since_, last_progress_);
}

Duration TargetHealth::silence_duration(TimePoint now) const {
  return in_flight_ == 0 ? Duration::zero() : now - std::max(busy_since_, last_progress_);
}

}  // namespace larchlever::fleet
