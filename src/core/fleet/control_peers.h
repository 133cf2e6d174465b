#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// The control replicas that a node knows, ordered by its preference for subscribing to them: replicas in its own zone
/// first, then by rendezvous hash. The nodes of a zone thus spread over its replicas, and a node keeps its preferred
/// replica when others are added or removed. Single-threaded, deterministic.
class ControlPeers {
 public:
  /// `node` is the peer address and `zone` the zone of the subscribing node.
  ControlPeers(std::string node, std::string zone);

  /// Adds a replica or updates the zone of a known one. Ignores empty addresses.
  void add(const wire::ControlPeer& peer);
  bool empty() const { return peers_.empty(); }
  /// The most preferred replica; empty if none is known.
  std::string preferred() const { return peers_.empty() ? std::string() : peers_.front().address; }
  /// Cycles through the replicas in order of preference; empty if none is known.
  std::string next_in_rotation();
  /// Makes `next_in_rotation` begin with the most preferred replica again.
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
