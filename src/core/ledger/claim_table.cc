#include "core/ledger/claim_table.h"

#include <algorithm>

namespace larchlever::ledger {

void ClaimTable::store_claim(const ClaimKey& key, wire::Claim claim) {
  claims_by_time_.emplace_back(claim.claimed_at_ms, key);
  claims_[key] = std::move(claim);
}

ClaimDecision ClaimTable::claim(const wire::Claim& request, int64_t now_ms) {
  ClaimDecision decision;
  if (request.claimed_at_ms != 0 && request.claimed_at_ms + limits_.window_ms <= now_ms) {
    decision.key_expired = true;
    return decision;
  }
  const ClaimKey key(request.tenant, request.key);
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    const wire::Claim& existing = found->second;
    const bool same_request = existing.entry == request.entry &&
                              existing.entry_incarnation == request.entry_incarnation &&
                              existing.nonce == request.nonce;
    const bool is_resend = same_request && existing.state == wire::ClaimState::IN_PROGRESS;
    const bool may_be_claimed_again = !same_request && existing.state == wire::ClaimState::NOT_RUN;
    if (is_resend) {
      decision.granted = true;
      return decision;
    }
    if (!may_be_claimed_again) {
      decision.existing_claim = existing;
      return decision;
    }
  }
  wire::Claim granted = request;
  granted.state = wire::ClaimState::IN_PROGRESS;
  granted.claimed_at_ms = now_ms;
  store_claim(key, std::move(granted));
  decision.granted = true;
  return decision;
}

void ClaimTable::resolve(const wire::ClaimResolution& resolution, int64_t now_ms) {
  const ClaimKey key(resolution.tenant, resolution.key);
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    if (resolution.state == wire::ClaimState::NOT_RUN) {
      wire::Claim tombstone;
      tombstone.tenant = resolution.tenant;
      tombstone.key = resolution.key;
      tombstone.entry = resolution.entry;
      tombstone.entry_incarnation = resolution.entry_incarnation;
      tombstone.nonce = resolution.nonce;
      tombstone.claimed_at_ms = now_ms;
      tombstone.state = wire::ClaimState::NOT_RUN;
      store_claim(key, std::move(tombstone));
    }
    return;
  }
  wire::Claim& claim = found->second;
  const bool is_holder = claim.entry == resolution.entry && claim.entry_incarnation == resolution.entry_incarnation &&
                         claim.nonce == resolution.nonce;
  // An entry that was wrongly considered lost may still resolve its claims that were marked UNKNOWN.
  const bool is_unresolved = claim.state == wire::ClaimState::IN_PROGRESS || claim.state == wire::ClaimState::UNKNOWN;
  if (!is_holder || !is_unresolved) {
    return;
  }
  claim.state = resolution.state;
  claim.answer_status = resolution.answer_status;
  if (resolution.state == wire::ClaimState::RAN && resolution.answer_body.size() <= limits_.max_answer_bytes &&
      !resolution.answer_content_type.empty()) {
    claim.answer_body = resolution.answer_body;
    claim.answer_content_type = resolution.answer_content_type;
    stored_bytes_ += claim.answer_body.size();
    stored_answers_.push_back(key);
  }
}

void ClaimTable::mark_outcomes_unknown(const std::string& entry, Incarnation incarnation) {
  for (auto& [key, claim] : claims_) {
    if (claim.entry == entry && claim.entry_incarnation == incarnation.value() &&
        claim.state == wire::ClaimState::IN_PROGRESS) {
      claim.state = wire::ClaimState::UNKNOWN;
    }
  }
}

void ClaimTable::expire(int64_t now_ms) {
  while (!claims_by_time_.empty() && claims_by_time_.front().first + limits_.window_ms <= now_ms) {
    const auto found = claims_.find(claims_by_time_.front().second);
    if (found != claims_.end() && found->second.claimed_at_ms == claims_by_time_.front().first) {
      stored_bytes_ -= found->second.answer_body.size();
      claims_.erase(found);
    }
    claims_by_time_.pop_front();
  }
  while (stored_bytes_ > limits_.max_stored_answer_bytes && !stored_answers_.empty()) {
    const auto found = claims_.find(stored_answers_.front());
    if (found != claims_.end()) {
      stored_bytes_ -= found->second.answer_body.size();
      found->second.answer_body.clear();
      found->second.answer_content_type.clear();
    }
    stored_answers_.pop_front();
  }
}

const wire::Claim* ClaimTable::find(const std::string& tenant, const std::string& key) const {
  const auto found = claims_.find(ClaimKey(tenant, key));
  return found == claims_.end() ? nullptr : &found->second;
}

std::vector<wire::Claim> ClaimTable::all_claims() const {
  std::vector<wire::Claim> result;
  result.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) {
    result.push_back(claim);
  }
  return result;
}

void ClaimTable::restore(const std::vector<wire::Claim>& claims) {
  claims_.clear();
  claims_by_time_.clear();
  stored_answers_.clear();
  stored_bytes_ = 0;
  std::vector<wire::Claim> claims_by_time = claims;
  std::stable_sort(claims_by_time.begin(), claims_by_time.end(),
                   [](const auto& left, const auto& right) { return left.claimed_at_ms < right.claimed_at_ms; });
  for (auto& claim : claims_by_time) {
    const ClaimKey key(claim.tenant, claim.key);
    if (!claim.answer_body.empty()) {
      stored_bytes_ += claim.answer_body.size();
      stored_answers_.push_back(key);
    }
    store_claim(key, std::move(claim));
  }
}

}  // namespace larchlever::ledger
