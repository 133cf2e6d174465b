#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Entries that can relay a request for this entry, and how many requests they relay for it now.
///
/// Chooses the peer with the fewest of this entry's requests, preferring its own zone, so that requests of one entry
/// spread over all peers. A peer that could not help is not asked again for a short time. Single-threaded,
/// deterministic for a given seed.
class RelayPeers {
 public:
  RelayPeers(std::string zone, uint64_t seed) : zone_(std::move(zone)), random_engine_(seed) {}

  void update(const std::vector<wire::RelayPeer>& peers) { peers_ = peers; }
  bool empty() const { return peers_.empty(); }
  /// The relay address of the best peer that is neither excluded nor paused; nothing if there is none.
  std::optional<std::string> choose(TimePoint now, const std::set<std::string>& excluded);
  void begin_request(const std::string& address) { ++in_flight_[address]; }
  void end_request(const std::string& address);
  /// The peer reaches no server either, or does not answer.
  void note_unavailable(TimePoint now, const std::string& address);

 private:
  std::string zone_;
  std::mt19937_64 random_engine_;
  std::vector<wire::RelayPeer> peers_;
  std::map<std::string, int> in_flight_;
  std::map<std::string, TimePoint> paused_until_;
};

/// Chooses at most `limit` of `candidates` for `node`: half of them, if possible, from its zone, the rest from others.
/// Each node gets a different part, the same each time, so that the nodes spread over all candidates. The candidate
/// with the relay address `own_address`, if any, is left out.
std::vector<wire::RelayPeer> select_relay_peers(const std::vector<wire::RelayPeer>& candidates, const std::string& node,
                                                const std::string& zone, size_t limit,
                                                const std::string& own_address = {});

}  // namespace larchlever::fleet
