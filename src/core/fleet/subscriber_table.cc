#include "core/fleet/subscriber_table.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// A push that brought no confirmation in this time is repeated.
constexpr Duration kPushRetry = milliseconds(300);
/// Subscribers silent for this long are forgotten.
constexpr Duration kSubscriberMemory = seconds(30);

bool is_due_again(TimePoint now, TimePoint sent_at) {
  return sent_at == TimePoint::min() || now - sent_at > kPushRetry;
}

}  // namespace

void SubscriberTable::start_term(int64_t term) {
  term_ = term;
  history_.start(term);
  for (auto& [node, subscriber] : subscribers_) {
    subscriber.state_sent = 0;
    subscriber.state_sent_at = TimePoint::min();
  }
}

void SubscriberTable::clear() {
  subscribers_.clear();
  incarnations_.clear();
}

bool SubscriberTable::heard(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.fleet_heartbeat;
  const Incarnation life = incarnations_.rank(envelope.from_node, envelope.from_incarnation);
  Subscriber& subscriber = subscribers_[envelope.from_node];
  if (life < subscriber.life) {
    return false;
  }
  if (subscriber.life < life) {
    subscriber = Subscriber();
    subscriber.life = life;
  }
  subscriber.last_heard = now;
  subscriber.serves_requests = report.serves_requests && !report.leaving;
  subscriber.held = {report.document_version, report.evacuation_revision};
  subscriber.state_held = {report.held_term, report.held_version};
  std::erase_if(subscribers_, [now](const auto& item) { return now - item.second.last_heard > kSubscriberMemory; });
  return true;
}

bool SubscriberTable::is_live(TimePoint now, const Subscriber& subscriber) const {
  return now - subscriber.last_heard < node_timeout_;
}

int64_t SubscriberTable::version_held(const Subscriber& subscriber) const {
  const auto [term, version] = subscriber.state_held;
  if (term != term_) {
    return 0;
  }
  // Later versions changed no row: the copy equals them.
  return version >= history_.last_change() ? std::max(version, history_.version()) : version;
}

void SubscriberTable::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, subscriber] : subscribers_) {
    subscriber.last_heard = heard_after_pause(now, subscriber.last_heard, pause);
  }
}

void SubscriberTable::add_document(TimePoint now, const std::string& node, const wire::DocumentChange& document,
                                   wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  const bool is_repeat = is_due_again(now, subscriber.document_sent_at);
  if (subscriber.held.document < document.version && (is_repeat || subscriber.sent.document < document.version)) {
    update.__set_document(document);
    subscriber.sent.document = document.version;
    subscriber.document_sent_at = now;
  }
}

void SubscriberTable::add_evacuations(const std::string& node, const wire::ZoneEvacuations& evacuations,
                                      wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  if (subscriber.held.evacuations < evacuations.revision) {
    update.__set_evacuations(evacuations);
    subscriber.sent.evacuations = evacuations.revision;
  }
}

void SubscriberTable::add_state(TimePoint now, const std::string& node, wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  const bool is_repeat = is_due_again(now, subscriber.state_sent_at);
  const int64_t held = version_held(subscriber);
  const bool is_behind = subscriber.state_held.first <= term_ && held < history_.last_change();
  if (!is_behind || (!is_repeat && subscriber.state_sent >= history_.last_change())) {
    return;
  }
  // What was sent a moment ago is on its way in order. Without a confirmation in time, only what was confirmed counts.
  const int64_t base = is_repeat ? held : std::max(held, subscriber.state_sent);
  if (base > 0) {
    update.__set_state_change(history_.since(base));
  } else {
    update.__set_state(history_.full());
  }
  subscriber.state_sent = history_.version();
  subscriber.state_sent_at = now;
}

std::vector<std::string> SubscriberTable::nodes_behind(TimePoint now, const LogRevisions& newest) const {
  std::vector<std::string> result;
  for (const auto& [node, subscriber] : subscribers_) {
    const bool lacks_document = std::max(subscriber.held.document, subscriber.sent.document) < newest.document;
    const bool lacks_evacuations =
        std::max(subscriber.held.evacuations, subscriber.sent.evacuations) < newest.evacuations;
    const bool lacks_state = subscriber.state_held.first <= term_ &&
                             version_held(subscriber) < history_.last_change() &&
                             subscriber.state_sent < history_.last_change();
    if (is_live(now, subscriber) && (lacks_document || lacks_evacuations || lacks_state)) {
      result.push_back(node);
    }
  }
  return result;
}

std::vector<std::string> SubscriberTable::live_nodes(TimePoint now) const {
  std::vector<std::string> result;
  for (const auto& [node, subscriber] : subscribers_) {
    if (is_live(now, subscriber)) {
      result.push_back(node);
    }
  }
  return result;
}

SubscriberTable::StateOrder SubscriberTable::state_held(const std::string& node) const {
  const auto found = subscribers_.find(node);
  return found == subscribers_.end() ? StateOrder(0, 0) : found->second.state_held;
}

int SubscriberTable::serving(TimePoint now) const {
  return static_cast<int>(std::count_if(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    return item.second.serves_requests && is_live(now, item.second);
  }));
}

bool SubscriberTable::all_hold(TimePoint now, int64_t version) const {
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    return !is_live(now, item.second) || version_held(item.second) >= version;
  });
}

bool SubscriberTable::all_were_sent(TimePoint now, int64_t version) const {
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    const Subscriber& subscriber = item.second;
    return !is_live(now, subscriber) || std::max(version_held(subscriber), subscriber.state_sent) >= version;
  });
}

int64_t SubscriberTable::held_by_all(TimePoint now) const {
  int64_t least = history_.version();
  for (const auto& [node, subscriber] : subscribers_) {
    if (is_live(now, subscriber)) {
      least = std::min(least, version_held(subscriber));
    }
  }
  return least;
}

}  // namespace larchlever::fleet
