#include "core/fleet/lost_answers.h"

#include <array>
#include <utility>

namespace larchlever::fleet {

namespace {

/// Looks at a server, counted from the loss: close together at first, since the next copy of a harmful request comes
/// within tenths of a second, and long enough for a port that something holds while its server starts again.
constexpr std::array<Duration, 7> kLooks{milliseconds(0),   milliseconds(20),   milliseconds(60),  milliseconds(150),
                                         milliseconds(400), milliseconds(1000), milliseconds(2000)};
/// What was in buffers and on the way when a server ended has arrived by then.
constexpr Duration kOnTheWay = milliseconds(100);
/// A listener that stands this long after the loss will not close by itself: a process closes all of its sockets within
/// milliseconds.
constexpr Duration kPortClosesWithin = milliseconds(60);
/// A server that closes connections because it has too many takes some in between.
constexpr Duration kConfirmation = milliseconds(100);
/// Longer than a server takes to start again.
constexpr Duration kMemory = seconds(10);

}  // namespace

bool LostAnswers::note_loss(TimePoint now, const std::string& incarnation, requests::RequestFingerprint request) {
  forget_old(now);
  const auto [found, is_first] = cases_.try_emplace(incarnation);
  Case& lost = found->second;
  if (is_first) {
    lost.lost_at = now;
  }
  if (!lost.is_settled && now - lost.lost_at <= kOnTheWay) {
    lost.requests.push_back(request);
  }
  return is_first;
}

void LostAnswers::note_progress(TimePoint now, const std::string& incarnation) {
  const auto found = cases_.find(incarnation);
  if (found != cases_.end() && now - found->second.lost_at > kOnTheWay) {
    cases_.erase(found);
  }
}

std::optional<EndedServer> LostAnswers::settle(Case& lost, Certainty certainty) {
  lost.is_settled = true;
  return EndedServer{lost.lost_at, certainty, std::exchange(lost.requests, {})};
}

std::optional<EndedServer> LostAnswers::note_look(TimePoint now, const std::string& incarnation, Look look) {
  const auto found = cases_.find(incarnation);
  if (found == cases_.end() || found->second.is_settled) {
    return std::nullopt;
  }
  Case& lost = found->second;
  ++lost.looks;
  if (look == Look::kRefused) {
    return settle(lost, Certainty::kProved);
  }
  if (look == Look::kOpen) {
    lost.gone_since.reset();
    lost.keeps_port = now - lost.lost_at >= kPortClosesWithin;
    return std::nullopt;
  }
  if (!lost.gone_since) {
    lost.gone_since = now;
  }
  if (now - *lost.gone_since >= kConfirmation) {
    return settle(lost, Certainty::kLikely);
  }
  return std::nullopt;
}

std::optional<EndedServer> LostAnswers::take_suspicion(const std::string& incarnation) {
  const auto found = cases_.find(incarnation);
  if (found == cases_.end() || found->second.is_settled || !found->second.keeps_port) {
    return std::nullopt;
  }
  return settle(found->second, Certainty::kLikely);
}

std::optional<EndedServer> LostAnswers::note_restart(const std::string& incarnation) {
  const auto found = cases_.find(incarnation);
  if (found == cases_.end() || found->second.is_settled) {
    return std::nullopt;
  }
  return settle(found->second, Certainty::kProved);
}

std::optional<TimePoint> LostAnswers::next_look(const std::string& incarnation) const {
  const auto found = cases_.find(incarnation);
  const bool is_over = found == cases_.end() || found->second.is_settled || found->second.keeps_port;
  if (is_over || found->second.looks >= kLooks.size()) {
    return std::nullopt;
  }
  return found->second.lost_at + kLooks.at(found->second.looks);
}

bool LostAnswers::awaits_first_look(const std::string& incarnation) const {
  const auto found = cases_.find(incarnation);
  return found != cases_.end() && !found->second.is_settled && found->second.looks == 0;
}

bool LostAnswers::seems_gone(const std::string& incarnation) const {
  const auto found = cases_.find(incarnation);
  return found != cases_.end() && !found->second.is_settled && found->second.gone_since.has_value();
}

void LostAnswers::forget_old(TimePoint now) {
  std::erase_if(cases_, [now](const auto& item) { return now - item.second.lost_at > kMemory; });
}

}  // namespace larchlever::fleet
