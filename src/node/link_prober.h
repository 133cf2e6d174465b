#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/fleet/server_links.h"
#include "net/http_client.h"
#include "node/dialect.h"
#include "node/entry_state.h"
#include "node/in_flight_attempts.h"

namespace larchlever::node {

/// Probes servers to which this entry has lost its links, with new connections, and acts on what is found: requests
/// that wait for a lost server are suspected, and a server is used again once it responds. Logs
/// the loss and the return of links. Runs on one executor; not thread-safe.
class LinkProber {
 public:
  /// `client` connects to servers from this entry's address.
  LinkProber(boost::asio::any_io_executor executor, const Dialect& dialect, EntryState& state, net::HttpClient& client,
             InFlightAttempts& in_flight_attempts);

  /// Call every tick.
  void tick(TimePoint now);

 private:
  boost::asio::awaitable<void> probe(fleet::LinkedServer server, std::string path);
  /// Path that the server at this address answers without running a request; empty if its service is unknown.
  std::string probe_path(const std::string& address) const;
  void apply_changes(TimePoint now);
  void log_changes(TimePoint now);

  boost::asio::any_io_executor executor_;
  const Dialect& dialect_;
  EntryState& state_;
  net::HttpClient& client_;
  InFlightAttempts& in_flight_attempts_;
  fleet::LinkSummary logged_summary_;
  /// When links were first lost in the current series of losses.
  std::optional<TimePoint> lossy_since_;
  std::shared_ptr<bool> alive_;
};

}  // namespace larchlever::node
