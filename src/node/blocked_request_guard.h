#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "core/fleet/lost_answers.h"
#include "node/entry_state.h"
#include "node/relayed_request.h"
#include "node/slot_requester.h"

namespace larchlever::node {

/// Keeps requests from servers that would end under them: it finds out which servers ended while they ran a request,
/// and lets no request pass that is blocked for it (`fleet::BlockedRequests`).
///
/// An answer that breaks off does not prove that its server ended; `fleet::LostAnswers` weighs what is seen of the
/// server afterwards, and this class looks. One executor; not thread-safe.
class BlockedRequestGuard {
 public:
  BlockedRequestGuard(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slot_requester);

  /// Whether the request may be sent now; asks the leader where a trial is due.
  boost::asio::awaitable<bool> admit(RelayedRequest& request);
  /// What the caller of a request that may not be sent is told.
  Refusal make_refusal(const RelayedRequest& request);
  /// The answer of the request was lost at the target after it was sent there.
  void note_lost_response(RelayedRequest& request, const fleet::Target& target);
  /// A server ran the request and answered whole.
  void note_response(const RelayedRequest& request);
  /// The target made progress with a request.
  void note_target_progress(TimePoint now, const fleet::Target& target) {
    lost_responses_.note_progress(now, target.incarnation);
  }
  /// The incarnation has started again as another one.
  void note_server_restarted(const std::string& incarnation);

 private:
  /// Whether a request whose last answer was lost may go to another server.
  boost::asio::awaitable<bool> may_retry_after_loss(RelayedRequest& request);
  /// Looks at the target until it is known whether it ended.
  boost::asio::awaitable<void> probe_until_resolved(fleet::Target target);
  void record_ended_server(const std::string& incarnation, const fleet::EndedServer& ended);

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slot_requester_;
  fleet::LostAnswers lost_responses_;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
