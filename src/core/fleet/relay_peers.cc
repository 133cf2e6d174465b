#include "core/fleet/relay_peers.h"

#include <xxhash.h>

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// How long a peer that could not help is not asked again. A few requests find out whether it can by then.
constexpr Duration kUnavailablePause = milliseconds(500);
/// Penalty for a peer in another zone, in requests in flight; the same as for servers.
constexpr double kOtherZonePenaltyRequests = 1.0;

/// Moves the `count` candidates with the lowest hashes for the node to the front, in the order of their hashes.
void select_by_hash(uint64_t node_hash, size_t count, std::vector<const wire::RelayPeer*>& candidates) {
  std::vector<std::pair<uint64_t, const wire::RelayPeer*>> hashed;
  hashed.reserve(candidates.size());
  for (const auto* candidate : candidates) {
    hashed.emplace_back(XXH64(candidate->address.data(), candidate->address.size(), node_hash), candidate);
  }
  count = std::min(count, hashed.size());
  std::partial_sort(hashed.begin(), hashed.begin() + static_cast<std::ptrdiff_t>(count), hashed.end(),
                    [](const auto& left, const auto& right) { return left.first < right.first; });
  candidates.clear();
  for (size_t index = 0; index < count; ++index) {
    candidates.push_back(hashed[index].second);
  }
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
                                                const std::string& zone, size_t limit, const std::string& own_address) {
  std::vector<const wire::RelayPeer*> near_peers;
  std::vector<const wire::RelayPeer*> far_peers;
  for (const auto& candidate : candidates) {
    if (candidate.address != own_address) {
      (candidate.zone == zone ? near_peers : far_peers).push_back(&candidate);
    }
  }
  const uint64_t node_hash = XXH64(node.data(), node.size(), 0);
  select_by_hash(node_hash, limit, near_peers);
  select_by_hash(node_hash, limit, far_peers);
  const size_t wanted_far = std::min(far_peers.size(), limit - limit / 2);
  near_peers.resize(std::min(near_peers.size(), limit - wanted_far));
  far_peers.resize(std::min(far_peers.size(), limit - near_peers.size()));
  std::vector<wire::RelayPeer> result;
  for (const auto* peers : {&near_peers, &far_peers}) {
    for (const auto* peer : *peers) {
      result.push_back(*peer);
    }
  }
  return result;
}

}  // namespace larchlever::fleet
