#include "node/idempotency_guard.h"

namespace larchlever::node {

namespace asio = boost::asio;
using requests::Outcome;

asio::awaitable<bool> IdempotencyGuard::acquire_key(net::HttpExchange& exchange, KeyClaim& key_claim) {
  wire::Claim claim;
  claim.tenant = key_claim.tenant;
  claim.key = key_claim.key;
  claim.body_digest = key_claim.body_digest;
  claim.claimed_at_ms = key_claim.issued_at_ms;
  const TimePoint deadline = NodeRuntime::now() + runtime_.settings().requests.claim_timeout;
  const ClaimOutcome outcome = co_await runtime_.claim(std::move(claim), deadline);
  key_claim.nonce = outcome.request_id;
  if (outcome.granted) {
    ++stats_.claims_granted;
    co_return true;
  }
  ++stats_.claims_refused;
  if (!outcome.decided) {
    // The claim may still be committed later. Recording "not run" keeps it from blocking a later retry as a duplicate.
    record_outcome(key_claim, Outcome::kNotRun, 0, "", "");
  }
  co_await respond_not_granted(exchange, outcome, key_claim.body_digest);
  co_return false;
}

asio::awaitable<void> IdempotencyGuard::respond_not_granted(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                                            int64_t digest) {
  const auto& existing_claim = outcome.existing_claim;
  ProblemDetails problem;
  Outcome reported_outcome = Outcome::kUnknown;
  if (!outcome.decided) {
    problem = {503, "no quorum is available to check whether this key was used", "retry with the same key",
               kRetryAfterSeconds};
  } else if (outcome.key_expired) {
    problem = {410, "the key is older than the time for which keys are stored",
               "check whether the request ran before using a new key", 0};
  } else if (existing_claim.body_digest != digest) {
    reported_outcome = Outcome::kNotRun;
    problem = {422, "the key was used for a different request", "use a new key for a new request", 0};
  } else if (existing_claim.state == wire::ClaimState::RAN && !existing_claim.answer_content_type.empty()) {
    ++stats_.replayed_responses;
    net::HttpResponse response;
    response.status = existing_claim.answer_status;
    response.headers.add("Content-Type", existing_claim.answer_content_type);
    response.headers.add("Larchlever-Outcome", "ran");
    response.headers.add("Larchlever-Replayed", "true");
    response.body = existing_claim.answer_body;
    stats_.count_outcome(Outcome::kRan);
    co_await exchange.respond(std::move(response));
    co_return;
  } else if (existing_claim.state == wire::ClaimState::RAN) {
    reported_outcome = Outcome::kRan;
    problem = {409, "the request ran; its response is no longer stored", "do not retry", 0};
  } else if (existing_claim.state == wire::ClaimState::IN_PROGRESS) {
    problem = {409, "a request with this key is in progress", "retry later with the same key", kRetryAfterSeconds};
  } else {
    problem = {409, "a request with this key was started and its outcome is unknown",
               "check whether it ran before using a new key", 0};
  }
  stats_.count_outcome(reported_outcome);
  co_await send_problem(exchange, problem, reported_outcome);
}

void IdempotencyGuard::record_outcome(const KeyClaim& key_claim, Outcome outcome, int status, std::string body,
                                      std::string content_type) {
  wire::ClaimResolution resolution;
  resolution.tenant = key_claim.tenant;
  resolution.key = key_claim.key;
  resolution.nonce = key_claim.nonce;
  resolution.state = outcome == Outcome::kRan      ? wire::ClaimState::RAN
                     : outcome == Outcome::kNotRun ? wire::ClaimState::NOT_RUN
                                                   : wire::ClaimState::UNKNOWN;
  resolution.answer_status = status;
  resolution.answer_body = std::move(body);
  resolution.answer_content_type = std::move(content_type);
  runtime_.record_claim_outcome(std::move(resolution));
}

}  // namespace larchlever::node
