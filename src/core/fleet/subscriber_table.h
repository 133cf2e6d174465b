#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/state_history.h"
#include "core/membership/incarnation_ranks.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Versions of the replicated log's state: of the configuration document and of the evacuations.
struct LogRevisions {
  int64_t document = 0;
  int64_t evacuations = 0;
};

/// The subscribers of one publisher: what each of them holds, what was sent to it and is not confirmed yet, and hence
/// what to send next. The leader publishes to control replicas, and each control replica to its entries.
///
/// The cost of a heartbeat and of the counts over live nodes does not grow with the number of nodes.
///
/// Guarantees: data that a node has not confirmed is resent, with all later changes, only after a retry interval
/// without progress, however often the state changes meanwhile. A version of a term denotes the same state at every
/// publisher, so a node may move between publishers. Single-threaded, deterministic.
class SubscriberTable {
 public:
  /// Term and version of a copy of the state; copies are ordered by it.
  using StateVersion = std::pair<int64_t, int64_t>;

  /// A node without a heartbeat for `node_timeout` does not count as live.
  explicit SubscriberTable(Duration node_timeout) : node_timeout_(node_timeout) {}

  /// Begins a new term with nothing published; keeps the subscribers.
  void start_term(int64_t term);
  /// Removes all subscribers.
  void clear();
  /// Publishes `state`; its version must exceed all published before in this term.
  void publish(const wire::FleetState& state) { history_.record(state); }
  const StateHistory& history() const { return history_; }

  /// Records the versions that a node reports to hold. Returns false, without effect, for a heartbeat of an earlier
  /// incarnation of the node.
  bool record_heartbeat(TimePoint now, const wire::Envelope& envelope);
  /// This process was suspended for `pause` until now, so that time does not count towards node timeouts.
  void note_own_pause(TimePoint now, Duration pause);
  /// Adds the document to `update` if the node lacks it and no recent copy is on its way.
  void add_document(TimePoint now, const std::string& node, const wire::DocumentChange& document,
                    wire::FleetUpdate& update);
  /// Adds the evacuations to `update` if the node lacks them. They are small, so every update repeats them until the
  /// node confirms them.
  void add_evacuations(const std::string& node, const wire::ZoneEvacuations& evacuations, wire::FleetUpdate& update);
  /// Adds the full state or the changed rows to `update` if the node lacks them and no recent copy is on its way.
  void add_state(TimePoint now, const std::string& node, wire::FleetUpdate& update);
  /// Live nodes to which the newest published state or the revisions in `newest` were not sent yet.
  std::vector<std::string> nodes_to_update(TimePoint now, const LogRevisions& newest) const;
  /// All nodes whose last heartbeat is within the node timeout.
  std::vector<std::string> live_nodes(TimePoint now) const;
  StateVersion held_state_version(const std::string& node) const;
  /// Number of live nodes that serve callers' requests.
  int serving_count(TimePoint now) const;
  /// Whether the node was last told of relay peers at least `interval` ago, or never. Records that it is told now.
  bool take_relay_peers_due(TimePoint now, const std::string& node, Duration interval);
  /// Live nodes that relay requests of other entries.
  std::vector<wire::RelayPeer> relay_peers(TimePoint now) const;

  /// Every live node holds `version` or a later one; a copy whose rows equal `version` counts as holding it.
  bool is_held_by_all(TimePoint now, int64_t version) const;
  /// Every live node holds `version` or a later one, or such a version was sent to it.
  bool is_sent_to_all(TimePoint now, int64_t version) const;
  /// The newest version of this term that every live node holds; the published version if there is no live node.
  int64_t newest_version_held_by_all(TimePoint now) const;

 private:
  struct Subscriber {
    Incarnation incarnation;
    TimePoint last_heartbeat{};
    bool serves_requests = false;
    std::string zone;
    /// Empty if it relays no requests at present.
    std::string relay_address;
    LogRevisions held_revisions;
    StateVersion held_state_version{0, 0};
    /// The versions last sent to it, and when.
    LogRevisions sent_revisions;
    TimePoint document_sent_at = TimePoint::min();
    int64_t sent_state_version = 0;
    /// Since when it has confirmed no more of the state although some was sent; the minimum if it holds all of that.
    TimePoint state_unconfirmed_since = TimePoint::min();
    TimePoint relay_peers_sent_at = TimePoint::min();
    /// Whether it is part of `live_counts_`.
    bool is_counted = false;
  };
  /// Counts over the nodes that were live at the last heartbeat of any node.
  struct LiveCounts {
    /// The nodes by the time of their last heartbeat, oldest first.
    std::set<std::pair<TimePoint, std::string>> by_heartbeat;
    /// Version of this term that each of them holds; 0 for one whose copy is of another term.
    std::multiset<int64_t> held_versions;
    int serving = 0;
  };

  bool is_live(TimePoint now, const Subscriber& subscriber) const;
  /// Whether a counted node is no longer live; then the counts do not hold until the next heartbeat.
  bool has_expired_count(TimePoint now) const;
  int64_t held_version_of_term(const Subscriber& subscriber) const;
  void note_held_state(TimePoint now, Subscriber& subscriber, const StateVersion& held) const;
  void add_to_counts(const std::string& node, Subscriber& subscriber);
  void remove_from_counts(const std::string& node, Subscriber& subscriber);
  void remove_expired_counts(TimePoint now);
  void recount(TimePoint now);
  void forget_old_subscribers(TimePoint now);
  /// The newest version of this term whose rows equal the node's copy; 0 if its copy is of another term.
  int64_t newest_equal_version(const Subscriber& subscriber) const;
  int64_t newest_version_equal_to(int64_t version) const;

  Duration node_timeout_;
  int64_t term_ = 0;
  StateHistory history_;
  membership::IncarnationRanks incarnation_ranks_;
  std::map<std::string, Subscriber> subscribers_;
  LiveCounts live_counts_;
  TimePoint next_cleanup_ = TimePoint::min();
};

}  // namespace larchlever::fleet
