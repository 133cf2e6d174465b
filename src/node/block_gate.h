#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/entry_state.h"
#include "node/relayed_request.h"
#include "node/slot_requester.h"

namespace larchlever::node {

/// Keeps requests from servers that would end under them: it finds out which servers ended while they ran a request,
/// and lets no request pass that is blocked for it (`fleet::BlockedRequests`).
///
/// An answer that breaks off does not prove that its server ended: connections are reset, and heads cut streams when a
/// member is lost. Only a server that then refuses connections counts. One executor; not thread-safe.
class BlockGate {
 public:
  BlockGate(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slots);

  /// Whether the request may be sent now; asks the leader where a trial is due.
  boost::asio::awaitable<bool> admit(RelayedRequest& request);
  /// What the caller of a request that may not be sent is told.
  Refusal refuse(const RelayedRequest& request);
  /// The answer of the request was lost at the target after it was sent there.
  void answer_lost(const RelayedRequest& request, const fleet::Target& target);
  /// A server ran the request and answered whole.
  void answered(const RelayedRequest& request);

 private:
  /// Finds out whether the instance ended, for all whose answers were lost there in this moment.
  boost::asio::awaitable<void> probe(fleet::Target target);

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slots_;
  /// By instance: requests whose answers were lost there, while it is probed.
  std::map<std::string, std::vector<requests::RequestFingerprint>> lost_at_;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
