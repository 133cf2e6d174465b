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
class BlockGate {
 public:
  BlockGate(boost::asio::any_io_executor executor, EntryState& state, SlotRequester& slots);

  /// Whether the request may be sent now; asks the leader where a trial is due.
  boost::asio::awaitable<bool> admit(RelayedRequest& request);
  /// What the caller of a request that may not be sent is told.
  Refusal refuse(const RelayedRequest& request);
  /// The answer of the request was lost at the target after it was sent there.
  void answer_lost(RelayedRequest& request, const fleet::DispatchTarget& target);
  /// A server ran the request and answered whole.
  void answered(const RelayedRequest& request);
  /// The target made progress with a request.
  void progressed(TimePoint now, const fleet::DispatchTarget& target) { lost_.note_progress(now, target.incarnation); }
  /// The incarnation has started again as another one.
  void started_again(const std::string& incarnation);

 private:
  /// Whether a request whose last answer was lost may go to another server.
  boost::asio::awaitable<bool> may_repeat(RelayedRequest& request);
  /// Looks at the target until it is known whether it ended.
  boost::asio::awaitable<void> watch(fleet::DispatchTarget target);
  void note_ended(const std::string& incarnation, const fleet::EndedServer& ended);

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  SlotRequester& slots_;
  fleet::LostAnswers lost_;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
