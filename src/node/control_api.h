#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/fleet/fleet_controller.h"
#include "net/http_server.h"

namespace larchlever::node {

/// The calls of instances and operators: registration under /v1/instances, the configuration document under
/// /v1/configuration. Any control replica takes them; the leader answers. One executor; not thread-safe.
class ControlApi : public net::HttpHandler {
 public:
  /// `submit` hands a call to the controller and returns its id.
  ControlApi(boost::asio::any_io_executor executor, std::function<int64_t(wire::ControlCall)> submit);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// The controller answered a call.
  void complete(const wire::ControlCallReply& reply);

 private:
  struct PendingReply;

  boost::asio::any_io_executor executor_;
  std::function<int64_t(wire::ControlCall)> submit_;
  std::map<int64_t, std::shared_ptr<PendingReply>> pending_replies_;
};

}  // namespace larchlever::node
