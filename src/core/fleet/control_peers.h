#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// The control replicas that a node knows, in the order in which it prefers to subscribe to them: those of its own zone
/// first, and among them by rendezvous hashing, so that the nodes of a zone spread over its replicas and each keeps its
/// choice when others come and go. Single-threaded, deterministic.
class ControlPeers {
 public:
  /// `node` is the peer address of the node that prefers, `zone` where it stands.
  ControlPeers(std::string node, std::string zone);

  /// Adds a replica, or learns the zone of a known one. Empty addresses are passed over.
  void add(const wire::ControlPeer& peer);
  bool empty() const { return peers_.empty(); }
  /// The most preferred replica; empty when none is known.
  std::string preferred() const { return peers_.empty() ? std::string() : peers_.front().address; }
  /// One replica after the other, the most preferred one first, over and over.
  std::string next_in_rotation();
  /// `next` begins with the most preferred one again.
  void restart_rotation() { next_index_ = 0; }
  const std::vector<wire::ControlPeer>& all() const { return peers_; }

 private:
  void sort_by_preference();

  std::string own_address_;
  std::string own_zone_;
  std::vector<wire::ControlPeer> peers_;
  size_t next_index_ = 0;
};

}  // namespace larchlever::fleet
