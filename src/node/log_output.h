#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace larchlever::node {

/// Writes whole lines to a descriptor without ever waiting for its reader.
///
/// What the reader does not take at once is kept, up to a bound; lines beyond it are dropped, counted, and reported in
/// a line of their own once there is room again. Order is kept. Lines that wait go out with later calls. Not
/// thread-safe.
class LogOutput {
 public:
  /// `descriptor` stays the caller's. `max_buffered_bytes` bytes of lines wait at the most.
  LogOutput(int descriptor, size_t max_buffered_bytes)
      : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {}

  /// `line` ends with a line feed.
  void write(std::string_view line);
  /// Writes what waits, as far as the reader takes it.
  void flush();
  size_t buffered_bytes() const { return buffer_.size(); }
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  /// The next bytes go out without waiting.
  bool is_writable() const;

  int descriptor_;
  size_t max_buffered_bytes_;
  std::string buffer_;
  uint64_t dropped_lines_ = 0;
  uint64_t unreported_dropped_lines_ = 0;
};

}  // namespace larchlever::node
