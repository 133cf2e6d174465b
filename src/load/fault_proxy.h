#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace larchlever::load {

/// Faults that a proxy injects into its connections.
struct ProxyFaults {
  /// Added to each chunk of data, in both directions.
  std::chrono::milliseconds delay{0};
  /// Discards the data sent by the client (upstream) or to the client (downstream).
  bool drop_upstream = false;
  bool drop_downstream = false;
  /// Resets new connections at once.
  bool refuse_connections = false;
  /// Holds data of both directions and new connections until this fault is cleared, as a partition of the network does.
  bool hold = false;
  /// Resets the connection once this many bytes were sent in the given direction.
  std::optional<uint64_t> reset_after_upstream_bytes;
  std::optional<uint64_t> reset_after_downstream_bytes;
  /// Limit for each direction; zero for no limit.
  uint64_t max_bytes_per_second = 0;
  /// Opens a second, unused upstream connection for every client connection.
  bool duplicate_connect = false;
  /// Sent to the client when it sends a request on a connection that has carried a response before, ahead of the
  /// request's own response.
  std::string surplus_response;
};

struct ProxyStats {
  uint64_t connections = 0;
  uint64_t resets = 0;
  uint64_t bytes_upstream = 0;
  uint64_t bytes_downstream = 0;
  uint64_t bytes_dropped = 0;
  uint64_t surplus_responses = 0;
};

/// TCP proxy on loopback that injects network faults between two processes. Uses one executor; not thread-safe.
class FaultProxy {
 public:
  explicit FaultProxy(boost::asio::any_io_executor executor);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Listens on a free loopback port and returns its endpoint. Connections are reset until an upstream is set.
  std::string listen();
  void set_upstream(const std::string& endpoint);
  void set_faults(const ProxyFaults& faults);
  /// Sets faults for connections from the IP address `client`, in place of those of `set_faults`.
  void set_client_faults(const std::string& client, const ProxyFaults& faults);
  void clear_client_faults(const std::string& client);
  /// Resets every open connection.
  void reset_all();
  /// Resets every open connection from the IP address `client`.
  void reset_client(const std::string& client);
  const ProxyStats& stats() const;
  /// Number of connections, including those that were reset at once, from the IP address `client`.
  uint64_t connections_from(const std::string& client) const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::load
