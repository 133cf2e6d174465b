#pragma once

#include <chrono>
#include <string>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"

namespace larchlever::integration {

/// What the caller of one streaming request got.
struct StreamResult {
  std::string entry;
  std::string id;
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::time_point ended_at;
  /// 0 without a complete response.
  int status = 0;
  /// The response told the caller to open another connection.
  bool announces_close = false;
  bool is_whole = false;
  std::string description;

  bool is_refused() const { return http_status::promises_not_run(status); }
};

/// A streaming request and the number of events of a whole response.
struct StreamCall {
  std::string host;
  std::string model;
  std::string id;
  int events = 0;
  std::chrono::milliseconds deadline{};
};

/// Sends the request through the entry, on the connection that `client` has kept if there is one.
inline StreamResult send_stream(const FleetNodeProcesses& fleet, BlockingClient& client, const std::string& entry,
                                const StreamCall& call) {
  constexpr auto kDeadlineMargin = std::chrono::seconds(2);
  StreamResult result;
  result.entry = entry;
  result.id = call.id;
  result.sent_at = std::chrono::steady_clock::now();
  const auto request = make_stream_request(call.host, call.model, call.id, call.deadline);
  const auto fetched = client.fetch(fleet.caller_endpoint(entry), request, call.deadline + kDeadlineMargin);
  result.ended_at = std::chrono::steady_clock::now();
  if (!fetched.response) {
    result.description = fetched.error;
    return result;
  }
  result.status = fetched.response->status;
  result.announces_close = fetched.response->headers.find("Connection") == "close";
  result.is_whole = result.status == http_status::kOk && fetched.response->body == make_stream_body(call.events);
  result.description = std::to_string(result.status) + " " + fetched.response->body;
  return result;
}

}  // namespace larchlever::integration
