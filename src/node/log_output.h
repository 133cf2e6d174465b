#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace larchlever::node {

/// Writes whole lines to a file descriptor without blocking on its reader.
///
/// Lines that the reader does not take at once are buffered, up to a limit. Lines beyond the limit are dropped and
/// counted, and a line that reports their number follows once there is room again. The order of lines is kept. Buffered
/// lines are written by later calls. Not thread-safe.
class LogOutput {
 public:
  /// Does not take ownership of `descriptor`. Buffers at most `max_buffered_bytes`.
  LogOutput(int descriptor, size_t max_buffered_bytes)
      : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {}

  /// `line` must end with a line feed.
  void write(std::string_view line);
  /// Writes buffered lines as far as the reader takes them.
  void flush();
  size_t buffered_bytes() const { return buffer_.size(); }
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  /// Returns whether the descriptor accepts bytes without blocking.
  bool is_writable() const;

  int descriptor_;
  size_t max_buffered_bytes_;
  std::string buffer_;
  uint64_t dropped_lines_ = 0;
  uint64_t unreported_dropped_lines_ = 0;
};

}  // namespace larchlever::node
