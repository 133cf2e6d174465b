#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/state_history.h"
#include "core/membership/incarnation_ranks.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// How far the log's state goes that a node holds or is to hold.
struct LogRevisions {
  int64_t document = 0;
  int64_t evacuations = 0;
};

/// The nodes that copy one publisher's document and state: what each holds, what is on its way to it, and hence what it
/// is to be sent. The leader publishes to control replicas, each control replica to its entries.
///
/// Guarantees: one push at a time is under way to a node that does not confirm; it is repeated, with all that was added
/// meanwhile, only after a pause. Versions of one term name the same state wherever they were published, so a node may
/// move between publishers. Single-threaded, deterministic.
class SubscriberTable {
 public:
  /// Order of a copy of the state: term and version.
  using StateVersion = std::pair<int64_t, int64_t>;

  /// Who is not heard for `node_timeout` is not waited for.
  explicit SubscriberTable(Duration node_timeout) : node_timeout_(node_timeout) {}

  /// Publishes under another term from now on, nothing at first; who subscribes stays known.
  void start_term(int64_t term);
  /// Nobody subscribes any more.
  void clear();
  /// The rows of `state` as of its version, which must exceed all before in this term.
  void publish(const wire::FleetState& state) { history_.record(state); }
  const StateHistory& history() const { return history_; }

  /// Notes what a node says that it holds. False when the heartbeat stems from an earlier life of the node.
  bool record_heartbeat(TimePoint now, const wire::Envelope& envelope);
  /// This process stood still for `pause` until now: no node's silence in that time counts.
  void note_own_pause(TimePoint now, Duration pause);
  /// Attaches the document if the node lacks it.
  void add_document(TimePoint now, const std::string& node, const wire::DocumentChange& document,
                    wire::FleetUpdate& update);
  /// Attaches the evacuations if the node lacks them. They are small: repeated with every update until confirmed.
  void add_evacuations(const std::string& node, const wire::ZoneEvacuations& evacuations, wire::FleetUpdate& update);
  /// Attaches the state, or the rows that changed, if the node lacks them.
  void add_state(TimePoint now, const std::string& node, wire::FleetUpdate& update);
  /// Live nodes to which something published, or the log's state of those revisions, was not sent yet.
  std::vector<std::string> nodes_to_update(TimePoint now, const LogRevisions& newest) const;
  /// All nodes heard of late.
  std::vector<std::string> live_nodes(TimePoint now) const;
  StateVersion held_state_version(const std::string& node) const;
  /// Live nodes that serve callers' requests.
  int serving_count(TimePoint now) const;

  /// Every live node holds the state of `version`, or a later one that says the same.
  bool is_held_by_all(TimePoint now, int64_t version) const;
  /// The state of `version` was sent to every live node.
  bool is_sent_to_all(TimePoint now, int64_t version) const;
  /// The last version of this term that every live node holds; the version published where there is no node.
  int64_t newest_version_held_by_all(TimePoint now) const;

 private:
  struct Subscriber {
    Incarnation incarnation;
    TimePoint last_heartbeat{};
    bool serves_requests = false;
    LogRevisions held_revisions;
    StateVersion held_state_version{0, 0};
    /// What was last sent to it, and when.
    LogRevisions sent_revisions;
    TimePoint document_sent_at = TimePoint::min();
    int64_t sent_state_version = 0;
    TimePoint state_sent_at = TimePoint::min();
  };

  bool is_live(TimePoint now, const Subscriber& subscriber) const;
  /// The last version of this term that the node's copy equals.
  int64_t version_held(const Subscriber& subscriber) const;

  Duration node_timeout_;
  int64_t term_ = 0;
  StateHistory history_;
  membership::IncarnationRanks incarnation_ranks_;
  std::map<std::string, Subscriber> subscribers_;
};

}  // namespace larchlever::fleet
