#include "node/claim_gate.h"

namespace larchlever::node {

namespace asio = boost::asio;
using requests::Outcome;

asio::awaitable<bool> ClaimGate::take(net::HttpExchange& exchange, Ticket& ticket) {
  wire::Claim claim;
  claim.tenant = ticket.tenant;
  claim.key = ticket.key;
  claim.body_digest = ticket.body_digest;
  claim.claimed_at_ms = ticket.issued_at_ms;
  const TimePoint deadline = NodeRuntime::now() + runtime_.settings().requests.claim_timeout;
  const ClaimOutcome outcome = co_await runtime_.claim(std::move(claim), deadline);
  ticket.nonce = outcome.request_id;
  if (outcome.granted) {
    ++stats_.claims_granted;
    co_return true;
  }
  ++stats_.claims_refused;
  if (!outcome.decided) {
    // The claim may still be committed later; this bars it, so that a later resend is not taken for a double.
    resolve(ticket, Outcome::kNotRun, 0, "", "");
  }
  co_await answer_standing(exchange, outcome, ticket.body_digest);
  co_return false;
}

asio::awaitable<void> ClaimGate::answer_standing(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                                 int64_t digest) {
  const auto& standing = outcome.existing_claim;
  Problem problem;
  Outcome told = Outcome::kUnknown;
  if (!outcome.decided) {
    problem = {503, "no quorum could be asked whether this key was used", "send the request again with the same key",
               kRetryAfterSeconds};
  } else if (outcome.key_expired) {
    problem = {410, "the key was issued before the window in which keys are remembered",
               "find out whether the request ran; then use a new key", 0};
  } else if (standing.body_digest != digest) {
    told = Outcome::kNotRun;
    problem = {422, "the key was used for another request", "use a new key for a new request", 0};
  } else if (standing.state == wire::ClaimState::RAN && !standing.answer_content_type.empty()) {
    ++stats_.answers_replayed;
    net::HttpResponse response;
    response.status = standing.answer_status;
    response.headers.add("Content-Type", standing.answer_content_type);
    response.headers.add("Larchlever-Outcome", "ran");
    response.headers.add("Larchlever-Replayed", "true");
    response.body = standing.answer_body;
    stats_.count(Outcome::kRan);
    co_await exchange.respond(std::move(response));
    co_return;
  } else if (standing.state == wire::ClaimState::RAN) {
    told = Outcome::kRan;
    problem = {409, "the request ran; its answer is no longer held", "do not send it again", 0};
  } else if (standing.state == wire::ClaimState::IN_PROGRESS) {
    problem = {409, "a request with this key is in progress", "ask again with the same key", kRetryAfterSeconds};
  } else {
    problem = {409, "a request with this key was started and its outcome is not known",
               "find out whether it ran before using a new key", 0};
  }
  stats_.count(told);
  co_await send_problem(exchange, problem, told);
}

void ClaimGate::resolve(const Ticket& ticket, Outcome outcome, int status, std::string body, std::string content_type) {
  wire::ClaimResolution resolution;
  resolution.tenant = ticket.tenant;
  resolution.key = ticket.key;
  resolution.nonce = ticket.nonce;
  resolution.state = outcome == Outcome::kRan      ? wire::ClaimState::RAN
                     : outcome == Outcome::kNotRun ? wire::ClaimState::NOT_RUN
                                                   : wire::ClaimState::UNKNOWN;
  resolution.answer_status = status;
  resolution.answer_body = std::move(body);
  resolution.answer_content_type = std::move(content_type);
  runtime_.resolve(std::move(resolution));
}

}  // namespace larchlever::node
