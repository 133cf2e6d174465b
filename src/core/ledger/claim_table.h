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
  wire::Claim existing_claim;  ///< When not granted: the claim in the way, or the refusal's reason in its state.
  bool key_expired = false;
};

/// Which requests with an idempotency key were let through, and what became of them. A key is granted to one request
/// only, for the whole window, unless that request is known not to have run.
///
/// Deterministic: time comes with the log entries. Single-threaded.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  /// `now_ms` is the log's clock. `claim.claimed_at_ms` is when the caller says that it first issued the key; zero if
  /// unknown. A key issued longer ago than the window is refused: its first run may have been forgotten.
  ClaimDecision claim(const wire::Claim& claim, int64_t now_ms);
  /// Records an outcome. Ignored unless it comes from the request that holds the claim; a NOT_RUN for a claim that
  /// never arrived bars that request's late claim message.
  void resolve(const wire::ClaimResolution& resolution, int64_t now_ms);
  /// Requests in progress at an entry incarnation that ended: their outcome is unknown for good.
  void mark_outcomes_unknown(const std::string& entry, Incarnation incarnation);
  /// Forgets claims older than the window and stored answers beyond the limit, oldest first.
  void expire(int64_t now_ms);

  void set_window_ms(int64_t window_ms) { limits_.window_ms = window_ms; }
  const wire::Claim* find(const std::string& tenant, const std::string& key) const;
  size_t size() const { return claims_.size(); }
  size_t stored_bytes() const { return stored_bytes_; }
  std::vector<wire::Claim> all_claims() const;
  void restore(const std::vector<wire::Claim>& claims);

 private:
  using Key = std::pair<std::string, std::string>;

  void store_claim(const Key& key, wire::Claim claim);

  ClaimLimits limits_;
  std::map<Key, wire::Claim> claims_;
  std::deque<std::pair<int64_t, Key>> claims_by_time_;
  std::deque<Key> stored_answers_;
  size_t stored_bytes_ = 0;
};

}  // namespace larchlever::ledger
