// The part of RequestRelay that relays responses to callers.

#include <boost/asio.hpp>
#include <utility>

#include "core/base/http_status.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/request_relay.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

/// Pause of a stream after which another server is looked for, even if its group makes progress; callers disconnect
/// after two seconds.
constexpr Duration kMaxStreamGap = milliseconds(1600);
/// A response that may not be relayed before its end may use one part in this many of the response buffers, ...
constexpr size_t kHeldResponseDivisor = 4;
/// ... and this much even if they are used up.
constexpr size_t kSmallResponseBytes = 64U << 10U;

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_response(RelayedRequest& request,
                                                                           RelayAttempt& attempt) {
  const bool is_stream =
      request.route->route_type == document::RouteType::kStreaming && is_success(attempt.stream->head().status);
  if (is_stream) {
    co_return co_await relay_events(request, attempt);
  }
  co_return co_await relay_buffered(request, attempt);
}

asio::awaitable<std::string> RequestRelay::read_chunk(const RelayedRequest& request, RelayAttempt& attempt,
                                                      TimePoint waiting_since) {
  if (!attempt.unread.empty()) {
    co_return std::exchange(attempt.unread, "");
  }
  const TimePoint now = monotonic_now();
  if (now >= request.deadline) {
    co_return "";
  }
  attempt.begin_wait(waiting_since);
  std::string chunk = co_await attempt.stream->read_some(to_milliseconds(request.deadline - now));
  attempt.end_wait();
  co_return chunk;
}

size_t RequestRelay::max_held_bytes(bool has_room) const {
  return has_room ? std::max(kSmallResponseBytes, response_buffers_.limit_bytes() / kHeldResponseDivisor)
                  : kSmallResponseBytes;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_buffered(RelayedRequest& request,
                                                                           RelayAttempt& attempt) {
  net::ClientStream& stream = *attempt.stream;
  const auto& target = attempt.target;
  net::HttpResponse response = head_for_receiver(request, stream.head());
  // A response may be relayed before its end only if it is a success, carries the server's signature, and its end can
  // be told from a truncation.
  const bool may_stream_early = is_success(response.status) && response.headers.contains(dialect_.signature_header) &&
                                !request.response_started && !stream.delimited_by_close();
  requests::BufferReservation buffer_share(response_buffers_);
  bool is_too_long = false;
  while (!is_too_long) {
    const std::string chunk = co_await read_chunk(request, attempt, monotonic_now());
    if (chunk.empty() || attempt.is_discarded) {
      break;
    }
    abandon_hedge(request, "the first server went on");
    response.body += chunk;
    const bool has_room = buffer_share.grow(chunk.size());
    if (!has_room && may_stream_early && !request.caller_disconnected) {
      co_return co_await relay_unbuffered(request, attempt, std::move(response.body), buffer_share);
    }
    is_too_long = !may_stream_early && !stream.complete() && response.body.size() > max_held_bytes(has_room);
  }
  if (request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    co_return DispatchResult::kAnswered;
  }
  if (attempt.is_discarded) {
    co_return DispatchResult::kMayHaveRun;
  }
  if (!stream.complete()) {
    note_broken_response(request, attempt, is_too_long ? "too long to be held" : stream.error());
    co_return DispatchResult::kMayHaveRun;
  }
  blocked_request_guard_.note_response(request);
  note_progress(target, monotonic_now());
  const bool unsigned_success = is_success(response.status) && !response.headers.contains(dialect_.signature_header);
  if (unsigned_success) {
    co_return DispatchResult::kMayHaveRun;
  }
  if (is_success(response.status)) {
    note_response_time(attempt, monotonic_now());
  }
  const bool may_be_repeated = response.status >= 500 && request.route->is_retry_safe() && !request.response_started;
  if (may_be_repeated && has_live_hedge(request)) {
    co_return DispatchResult::kServerError;  // The other server may still answer.
  }
  abandon_hedge(request, "the first server answered");
  const bool should_retry =
      may_be_repeated && request.possible_runs + 1 < request.route->max_attempts && may_retry(request, monotonic_now());
  if (should_retry) {
    co_return DispatchResult::kServerError;
  }
  if (request.response_started) {
    // The resume attempt was refused. The response already started cannot carry this one.
    co_return DispatchResult::kMayHaveRun;
  }
  const int status = response.status;
  if (!request.route->is_retry_safe() && http_status::promises_not_run(status)) {
    // The server did not say that the request did not run, so its caller must not be told so.
    log_event("", "promise_withheld",
              {{"request", request.id},
               {"target", target.key},
               {"instance", target.instance_id},
               {"status", std::to_string(status)}});
    co_return DispatchResult::kMayHaveRun;
  }
  if (is_success(status)) {
    note_served(request);
  } else {
    ++state_.counters.failed;
  }
  completion_.log_completion(request, status, "the server's response");
  co_await request.exchange->respond(std::move(response));
  co_return DispatchResult::kAnswered;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_unbuffered(
    RelayedRequest& request, RelayAttempt& attempt, std::string buffered_prefix,
    requests::BufferReservation& buffer_share) {
  net::ClientStream& stream = *attempt.stream;
  const auto& target = attempt.target;
  request.response_started = true;
  request.first_event_at = monotonic_now();
  const auto head = head_for_receiver(request, stream.head());
  bool is_open = co_await request.exchange->begin_stream(head);
  std::string chunk = std::move(buffered_prefix);
  while (is_open && !chunk.empty()) {
    is_open = co_await request.exchange->write_piece(chunk);
    note_progress(target, monotonic_now());
    chunk = std::string();
    buffer_share.release();
    if (is_open) {
      chunk = co_await read_chunk(request, attempt, monotonic_now());
    }
  }
  if (!is_open || request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    completion_.log_completion(request, 0, "the caller stopped reading the response");
    co_return DispatchResult::kAnswered;
  }
  if (!stream.complete()) {
    // The stream is left without its regular end, so the caller sees that it is truncated.
    ++state_.counters.failed;
    completion_.log_completion(request, 0, "the server's response was truncated");
    co_return DispatchResult::kAnswered;
  }
  blocked_request_guard_.note_response(request);
  note_served(request);
  completion_.log_completion(request, stream.head().status, "the server's response, unbuffered");
  co_await request.exchange->end_stream();
  co_return DispatchResult::kAnswered;
}

void RequestRelay::note_served(const RelayedRequest& request) {
  const TimePoint now = monotonic_now();
  ++state_.counters.served;
  state_.shutdown_admission.note_completed(now, request.route->name, now - request.received_at);
}

void RequestRelay::note_response_time(const RelayAttempt& attempt, TimePoint now) {
  if (!attempt.target.is_relay_peer) {
    state_.dispatcher.note_response_time(attempt.target, now - attempt.sent_at);
  }
}

void RequestRelay::note_progress(const fleet::DispatchTarget& target, TimePoint now) {
  if (target.is_relay_peer) {
    return;
  }
  state_.dispatcher.links().note_contact(now, target.server);
  state_.dispatcher.note_progress(now, target);
  blocked_request_guard_.note_target_progress(now, target);
}

void RequestRelay::note_chunk(RelayedRequest& request, RelayAttempt& attempt, TimePoint now) {
  const auto& target = attempt.target;
  abandon_hedge(request, "the first server went on");
  note_progress(target, now);
  if (!target.is_relay_peer && !attempt.load_mark.is_streaming) {
    state_.dispatcher.note_first_event(now, target, attempt.load_mark);
    note_response_time(attempt, now);
    if (target.expected_first_event_delay > Duration::zero() && !target.group.empty()) {
      state_.first_event_excess[request.model].add_sample(now,
                                                          now - attempt.sent_at - target.expected_first_event_delay);
    }
  }
  if (request.response_started) {
    request.longest_gap = std::max(request.longest_gap, now - request.last_chunk_at);
  }
  request.last_chunk_at = now;
}

void RequestRelay::note_broken_response(RelayedRequest& request, RelayAttempt& attempt, const std::string& reason) {
  const auto& target = attempt.target;
  const TimePoint now = monotonic_now();
  const auto& last_id = request.event_stream.last_id();
  const bool is_stream = request.route->route_type == document::RouteType::kStreaming;
  log_event("", is_stream ? "stream_broke_off" : "answer_broke_off",
            {{"request", request.id},
             {"fingerprint", to_string(request.fingerprint)},
             {"target", target.key},
             {"instance", target.instance_id},
             {"cancelled_by", attempt.cancellation->cause()},
             {"reason", reason},
             {"last_event", last_id ? std::to_string(*last_id) : "none"}});
  attempt.note_end();
  if (now >= request.deadline || target.is_relay_peer) {
    return;
  }
  if (is_stream) {
    in_flight_attempts_.note_failure(
        target, now,
        attempt.cancellation->cancelled() ? fleet::FailureEvidence::kSilence : fleet::FailureEvidence::kConnection);
  }
  blocked_request_guard_.note_lost_response(request, target);
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_events(RelayedRequest& request,
                                                                         RelayAttempt& attempt) {
  net::ClientStream& stream = *attempt.stream;
  const auto& target = attempt.target;
  request.is_resumed = request.event_stream.last_id().has_value() ||
                       request.exchange->request().headers.contains(dialect_.last_event_id_header);
  request.event_stream.restart();
  attempt.max_silence = kMaxStreamGap;
  // Bytes of an incomplete event are no progress of this stream.
  TimePoint waiting_since = monotonic_now();
  while (!request.event_stream.is_event_too_long()) {
    const std::string chunk = co_await read_chunk(request, attempt, waiting_since);
    if (request.caller_disconnected) {
      ++state_.counters.caller_disconnects;
      co_return DispatchResult::kAnswered;
    }
    if (attempt.is_discarded) {
      co_return DispatchResult::kMayHaveRun;  // Its successor goes on after the last event that was relayed.
    }
    if (chunk.empty()) {
      break;
    }
    const std::string events = request.event_stream.feed(chunk);
    if (!request.event_stream.has_completed_event()) {
      note_progress(target, monotonic_now());  // The server lives, though its event may never end.
      continue;
    }
    waiting_since = monotonic_now();
    note_chunk(request, attempt, waiting_since);
    if (events.empty()) {
      continue;
    }
    if (!request.response_started) {
      request.response_started = true;
      request.first_event_at = monotonic_now();
      const auto head = head_for_receiver(request, stream.head());
      if (!co_await request.exchange->begin_stream(head)) {
        co_return DispatchResult::kAnswered;
      }
    }
    if (!co_await request.exchange->write_piece(events)) {
      completion_.log_completion(request, 0, "the caller stopped reading the stream");
      co_return DispatchResult::kAnswered;
    }
    waiting_since = monotonic_now();
  }
  const bool is_complete =
      stream.complete() && request.event_stream.pending().empty() && !request.event_stream.has_gap();
  if (is_complete && request.response_started) {
    blocked_request_guard_.note_response(request);
    note_served(request);
    state_.answer_sizes.observe(monotonic_now(), request);
    completion_.log_completion(request, stream.head().status, "the whole stream");
    co_await request.exchange->end_stream();
    co_return DispatchResult::kAnswered;
  }
  note_broken_response(request, attempt,
                       request.event_stream.is_event_too_long() ? "an event does not end" : stream.error());
  ++state_.counters.resumed;
  co_return DispatchResult::kMayHaveRun;
}

}  // namespace larchlever::node
