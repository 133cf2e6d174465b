#include "node/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace larchlever::node {

bool LogOutput::is_writable() const {
  pollfd waiting{descriptor_, POLLOUT, 0};
  return ::poll(&waiting, 1, 0) == 1 && (waiting.revents & (POLLOUT | POLLERR)) != 0;
}

void LogOutput::flush() {
  size_t written = 0;
  while (written < kept_.size() && is_writable()) {
    // A pipe that is ready takes this many bytes; more might wait for its reader.
    const size_t size = std::min<size_t>(kept_.size() - written, PIPE_BUF);
    const ssize_t count = ::write(descriptor_, kept_.data() + written, size);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      // The reader is gone, or the disk is full: the same bytes would fail again, so they make room for later lines.
      unreported_lines_ +=
          static_cast<uint64_t>(std::count(kept_.begin() + static_cast<ssize_t>(written), kept_.end(), '\n'));
      kept_.clear();
      return;
    }
    written += static_cast<size_t>(count);
  }
  kept_.erase(0, written);
}

void LogOutput::write(std::string_view line) {
  if (!kept_.empty()) {
    flush();
  }
  const std::string notice =
      unreported_lines_ == 0 ? "" : "event=log_lines_dropped count=" + std::to_string(unreported_lines_) + "\n";
  if (kept_.size() + notice.size() + line.size() > most_kept_) {
    ++dropped_lines_;
    ++unreported_lines_;
    return;
  }
  unreported_lines_ = 0;
  kept_ += notice;
  kept_ += line;
  flush();
}

}  // namespace larchlever::node
