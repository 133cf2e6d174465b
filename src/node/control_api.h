#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/fleet/fleet_controller.h"
#include "net/http_server.h"

namespace larchlever::node {

/// HTTP interface for instances and operators: registration under /v1/instances, the configuration document under
/// /v1/configuration, zone evacuation under /v1/zones, the explanation of a placement under /v1/explain. Any control
/// replica accepts these calls; the leader answers them. Runs on one executor; not thread-safe.
class ControlApi : public net::HttpHandler {
 public:
  /// Passes a call to the controller and returns the call's id.
  using Submit = std::function<int64_t(wire::ControlCall, fleet::IsCallerWaiting)>;

  /// `recent_pause` returns for how long this process stood still just now; zero if it has run since then for long
  /// enough to have read all that had arrived.
  ControlApi(boost::asio::any_io_executor executor, Submit submit, std::function<Duration()> recent_pause);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// Delivers the controller's reply to a call.
  void complete(const wire::ControlCallReply& reply);

 private:
  struct PendingReply;

  /// Passes a call to the controller and waits for the reply; status 503 if there is none.
  boost::asio::awaitable<wire::ControlCallReply> submit_and_wait(net::HttpExchange& exchange, wire::ControlCall call);
  /// Handles a call that evacuates or restores a zone.
  boost::asio::awaitable<wire::ControlCallReply> change_zone(net::HttpExchange& exchange, wire::ControlCall call);

  boost::asio::any_io_executor executor_;
  Submit submit_;
  std::function<Duration()> recent_pause_;
  std::map<int64_t, std::shared_ptr<PendingReply>> pending_replies_;
};

}  // namespace larchlever::node
