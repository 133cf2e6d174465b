#include "core/fleet/relay_peers.h"

#include <xxhash.h>

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// How long a peer that could not help is not asked again. A few requests find out whether it can by then.
constexpr Duration kUnavailablePause = milliseconds(500);
/// Penalty for a peer in another zone, in requests in flight; the same as for servers.
constexpr double kOtherZonePenaltyRequests = 1.0;

uint64_t rendezvous_hash(const std::string& node, const std::string& candidate) {
  const std::string key = node + "/" + candidate;
  return XXH64(key.data(), key.size(), 0);
}

}  // namespace

std::optional<std::string> RelayPeers::choose(TimePoint now, const std::set<std::string>& excluded) {
  std::erase_if(paused_until_, [now](const auto& item) { return item.second <= now; });
  std::optional<std::string> best;
  double best_cost = 0;
  for (const auto& peer : peers_) {
    if (excluded.contains(peer.address) || paused_until_.contains(peer.address)) {
      continue;
    }
    const auto load = in_flight_.find(peer.address);
    const double tie_break = std::uniform_real_distribution<double>(0, 1)(random_engine_);
    const double cost = (load == in_flight_.end() ? 0 : load->second) +
                        (peer.zone == zone_ ? 0.0 : kOtherZonePenaltyRequests) + tie_break;
    if (!best || cost < best_cost) {
      best = peer.address;
      best_cost = cost;
    }
  }
  return best;
}

void RelayPeers::end_request(const std::string& address) {
  const auto found = in_flight_.find(address);
  if (found != in_flight_.end() && --found->second <= 0) {
    in_flight_.erase(found);
  }
}

void RelayPeers::note_unavailable(TimePoint now, const std::string& address) {
  paused_until_[address] = now + kUnavailablePause;
}

std::vector<wire::RelayPeer> select_relay_peers(const std::vector<wire::RelayPeer>& candidates, const std::string& node,
                                                const std::string& zone, size_t limit) {
  std::vector<wire::RelayPeer> near_peers;
  std::vector<wire::RelayPeer> far_peers;
  for (const auto& candidate : candidates) {
    (candidate.zone == zone ? near_peers : far_peers).push_back(candidate);
  }
  const auto sort_by_hash = [&node](std::vector<wire::RelayPeer>& peers) {
    std::sort(peers.begin(), peers.end(), [&node](const auto& left, const auto& right) {
      return rendezvous_hash(node, left.address) < rendezvous_hash(node, right.address);
    });
  };
  sort_by_hash(near_peers);
  sort_by_hash(far_peers);
  const size_t wanted_far = std::min(far_peers.size(), limit - limit / 2);
  near_peers.resize(std::min(near_peers.size(), limit - wanted_far));
  far_peers.resize(std::min(far_peers.size(), limit - near_peers.size()));
  near_peers.insert(near_peers.end(), far_peers.begin(), far_peers.end());
  return near_peers;
}

}  // namespace larchlever::fleet
