#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/document/route_table.h"
#include "core/fleet/dispatcher.h"
#include "core/requests/event_stream.h"
#include "core/requests/request_fingerprint.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace larchlever::node {

/// A caller's request on its way: identified, and then sent until it is answered.
struct RelayedRequest {
  net::HttpExchange* exchange = nullptr;
  std::shared_ptr<const document::RouteTable> routes;
  const document::Route* route = nullptr;
  const document::TenantSpec* tenant = nullptr;  ///< Null on public routes.
  const document::ServiceSpec* service = nullptr;
  std::string id;
  /// The same for every copy of this request, whoever takes it.
  requests::RequestFingerprint fingerprint;
  std::string model;
  /// Zones of the home regions of its route and tenant; nothing when it may run anywhere.
  std::optional<std::set<std::string>> allowed_zones;
  double prompt_tokens = 0;
  TimePoint received_at{};
  /// It was held until this entry had a lease on the configuration, longer than a target may be waited for.
  bool was_held_for_lease = false;
  /// When the search for its first target began.
  TimePoint admitted_at{};
  /// The final answer is due by then: the caller's deadline or the route's timeout.
  TimePoint deadline{};
  std::set<std::string> excluded_targets;
  /// Sendings, and those of them that a server may have begun to run.
  int attempts_sent = 0;
  int possible_runs = 0;
  /// No server is proved not to have run it: a promise that it did not run is no longer possible.
  bool may_have_run = false;
  bool caller_gone = false;
  /// The request is blocked, and the leader lets this entry send it once.
  bool is_trial = false;
  /// The sending under way, and the load that it puts on its target.
  std::shared_ptr<net::Cancellation> cancellation;
  fleet::SendingMark load_mark;
  /// The leader granted the sending a slot of its target.
  bool has_slot = false;
  TimePoint sent_at{};
  std::string last_target;
  /// The incarnation of the server that the last sending was meant for.
  std::string last_incarnation;
  /// The incarnation of the server at which the last answer was lost, until the request is sent again.
  std::string lost_response_incarnation;
  int target_load = 0;
  /// When the leader that granted the slot expected the first event, counted from the sending; zero when the entry
  /// chose the target itself.
  Duration expected_first_event_delay{};
  requests::EventStream event_stream;
  bool response_started = false;
  /// When the first event or the whole answer arrived.
  TimePoint first_event_at{};
  /// Longest pause between two pieces of the stream that was passed on.
  Duration longest_gap{};
  TimePoint last_chunk_at{};
};

/// The zones that bind the request, or null.
inline const std::set<std::string>* home_zones(const RelayedRequest& request) {
  return request.allowed_zones ? &*request.allowed_zones : nullptr;
}

/// Times to come back after that refused requests are told.
constexpr Duration kRetryAfterBusy = milliseconds(300);
constexpr Duration kRetryAfterUnavailable = milliseconds(500);

/// Why a request is refused, and when its caller should come back; zero for never.
struct Refusal {
  int status = 503;
  std::string title;
  Duration retry_after{};
};

}  // namespace larchlever::node
