#include "net/timed_stream.h"

#include <poll.h>

#include <algorithm>
#include <boost/beast/core/error.hpp>

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::steady_clock;

namespace {

/// An operation whose socket is ready at its deadline gets this much more time to complete.
constexpr auto kReadyGracePeriod = std::chrono::milliseconds(200);
/// Interval at which a socket that was ready at its deadline is checked again. Its operation completes in the next
/// poll.
constexpr auto kReadyRecheckInterval = std::chrono::milliseconds(1);

}  // namespace

TimedStream::State::State(asio::ip::tcp::socket given_socket)
    : socket(std::move(given_socket)), timer_(socket.get_executor()) {}

void TimedStream::State::begin_operation(Direction direction) {
  timed_out_ = false;
  if (!deadline) {
    return;
  }
  // The timer alone would not end a series of operations that each complete at once, before it fires.
  if (has_expired(steady_clock::now())) {
    expire();
    return;
  }
  start_timer(direction, *deadline);
}

bool TimedStream::State::has_expired(steady_clock::time_point now) {
  if (!deadline || now < *deadline) {
    return false;
  }
  grace_end = grace_end.value_or(now + kReadyGracePeriod);
  return now >= *grace_end;
}

void TimedStream::State::expire() {
  timed_out_ = true;
  close();
}

TimedStream::ErrorCode TimedStream::State::end_operation(ErrorCode error) {
  ++operation_number_;
  timer_.cancel();
  return timed_out_ ? ErrorCode(beast::error::timeout) : error;
}

void TimedStream::State::close() {
  ErrorCode ignored;
  socket.close(ignored);
}

void TimedStream::State::start_timer(Direction direction, steady_clock::time_point expiry) {
  timer_.expires_at(expiry);
  timer_.async_wait([weak = weak_from_this(), direction, operation = operation_number_](ErrorCode error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && self->operation_number_ == operation) {
      self->on_timer(direction);
    }
  });
}

void TimedStream::State::on_timer(Direction direction) {
  const auto now = steady_clock::now();
  if (is_ready(direction) && !has_expired(now)) {
    start_timer(direction, now + kReadyRecheckInterval);
    return;
  }
  expire();
}

bool TimedStream::State::is_ready(Direction direction) {
  pollfd descriptor{socket.native_handle(), static_cast<int16_t>(direction == Direction::kRead ? POLLIN : POLLOUT), 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

TimedStream::TimedStream(const executor_type& executor) : TimedStream(asio::ip::tcp::socket(executor)) {}

TimedStream::TimedStream(asio::ip::tcp::socket socket) : state_(std::make_shared<State>(std::move(socket))) {}

TimedStream::~TimedStream() { state_->close(); }

void TimedStream::bind_to(const asio::ip::address& local_address) {
  const asio::ip::tcp::endpoint local(local_address, 0);
  ErrorCode ignored;  // A socket that could not be bound fails in `async_connect`.
  state_->socket.open(local.protocol(), ignored);
  state_->socket.bind(local, ignored);
}

void TimedStream::expires_after(std::chrono::milliseconds timeout) {
  state_->deadline = steady_clock::now() + timeout;
  state_->grace_end.reset();
}

void TimedStream::expires_never() {
  state_->deadline.reset();
  state_->grace_end.reset();
}

void TimedStream::cancel() {
  ErrorCode ignored;
  state_->socket.cancel(ignored);
}

void TimedStream::close() { state_->close(); }

}  // namespace larchlever::net
