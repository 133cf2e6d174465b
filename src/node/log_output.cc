#include "node/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace larchlever::node {

bool LogOutput::is_writable() const {
  pollfd poll_request{descriptor_, POLLOUT, 0};
  return ::poll(&poll_request, 1, 0) == 1 && (poll_request.revents & (POLLOUT | POLLERR)) != 0;
}

void LogOutput::flush() {
  size_t written = 0;
  while (written < buffer_.size() && is_writable()) {
    // A writable pipe accepts this many bytes without blocking; a larger write might block.
    const size_t size = std::min<size_t>(buffer_.size() - written, PIPE_BUF);
    const ssize_t count = ::write(descriptor_, buffer_.data() + written, size);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      // The reader is gone or the disk is full. Writing the same bytes again would fail too, so drop them.
      unreported_dropped_lines_ +=
          static_cast<uint64_t>(std::count(buffer_.begin() + static_cast<ssize_t>(written), buffer_.end(), '\n'));
      buffer_.clear();
      return;
    }
    written += static_cast<size_t>(count);
  }
  buffer_.erase(0, written);
}

void LogOutput::write(std::string_view line) {
  if (!buffer_.empty()) {
    flush();
  }
  const std::string notice = unreported_dropped_lines_ == 0
                                 ? ""
                                 : "event=log_lines_dropped count=" + std::to_string(unreported_dropped_lines_) + "\n";
  if (buffer_.size() + notice.size() + line.size() > max_buffered_bytes_) {
    ++dropped_lines_;
    ++unreported_dropped_lines_;
    return;
  }
  unreported_dropped_lines_ = 0;
  buffer_ += notice;
  buffer_ += line;
  flush();
}

}  // namespace larchlever::node
