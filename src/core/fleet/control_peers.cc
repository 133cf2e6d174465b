#include "core/fleet/control_peers.h"

#include <algorithm>
#include <utility>

#include "core/membership/watch_assignment.h"

namespace larchlever::fleet {

ControlPeers::ControlPeers(std::string node, std::string zone) : node_(std::move(node)), zone_(std::move(zone)) {}

void ControlPeers::add(const wire::ControlPeer& peer) {
  if (peer.address.empty()) {
    return;
  }
  const auto known =
      std::find_if(peers_.begin(), peers_.end(), [&peer](const auto& other) { return other.address == peer.address; });
  if (known == peers_.end()) {
    peers_.push_back(peer);
    sort();
  } else if (!peer.zone.empty() && known->zone != peer.zone) {
    known->zone = peer.zone;
    sort();
  }
}

std::string ControlPeers::next() { return peers_.empty() ? std::string() : peers_[next_++ % peers_.size()].address; }

void ControlPeers::sort() {
  const auto rank = [this](const wire::ControlPeer& peer) {
    const bool is_elsewhere = peer.zone != zone_;
    return std::pair(is_elsewhere, ~membership::rendezvous_weight(node_, peer.address));
  };
  std::sort(peers_.begin(), peers_.end(),
            [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

}  // namespace larchlever::fleet
