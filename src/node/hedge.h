#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string_view>

#include "node/relay_attempt.h"

namespace larchlever::node {

/// A second attempt of a request, made while the target of its main attempt is silent.
///
/// The main attempt goes on until the second one has delivered the first bytes of its response. If the main attempt
/// makes progress before that, the second one is abandoned. So a silence never ends a response: either the server goes
/// on, or another one has already taken over.
struct Hedge {
  explicit Hedge(const boost::asio::any_io_executor& executor)
      : done_signal(executor, boost::asio::steady_timer::time_point::max()) {}

  void abandon(std::string_view cause) {
    is_abandoned = true;
    successor.reset();
    if (attempt != nullptr) {
      attempt->discard(cause);
    }
    done_signal.cancel();
  }
  /// It may still deliver a successor.
  bool is_live() const { return !is_abandoned && (!is_done || successor != nullptr); }
  /// An attempt may have reached a server, and what became of it is not known yet.
  bool is_sending() const { return !is_done && attempt != nullptr; }
  void finish() {
    is_done = true;
    done_signal.cancel();
  }

  /// Its result is not needed any more.
  bool is_abandoned = false;
  bool is_done = false;
  /// The attempt being sent; null if there is none.
  RelayAttempt* attempt = nullptr;
  /// The attempt that takes over the response; null if there is none.
  std::unique_ptr<RelayAttempt> successor;
  /// Cancelled once the hedge is done or abandoned.
  boost::asio::steady_timer done_signal;
};

}  // namespace larchlever::node
