#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace larchlever::load {

/// What a proxy does to the connections that pass through it.
struct ProxyFaults {
  std::chrono::milliseconds delay{0};
  /// Bytes from the dialler, or to it, are swallowed: a one-way stop.
  bool drop_upstream = false;
  bool drop_downstream = false;
  /// New connections are refused.
  bool refuse_connections = false;
  /// The connection is reset once this many bytes went upstream.
  std::optional<uint64_t> reset_after_upstream_bytes;
  std::optional<uint64_t> reset_after_downstream_bytes;
  /// Bytes per second each way; zero for no limit.
  uint64_t max_bytes_per_second = 0;
  /// Every connection is made to the upstream twice; the second one carries nothing.
  bool duplicate_connect = false;
};

struct ProxyStats {
  uint64_t connections = 0;
  uint64_t resets = 0;
  uint64_t bytes_upstream = 0;
  uint64_t bytes_downstream = 0;
  uint64_t bytes_dropped = 0;
};

/// A small TCP proxy on loopback that provokes faults between two processes. One executor; not thread-safe.
class FaultProxy {
 public:
  explicit FaultProxy(boost::asio::any_io_executor executor);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Listens on a free loopback port. The upstream may be set later; until then connections are refused.
  std::string listen();
  void set_upstream(const std::string& endpoint);
  void set_faults(const ProxyFaults& faults);
  /// Resets every open connection.
  void reset_all();
  const ProxyStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::load
