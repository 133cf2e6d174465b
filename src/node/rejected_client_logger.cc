#include "node/rejected_client_logger.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

constexpr Duration kLogInterval = seconds(1);

/// Number of clients that were rejected or disconnected.
uint64_t count_rejected(const net::HttpServerStats& stats) {
  return stats.malformed_requests + stats.oversized_requests + stats.timed_out_requests + stats.overload_rejections +
         stats.refused_connections + stats.displaced_connections;
}

}  // namespace

void RejectedClientLogger::tick(TimePoint now, const net::HttpServerStats& stats) {
  if (now < next_log_ || count_rejected(stats) == count_rejected(logged_)) {
    return;
  }
  const auto since_last_line = [this, &stats](uint64_t net::HttpServerStats::*counter) {
    return std::to_string(stats.*counter - logged_.*counter);
  };
  log_warning(node_name_, "clients_rejected",
              {{"listener", listener_},
               {"malformed", since_last_line(&net::HttpServerStats::malformed_requests)},
               {"oversized", since_last_line(&net::HttpServerStats::oversized_requests)},
               {"timed_out", since_last_line(&net::HttpServerStats::timed_out_requests)},
               {"no_memory", since_last_line(&net::HttpServerStats::overload_rejections)},
               {"refused", since_last_line(&net::HttpServerStats::refused_connections)},
               {"displaced", since_last_line(&net::HttpServerStats::displaced_connections)},
               {"open", std::to_string(stats.open_connections)}});
  logged_ = stats;
  next_log_ = now + kLogInterval;
}

}  // namespace larchlever::node
