#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/ids.h"
#include "larchlever_types.h"

namespace larchlever::ledger {

struct ClaimLimits {
  int64_t window_ms = 24LL * 3600 * 1000;
  size_t max_stored_answer_bytes = 64U << 20U;
  size_t max_answer_bytes = 64U << 10U;
};

struct ClaimDecision {
  bool granted = false;
  wire::Claim existing_claim;  ///< When neither granted nor expired: the claim that holds the key.
  bool key_expired = false;
};

/// Claims on idempotency keys and their outcomes. A key is granted to at most one request within the deduplication
/// window, unless that request is known not to have run.
///
/// Deterministic: callers pass the time of the log entry. Single-threaded.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  /// Claims an idempotency key for a request. `now_ms` is the time of the log entry. `claim.claimed_at_ms` is when the
  /// caller first issued the key, or zero if unknown; a key older than the window is refused, because its earlier claim
  /// may have been removed.
  ClaimDecision claim(const wire::Claim& claim, int64_t now_ms);
  /// Records the outcome of a request; ignored unless that request holds the claim. A NOT_RUN that arrives before the
  /// claim is stored as a tombstone, which refuses the late claim of the same request.
  void resolve(const wire::ClaimResolution& resolution, int64_t now_ms);
  /// Marks the claims that the given incarnation of `entry` holds in progress as UNKNOWN, after it was lost.
  void mark_outcomes_unknown(const std::string& entry, Incarnation incarnation);
  /// Removes claims older than the window, and the oldest stored answers beyond the size limit.
  void expire(int64_t now_ms);

  void set_window_ms(int64_t window_ms) { limits_.window_ms = window_ms; }
  const wire::Claim* find(const std::string& tenant, const std::string& key) const;
  size_t size() const { return claims_.size(); }
  size_t stored_bytes() const { return stored_bytes_; }
  std::vector<wire::Claim> all_claims() const;
  void restore(const std::vector<wire::Claim>& claims);

 private:
  using ClaimKey = std::pair<std::string, std::string>;

  void store_claim(const ClaimKey& key, wire::Claim claim);

  ClaimLimits limits_;
  std::map<ClaimKey, wire::Claim> claims_;
  std::deque<std::pair<int64_t, ClaimKey>> claims_by_time_;
  std::deque<ClaimKey> stored_answers_;
  size_t stored_bytes_ = 0;
};

}  // namespace larchlever::ledger
