#include "core/fleet/subscriber_table.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// A push that is not confirmed within this time is sent again.
constexpr Duration kPushRetryInterval = milliseconds(300);
/// Subscribers without a heartbeat for this long are removed.
constexpr Duration kSubscriberRetention = seconds(30);
constexpr Duration kCleanupInterval = seconds(1);

bool is_resend_due(TimePoint now, TimePoint unconfirmed_since) {
  return unconfirmed_since == TimePoint::min() || now - unconfirmed_since > kPushRetryInterval;
}

}  // namespace

void SubscriberTable::start_term(int64_t term) {
  term_ = term;
  history_.start_term(term);
  for (auto& [node, subscriber] : subscribers_) {
    subscriber.sent_state_version = 0;
    subscriber.state_unconfirmed_since = TimePoint::min();
  }
  recount(live_counts_.by_heartbeat.empty() ? TimePoint::min() : live_counts_.by_heartbeat.rbegin()->first);
}

void SubscriberTable::clear() {
  subscribers_.clear();
  live_counts_ = LiveCounts();
  incarnation_ranks_.clear();
}

bool SubscriberTable::record_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.fleet_heartbeat;
  const Incarnation incarnation = incarnation_ranks_.rank(envelope.from_node, envelope.from_incarnation);
  Subscriber& subscriber = subscribers_[envelope.from_node];
  if (incarnation < subscriber.incarnation) {
    return false;
  }
  remove_from_counts(envelope.from_node, subscriber);
  if (subscriber.incarnation < incarnation) {
    subscriber = Subscriber();
    subscriber.incarnation = incarnation;
  }
  subscriber.last_heartbeat = now;
  subscriber.serves_requests = report.serves_requests && !report.leaving;
  subscriber.zone = report.zone;
  const bool can_relay = report.__isset.relay_address && !report.leaving && !report.reaches_no_server;
  subscriber.relay_address = can_relay ? report.relay_address : "";
  subscriber.held_revisions = {report.document_version, report.evacuation_revision};
  note_held_state(now, subscriber, {report.held_term, report.held_version});
  add_to_counts(envelope.from_node, subscriber);
  remove_expired_counts(now);
  forget_old_subscribers(now);
  return true;
}

void SubscriberTable::note_held_state(TimePoint now, Subscriber& subscriber, const StateVersion& held) const {
  if (held == subscriber.held_state_version) {
    return;
  }
  subscriber.held_state_version = held;
  const bool holds_all_sent = held.first == term_ && held.second >= subscriber.sent_state_version;
  subscriber.state_unconfirmed_since = holds_all_sent ? TimePoint::min() : now;
}

void SubscriberTable::forget_old_subscribers(TimePoint now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  std::erase_if(subscribers_, [now](const auto& item) {
    return !item.second.is_counted && now - item.second.last_heartbeat > kSubscriberRetention;
  });
}

// ------------------------------------------------------------- live counts

bool SubscriberTable::has_expired_count(TimePoint now) const {
  const auto& nodes = live_counts_.by_heartbeat;
  return !nodes.empty() && now - nodes.begin()->first >= node_timeout_;
}

int64_t SubscriberTable::held_version_of_term(const Subscriber& subscriber) const {
  const auto [term, version] = subscriber.held_state_version;
  return term == term_ ? version : 0;
}

void SubscriberTable::add_to_counts(const std::string& node, Subscriber& subscriber) {
  subscriber.is_counted = true;
  live_counts_.by_heartbeat.emplace(subscriber.last_heartbeat, node);
  live_counts_.held_versions.insert(held_version_of_term(subscriber));
  live_counts_.serving += subscriber.serves_requests ? 1 : 0;
}

void SubscriberTable::remove_from_counts(const std::string& node, Subscriber& subscriber) {
  if (!subscriber.is_counted) {
    return;
  }
  subscriber.is_counted = false;
  live_counts_.by_heartbeat.erase({subscriber.last_heartbeat, node});
  live_counts_.held_versions.erase(live_counts_.held_versions.find(held_version_of_term(subscriber)));
  live_counts_.serving -= subscriber.serves_requests ? 1 : 0;
}

void SubscriberTable::remove_expired_counts(TimePoint now) {
  while (has_expired_count(now)) {
    const std::string node = live_counts_.by_heartbeat.begin()->second;
    remove_from_counts(node, subscribers_.at(node));
  }
}

void SubscriberTable::recount(TimePoint now) {
  live_counts_ = LiveCounts();
  for (auto& [node, subscriber] : subscribers_) {
    subscriber.is_counted = false;
    if (is_live(now, subscriber)) {
      add_to_counts(node, subscriber);
    }
  }
}

bool SubscriberTable::is_live(TimePoint now, const Subscriber& subscriber) const {
  return now - subscriber.last_heartbeat < node_timeout_;
}

int64_t SubscriberTable::newest_equal_version(const Subscriber& subscriber) const {
  return newest_version_equal_to(held_version_of_term(subscriber));
}

int64_t SubscriberTable::newest_version_equal_to(int64_t version) const {
  // Later versions changed no row, so the copy equals the newest one.
  const bool is_current = version > 0 && version >= history_.last_changed_version();
  return is_current ? std::max(version, history_.version()) : version;
}

void SubscriberTable::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, subscriber] : subscribers_) {
    subscriber.last_heartbeat = last_contact_after_pause(now, subscriber.last_heartbeat, pause);
  }
  recount(now);
}

// ----------------------------------------------------------------- updates

void SubscriberTable::add_document(TimePoint now, const std::string& node, const wire::DocumentChange& document,
                                   wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  const bool is_resend = is_resend_due(now, subscriber.document_sent_at);
  if (subscriber.held_revisions.document < document.version &&
      (is_resend || subscriber.sent_revisions.document < document.version)) {
    update.__set_document(document);
    subscriber.sent_revisions.document = document.version;
    subscriber.document_sent_at = now;
  }
}

void SubscriberTable::add_evacuations(const std::string& node, const wire::ZoneEvacuations& evacuations,
                                      wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  if (subscriber.held_revisions.evacuations < evacuations.revision) {
    update.__set_evacuations(evacuations);
    subscriber.sent_revisions.evacuations = evacuations.revision;
  }
}

void SubscriberTable::add_state(TimePoint now, const std::string& node, wire::FleetUpdate& update) {
  Subscriber& subscriber = subscribers_[node];
  const bool is_resend = is_resend_due(now, subscriber.state_unconfirmed_since);
  const int64_t held_version = newest_equal_version(subscriber);
  const bool is_behind = subscriber.held_state_version.first <= term_ && held_version < history_.last_changed_version();
  if (!is_behind || (!is_resend && subscriber.sent_state_version >= history_.last_changed_version())) {
    return;
  }
  // Messages arrive in order, so a delta may build on what was just sent. If the node makes no progress, some of that
  // may be lost, and the delta must start from the confirmed version.
  const int64_t base_version = is_resend ? held_version : std::max(held_version, subscriber.sent_state_version);
  if (base_version > 0) {
    update.__set_state_change(history_.changes_since(base_version));
  } else {
    update.__set_state(history_.full_state());
  }
  subscriber.sent_state_version = history_.version();
  subscriber.state_unconfirmed_since = is_resend ? now : subscriber.state_unconfirmed_since;
}

std::vector<std::string> SubscriberTable::nodes_to_update(TimePoint now, const LogRevisions& newest) const {
  std::vector<std::string> result;
  for (const auto& [node, subscriber] : subscribers_) {
    const bool lacks_document =
        std::max(subscriber.held_revisions.document, subscriber.sent_revisions.document) < newest.document;
    const bool lacks_evacuations =
        std::max(subscriber.held_revisions.evacuations, subscriber.sent_revisions.evacuations) < newest.evacuations;
    const bool lacks_state = subscriber.held_state_version.first <= term_ &&
                             newest_equal_version(subscriber) < history_.last_changed_version() &&
                             subscriber.sent_state_version < history_.last_changed_version();
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

SubscriberTable::StateVersion SubscriberTable::held_state_version(const std::string& node) const {
  const auto found = subscribers_.find(node);
  return found == subscribers_.end() ? StateVersion(0, 0) : found->second.held_state_version;
}

int SubscriberTable::serving_count(TimePoint now) const {
  if (!has_expired_count(now)) {
    return live_counts_.serving;
  }
  return static_cast<int>(std::count_if(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    return item.second.serves_requests && is_live(now, item.second);
  }));
}

std::vector<wire::RelayPeer> SubscriberTable::relay_peers(TimePoint now) const {
  std::vector<wire::RelayPeer> result;
  for (const auto& [node, subscriber] : subscribers_) {
    if (subscriber.serves_requests && !subscriber.relay_address.empty() && is_live(now, subscriber)) {
      wire::RelayPeer peer;
      peer.address = subscriber.relay_address;
      peer.zone = subscriber.zone;
      result.push_back(std::move(peer));
    }
  }
  return result;
}

bool SubscriberTable::take_relay_peers_due(TimePoint now, const std::string& node, Duration interval) {
  Subscriber& subscriber = subscribers_[node];
  const bool is_due =
      subscriber.relay_peers_sent_at == TimePoint::min() || now - subscriber.relay_peers_sent_at >= interval;
  if (is_due) {
    subscriber.relay_peers_sent_at = now;
  }
  return is_due;
}

bool SubscriberTable::is_held_by_all(TimePoint now, int64_t version) const {
  if (!has_expired_count(now)) {
    const auto& versions = live_counts_.held_versions;
    return versions.empty() || newest_version_equal_to(*versions.begin()) >= version;
  }
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    return !is_live(now, item.second) || newest_equal_version(item.second) >= version;
  });
}

bool SubscriberTable::is_sent_to_all(TimePoint now, int64_t version) const {
  return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
    const Subscriber& subscriber = item.second;
    return !is_live(now, subscriber) ||
           std::max(newest_equal_version(subscriber), subscriber.sent_state_version) >= version;
  });
}

int64_t SubscriberTable::newest_version_held_by_all(TimePoint now) const {
  if (!has_expired_count(now)) {
    const auto& versions = live_counts_.held_versions;
    return versions.empty() ? history_.version()
                            : std::min(history_.version(), newest_version_equal_to(*versions.begin()));
  }
  int64_t minimum = history_.version();
  for (const auto& [node, subscriber] : subscribers_) {
    if (is_live(now, subscriber)) {
      minimum = std::min(minimum, newest_equal_version(subscriber));
    }
  }
  return minimum;
}

}  // namespace larchlever::fleet
