#include "node/request_completion.h"

#include <boost/asio.hpp>
#include <cmath>

#include "core/base/http_status.h"
#include "core/requests/retry_after.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/outcome_header.h"

namespace larchlever::node {

namespace asio = boost::asio;
using std::chrono::duration_cast;

namespace {

int64_t milliseconds_between(TimePoint from, TimePoint to) {
  return duration_cast<std::chrono::milliseconds>(to - from).count();
}

bool is_success(int status) { return status >= 200 && status < 300; }

std::string join_fingerprints(const std::vector<requests::RequestFingerprint>& fingerprints) {
  std::vector<std::string> texts;
  for (const auto fingerprint : fingerprints) {
    texts.push_back(to_string(fingerprint));
  }
  return join_items(texts);
}

}  // namespace

void RequestCompletion::log_completion(const RelayedRequest& request, int status, const std::string& reason,
                                       Duration retry_after) const {
  const auto elapsed_ms = milliseconds_between(request.received_at, monotonic_now());
  const auto first_event_ms =
      request.response_started ? milliseconds_between(request.received_at, request.first_event_at) : elapsed_ms;
  log_event(
      "", "request_ended",
      {{"request", request.id},
       {"fingerprint", to_string(request.fingerprint)},
       {"route", request.route == nullptr ? "" : request.route->name},
       {"model", request.model},
       {"prompt_parts", is_success(status) ? "" : join_fingerprints(request.prompt_parts)},
       {"aim_ms", request.route == nullptr ? "" : std::to_string(request.route->target_latency / milliseconds(1))},
       {"aim_pause_ms",
        request.route == nullptr ? "" : std::to_string(request.route->target_event_gap / milliseconds(1))},
       {"status", std::to_string(status)},
       {"held_ms", std::to_string(elapsed_ms)},
       {"first_ms", std::to_string(first_event_ms)},
       {"pause_ms", std::to_string(request.longest_gap / milliseconds(1))},
       {"target", request.last_target},
       {"instance", request.last_incarnation},
       {"load", std::to_string(request.target_load)},
       {"expected_ms", std::to_string(request.expected_first_event_delay / milliseconds(1))},
       {"sent", std::to_string(request.attempts_sent)},
       {"predicted_tokens",
        request.predicted_answer ? std::to_string(std::llround(request.predicted_answer->mean)) : ""},
       {"answer_tokens", request.answer_tokens ? std::to_string(*request.answer_tokens) : ""},
       {"runs", std::to_string(request.possible_runs)},
       {"ended_attempts", join_items(request.ended_attempts)},
       {"ruled_out", std::to_string(request.ruled_out_targets)},
       {"relay_peer", request.relay_peer},
       {"relayed_for", request.relayed_for},
       {"retry_after_ms", retry_after > Duration::zero() ? std::to_string(retry_after / milliseconds(1)) : ""},
       {"reason", reason}});
}

asio::awaitable<void> RequestCompletion::send_refusal(RelayedRequest& request, Refusal refusal) {
  net::HttpResponse response;
  response.status = refusal.status;
  response.headers.add("Content-Type", "application/problem+json");
  const auto outcome = outcome_for_caller(request.exchange->request(), requests::Outcome::kNotRun);
  response.headers.add("Larchlever-Outcome", std::string(requests::to_string(outcome)));
  if (refusal.retry_after > Duration::zero()) {
    response.headers.add("Retry-After", requests::format_retry_after(refusal.retry_after));
  }
  if (!request.relayed_for.empty()) {
    set_relay_result(response.headers, refusal.relay_result, request.last_target);
  }
  response.body = "{\"status\":" + std::to_string(refusal.status) + ",\"title\":\"" + refusal.title + "\"}";
  const bool is_retryable =
      refusal.status == http_status::kServiceUnavailable || refusal.status == http_status::kTooManyRequests;
  state_.counters.refused_retryable += is_retryable ? 1 : 0;
  state_.counters.refused_permanently += is_retryable ? 0 : 1;
  log_completion(request, refusal.status, refusal.title, refusal.retry_after);
  co_await request.exchange->respond(std::move(response));
}

asio::awaitable<void> RequestCompletion::send_failure(RelayedRequest& request) {
  if (request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    co_return;
  }
  if (request.response_started) {
    ++state_.counters.failed;
    log_completion(request, 0, "the stream could not be continued; cut");
    co_return;  // The connection is closed early, so the caller sees that the response is truncated.
  }
  const TimePoint now = monotonic_now();
  if (!request.may_have_run) {
    Refusal refusal{http_status::kServiceUnavailable, "no server took the request", kRetryAfterBusy,
                    request.attempts_sent > 0 ? RelayResult::kNotRun : RelayResult::kNotSent};
    co_await send_refusal(request, std::move(refusal));
    co_return;
  }
  net::HttpResponse response;
  response.status = now >= request.deadline ? http_status::kGatewayTimeout : http_status::kBadGateway;
  response.headers.add("Content-Type", "application/problem+json");
  response.headers.add("Larchlever-Outcome", "unknown");
  if (!request.relayed_for.empty()) {
    set_relay_result(response.headers, RelayResult::kLost, request.last_target);
  }
  response.body = "{\"status\":" + std::to_string(response.status) + ",\"title\":\"the answer was lost\"}";
  ++state_.counters.failed;
  log_completion(request, response.status, "the answer was lost");
  co_await request.exchange->respond(std::move(response));
}

}  // namespace larchlever::node
