#include "core/ledger/claim_table.h"

#include <algorithm>

namespace larchlever::ledger {

void ClaimTable::remember(const Key& key, wire::Claim claim) {
  by_age_.emplace_back(claim.claimed_at_ms, key);
  claims_[key] = std::move(claim);
}

ClaimDecision ClaimTable::claim(const wire::Claim& request, int64_t now_ms) {
  ClaimDecision decision;
  if (request.claimed_at_ms != 0 && request.claimed_at_ms + limits_.window_ms <= now_ms) {
    decision.expired_key = true;
    return decision;
  }
  const Key key(request.tenant, request.key);
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    const wire::Claim& standing = found->second;
    const bool same_request = standing.entry == request.entry &&
                              standing.entry_incarnation == request.entry_incarnation &&
                              standing.nonce == request.nonce;
    const bool repeated = same_request && standing.state == wire::ClaimState::IN_PROGRESS;
    const bool free_again = !same_request && standing.state == wire::ClaimState::NOT_RUN;
    if (repeated) {
      decision.granted = true;
      return decision;
    }
    if (!free_again) {
      decision.standing = standing;
      return decision;
    }
  }
  wire::Claim granted = request;
  granted.state = wire::ClaimState::IN_PROGRESS;
  granted.claimed_at_ms = now_ms;
  remember(key, std::move(granted));
  decision.granted = true;
  return decision;
}

void ClaimTable::resolve(const wire::ClaimResolution& resolution, int64_t now_ms) {
  const Key key(resolution.tenant, resolution.key);
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    if (resolution.state == wire::ClaimState::NOT_RUN) {
      wire::Claim barred;
      barred.tenant = resolution.tenant;
      barred.key = resolution.key;
      barred.entry = resolution.entry;
      barred.entry_incarnation = resolution.entry_incarnation;
      barred.nonce = resolution.nonce;
      barred.claimed_at_ms = now_ms;
      barred.state = wire::ClaimState::NOT_RUN;
      remember(key, std::move(barred));
    }
    return;
  }
  wire::Claim& claim = found->second;
  const bool holder = claim.entry == resolution.entry && claim.entry_incarnation == resolution.entry_incarnation &&
                      claim.nonce == resolution.nonce;
  // An UNKNOWN set because the entry seemed lost may still be settled by that entry itself.
  const bool open = claim.state == wire::ClaimState::IN_PROGRESS || claim.state == wire::ClaimState::UNKNOWN;
  if (!holder || !open) {
    return;
  }
  claim.state = resolution.state;
  claim.answer_status = resolution.answer_status;
  if (resolution.state == wire::ClaimState::RAN && resolution.answer_body.size() <= limits_.largest_answer &&
      !resolution.answer_content_type.empty()) {
    claim.answer_body = resolution.answer_body;
    claim.answer_content_type = resolution.answer_content_type;
    stored_bytes_ += claim.answer_body.size();
    stored_answers_.push_back(key);
  }
}

void ClaimTable::end_incarnation(const std::string& entry, Incarnation incarnation) {
  for (auto& [key, claim] : claims_) {
    if (claim.entry == entry && claim.entry_incarnation == incarnation.value() &&
        claim.state == wire::ClaimState::IN_PROGRESS) {
      claim.state = wire::ClaimState::UNKNOWN;
    }
  }
}

void ClaimTable::expire(int64_t now_ms) {
  while (!by_age_.empty() && by_age_.front().first + limits_.window_ms <= now_ms) {
    const auto found = claims_.find(by_age_.front().second);
    if (found != claims_.end() && found->second.claimed_at_ms == by_age_.front().first) {
      stored_bytes_ -= found->second.answer_body.size();
      claims_.erase(found);
    }
    by_age_.pop_front();
  }
  while (stored_bytes_ > limits_.stored_answer_bytes && !stored_answers_.empty()) {
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
  const auto found = claims_.find(Key(tenant, key));
  return found == claims_.end() ? nullptr : &found->second;
}

std::vector<wire::Claim> ClaimTable::dump() const {
  std::vector<wire::Claim> result;
  result.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) {
    result.push_back(claim);
  }
  return result;
}

void ClaimTable::restore(const std::vector<wire::Claim>& claims) {
  claims_.clear();
  by_age_.clear();
  stored_answers_.clear();
  stored_bytes_ = 0;
  std::vector<wire::Claim> sorted = claims;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& left, const auto& right) { return left.claimed_at_ms < right.claimed_at_ms; });
  for (auto& claim : sorted) {
    const Key key(claim.tenant, claim.key);
    if (!claim.answer_body.empty()) {
      stored_bytes_ += claim.answer_body.size();
      stored_answers_.push_back(key);
    }
    remember(key, std::move(claim));
  }
}

}  // namespace larchlever::ledger
