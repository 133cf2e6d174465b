#include "node/link_prober.h"

#include <boost/asio.hpp>

#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

/// Time for connecting to a server and for its response, each: the same as a connection for a request may take.
constexpr auto kProbeTimeout = std::chrono::milliseconds(150);

}  // namespace

LinkProber::LinkProber(asio::any_io_executor executor, const Dialect& dialect, EntryState& state,
                       net::HttpClient& client, InFlightAttempts& in_flight_attempts)
    : executor_(std::move(executor)),
      dialect_(dialect),
      state_(state),
      client_(client),
      in_flight_attempts_(in_flight_attempts),
      alive_(std::make_shared<bool>(true)) {}

std::string LinkProber::probe_path(const std::string& address) const {
  const std::string service = state_.dispatcher.service_at(address);
  if (service.empty() || state_.routes == nullptr) {
    return "";
  }
  const auto& services = state_.routes->document().services;
  const auto found = services.find(service);
  if (found == services.end()) {
    return "";
  }
  return found->second.engine ? dialect_.engine_report_path : found->second.health_path;
}

void LinkProber::tick(TimePoint now) {
  auto& links = state_.dispatcher.links();
  links.tick(now);
  for (auto& server : links.take_due_probes(now)) {
    std::string path = probe_path(server.address);
    if (path.empty()) {
      links.forget_server(server.address);
      continue;
    }
    asio::co_spawn(executor_, probe(std::move(server), std::move(path)), asio::detached);
  }
  apply_changes(now);
  log_changes(now);
}

asio::awaitable<void> LinkProber::probe(fleet::LinkedServer server, std::string path) {
  const std::weak_ptr<bool> alive = alive_;
  net::HttpRequest request;
  request.target = std::move(path);
  net::OpenOptions options;
  options.timeout = kProbeTimeout;
  options.connect_timeout = kProbeTimeout;
  options.require_new_connection = true;
  auto opened = co_await client_.open(server.address, request, options);
  if (alive.expired()) {
    co_return;
  }
  const bool has_responded = opened.stream != nullptr;
  state_.dispatcher.links().note_probe(monotonic_now(), server, has_responded);
  if (has_responded) {
    co_await opened.stream->read_some(kProbeTimeout);  // A connection whose response was read whole is kept.
  }
}

void LinkProber::apply_changes(TimePoint now) {
  auto& links = state_.dispatcher.links();
  for (const auto& address : links.take_confirmed_losses()) {
    client_.close_idle_connections(address);
    in_flight_attempts_.suspect_at_lost_link(now, address);
  }
  for (const auto& address : links.take_regained()) {
    state_.dispatcher.forgive_failures(address);
  }
}

void LinkProber::log_changes(TimePoint now) {
  const auto summary = state_.dispatcher.links().summary();
  if (summary.empty()) {
    lossy_since_.reset();
  } else if (!lossy_since_) {
    lossy_since_ = now;
  }
  // A presumed loss that the first probes disprove is not worth a line.
  const bool is_unconfirmed = lossy_since_ && now - *lossy_since_ < kProbeTimeout;
  const bool is_change =
      summary.lost_scopes != logged_summary_.lost_scopes || summary.empty() != logged_summary_.empty();
  if (is_unconfirmed || !is_change) {
    return;
  }
  logged_summary_ = summary;
  const auto& counters = state_.counters;
  log_event("", summary.empty() ? "server_links_regained" : "server_links_lost",
            {{"zones", join_items(summary.lost_scopes)},
             {"servers", std::to_string(summary.lost_servers.size())},
             {"relayed_by_peers", std::to_string(counters.relayed_by_peers)},
             {"refused_by_peers", std::to_string(counters.refused_by_peers)},
             {"failed_at_peers", std::to_string(counters.failed_at_peers)},
             {"relayed_for_peers", std::to_string(counters.relayed_for_peers)}});
}

}  // namespace larchlever::node
