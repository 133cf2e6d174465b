#include "core/fleet/control_peers.h"

#include <algorithm>
#include <utility>

#include "core/membership/watch_assignment.h"

namespace larchlever::fleet {

ControlPeers::ControlPeers(std::string node, std::string zone)
    : own_address_(std::move(node)), own_zone_(std::move(zone)) {}

void ControlPeers::add(const wire::ControlPeer& peer) {
  if (peer.address.empty()) {
    return;
  }
  const auto known =
      std::find_if(peers_.begin(), peers_.end(), [&peer](const auto& other) { return other.address == peer.address; });
  if (known == peers_.end()) {
    peers_.push_back(peer);
    sort_by_preference();
  } else if (!peer.zone.empty() && known->zone != peer.zone) {
    known->zone = peer.zone;
    sort_by_preference();
  }
}

std::string ControlPeers::next_in_rotation() {
  return peers_.empty() ? std::string() : peers_[next_index_++ % peers_.size()].address;
}

void ControlPeers::sort_by_preference() {
  const auto preference_key = [this](const wire::ControlPeer& peer) {
    const bool is_in_other_zone = peer.zone != own_zone_;
    return std::pair(is_in_other_zone, ~membership::rendezvous_weight(own_address_, peer.address));
  };
  std::sort(peers_.begin(), peers_.end(), [&preference_key](const auto& left, const auto& right) {
    return preference_key(left) < preference_key(right);
  });
}

}  // namespace larchlever::fleet
