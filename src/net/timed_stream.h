#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace larchlever::net {

/// A TCP stream whose operations fail with `boost::beast::error::timeout` and close the socket when their deadline
/// passes. An operation times out only if the socket is not ready for it: after a pause of the process its timers fire
/// before its sockets are polled, and data that arrived during the pause must be read first. That holds for a moment
/// only: a peer that sends or reads without a pause does not extend the deadline. Runs on one executor, with one
/// operation at a time; not thread-safe. Models Asio's AsyncReadStream and AsyncWriteStream.
class TimedStream {
 public:
  using executor_type = boost::asio::any_io_executor;
  using ErrorCode = boost::system::error_code;

  explicit TimedStream(const executor_type& executor);
  explicit TimedStream(boost::asio::ip::tcp::socket socket);
  /// Closes the socket.
  ~TimedStream();
  TimedStream(const TimedStream&) = delete;
  TimedStream& operator=(const TimedStream&) = delete;

  executor_type get_executor() { return state_->socket.get_executor(); }
  boost::asio::ip::tcp::socket& socket() { return state_->socket; }

  /// Makes connections originate from this local IP address. Call before `async_connect`.
  void bind_to(const boost::asio::ip::address& local_address);
  /// Sets one deadline for all operations that follow, until the next call.
  void expires_after(std::chrono::milliseconds timeout);
  void expires_never();
  /// Makes the pending operation fail with `operation_aborted`.
  void cancel();
  void close();

  template <typename MutableBuffers, typename CompletionToken>
  auto async_read_some(const MutableBuffers& buffers, CompletionToken&& token) {
    return boost::asio::async_compose<CompletionToken, void(ErrorCode, size_t)>(
        TransferOperation<Direction::kRead, MutableBuffers>{state_, buffers}, token, state_->socket);
  }

  template <typename ConstBuffers, typename CompletionToken>
  auto async_write_some(const ConstBuffers& buffers, CompletionToken&& token) {
    return boost::asio::async_compose<CompletionToken, void(ErrorCode, size_t)>(
        TransferOperation<Direction::kWrite, ConstBuffers>{state_, buffers}, token, state_->socket);
  }

  template <typename CompletionToken>
  auto async_connect(const boost::asio::ip::tcp::endpoint& endpoint, CompletionToken&& token) {
    return boost::asio::async_compose<CompletionToken, void(ErrorCode)>(ConnectOperation{state_, endpoint}, token,
                                                                        state_->socket);
  }

 private:
  enum class Direction { kRead, kWrite };

  /// Shared with pending operations and timers, which may outlive the stream.
  struct State : std::enable_shared_from_this<State> {
    explicit State(boost::asio::ip::tcp::socket given_socket);

    void begin_operation(Direction direction);
    /// Returns the result of the operation: a timeout if its deadline closed the socket, otherwise `error`.
    ErrorCode end_operation(ErrorCode error);
    void close();

    boost::asio::ip::tcp::socket socket;
    std::optional<std::chrono::steady_clock::time_point> deadline;
    /// Set when the deadline has passed and the socket may be ready. Operations may still complete until this time.
    std::optional<std::chrono::steady_clock::time_point> grace_end;

   private:
    void start_timer(Direction direction, std::chrono::steady_clock::time_point expiry);
    void on_timer(Direction direction);
    /// Returns true if the deadline has passed and so has the time that is granted to a ready socket after it.
    bool has_expired(std::chrono::steady_clock::time_point now);
    /// Makes the current operation fail with a timeout.
    void expire();
    bool is_ready(Direction direction);

    boost::asio::steady_timer timer_;
    /// Identifies the current operation, so that timers of earlier operations are ignored.
    uint64_t operation_number_ = 0;
    bool timed_out_ = false;
  };

  template <Direction direction, typename Buffers>
  struct TransferOperation {
    std::shared_ptr<State> state;
    Buffers buffers;
    bool started = false;

    template <typename Self>
    void operator()(Self& self, ErrorCode error = {}, size_t count = 0) {
      if (started) {
        self.complete(state->end_operation(error), count);
        return;
      }
      started = true;
      state->begin_operation(direction);
      auto& socket = state->socket;
      if constexpr (direction == Direction::kRead) {
        socket.async_read_some(buffers, std::move(self));
      } else {
        socket.async_write_some(buffers, std::move(self));
      }
    }
  };

  struct ConnectOperation {
    std::shared_ptr<State> state;
    boost::asio::ip::tcp::endpoint endpoint;
    bool started = false;

    template <typename Self>
    void operator()(Self& self, ErrorCode error = {}) {
      if (started) {
        self.complete(state->end_operation(error));
        return;
      }
      started = true;
      state->begin_operation(Direction::kWrite);
      auto& socket = state->socket;
      const auto target = endpoint;
      socket.async_connect(target, std::move(self));
    }
  };

  std::shared_ptr<State> state_;
};

}  // namespace larchlever::net
