#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/document/route_table.h"
#include "core/engine/answer_size_estimator.h"
#include "core/fleet/dispatcher.h"
#include "core/requests/event_stream.h"
#include "core/requests/request_fingerprint.h"
#include "net/http_server.h"
#include "node/hedge.h"
#include "node/relay_attempt.h"
#include "node/relay_protocol.h"

namespace larchlever::node {

/// A caller's request while it is being relayed: its route and tenant, and the state of its attempts.
struct RelayedRequest : std::enable_shared_from_this<RelayedRequest> {
  net::HttpExchange* exchange = nullptr;
  std::shared_ptr<const document::RouteTable> routes;
  const document::Route* route = nullptr;
  const document::TenantSpec* tenant = nullptr;  ///< Null on public routes.
  const document::ServiceSpec* service = nullptr;
  std::string id;
  /// Identical for all copies of this request, at every entry.
  requests::RequestFingerprint fingerprint;
  /// Parts of the prompt that other requests may share.
  std::vector<requests::RequestFingerprint> prompt_parts;
  std::string model;
  /// Zones in the home regions of the request's route and tenant; nothing if it may run anywhere.
  std::optional<std::set<std::string>> allowed_zones;
  double prompt_tokens = 0;
  engine::DeclaredAnswerSize declared_answer;
  /// Empty without learned costs, and for plain services.
  std::optional<engine::AnswerSizePrediction> predicted_answer;
  /// Tokens of the answer; set once a whole stream of an engine was relayed.
  std::optional<int64_t> answer_tokens;
  TimePoint received_at{};
  /// The request waited for this entry's configuration lease for longer than kLeaseWaitThreshold.
  bool was_held_for_lease = false;
  /// When the search for the first target began.
  TimePoint admitted_at{};
  /// Deadline of the final response: the caller's deadline or the route's timeout, whichever is earlier.
  TimePoint deadline{};
  /// Peer address of the entry that received the request from its caller, if that is not this one. That entry decides
  /// about retries.
  std::string relayed_for;
  /// Relay address of the peer that the last attempt was sent to; empty if it was sent to a server.
  std::string relay_peer;
  std::set<std::string> excluded_peers;
  /// Servers that this entry could not connect to.
  int failed_connections = 0;
  std::set<std::string> excluded_targets;
  /// Number of targets that the last search for a target ruled out: those above, and those that this entry avoids.
  size_t ruled_out_targets = 0;
  /// Target, result and status of each attempt that ended without a response for the caller, for the log.
  std::vector<std::string> ended_attempts;
  /// Attempts sent, and those that a server may have begun to run.
  int attempts_sent = 0;
  int possible_runs = 0;
  /// Set once some attempt is not proved not to have run; the outcome "not-run" can then no longer be reported.
  bool may_have_run = false;
  bool caller_disconnected = false;
  /// Blocked request or part for which the leader permits this entry one trial attempt.
  std::optional<requests::RequestFingerprint> trial_of;
  /// The request or part of its prompt because of which the request was not sent.
  std::optional<requests::RequestFingerprint> withheld_cause;
  /// The attempt whose response is relayed; null between attempts.
  RelayAttempt* main_attempt = nullptr;
  /// The search for a second target while the main attempt's is silent; null if there is none.
  std::shared_ptr<Hedge> hedge;
  /// The last attempt that became the main one, for the log.
  std::string last_target;
  /// Incarnation of the server that the last attempt was sent to.
  std::string last_incarnation;
  /// Incarnation of the server whose response was lost last; empty once the request may be sent again.
  std::string lost_response_incarnation;
  int target_load = 0;
  Duration expected_first_event_delay{};
  requests::EventStreamSplitter event_stream;
  /// The stream, or what the caller has of it, did not come from one attempt alone.
  bool is_resumed = false;
  bool response_started = false;
  /// When the first event or the complete response arrived.
  TimePoint first_event_at{};
  /// Longest time between two chunks of the relayed stream.
  Duration longest_gap{};
  TimePoint last_chunk_at{};
};

/// Returns the zones that the request is restricted to, or null.
inline const std::set<std::string>* home_zones(const RelayedRequest& request) {
  return request.allowed_zones ? &*request.allowed_zones : nullptr;
}

/// Values of Retry-After for refused requests.
constexpr Duration kRetryAfterBusy = milliseconds(300);
constexpr Duration kRetryAfterUnavailable = milliseconds(500);
/// Another node, or another server, serves the request at once.
constexpr Duration kRetryAfterElsewhere = milliseconds(10);

/// Why a request is refused, and when its caller may retry (Retry-After; zero for none).
struct Refusal {
  int status = 503;
  std::string title;
  Duration retry_after{};
  /// What the entry is told for which this one relays the request, if any.
  RelayResult relay_result = RelayResult::kRefused;
};

}  // namespace larchlever::node
