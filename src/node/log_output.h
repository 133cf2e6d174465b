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
  /// `descriptor` stays the caller's. `most_kept` bytes of lines wait at the most.
  LogOutput(int descriptor, size_t most_kept) : descriptor_(descriptor), most_kept_(most_kept) {}

  /// `line` ends with a line feed.
  void write(std::string_view line);
  /// Writes what waits, as far as the reader takes it.
  void flush();
  size_t kept_bytes() const { return kept_.size(); }
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  /// The next bytes go out without waiting.
  bool is_writable() const;

  int descriptor_;
  size_t most_kept_;
  std::string kept_;
  uint64_t dropped_lines_ = 0;
  uint64_t unreported_lines_ = 0;
};

}  // namespace larchlever::node
