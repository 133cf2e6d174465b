#include "core/requests/event_stream.h"

#include <algorithm>
#include <charconv>

namespace larchlever::requests {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

/// The id of an event; nothing if it has none or the id is not a number.
std::optional<int64_t> parse_event_id(std::string_view event) {
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    int64_t id = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    return error == std::errc() ? std::optional(id) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::string EventStreamSplitter::feed(std::string_view bytes) {
  has_completed_event_ = false;
  if (is_event_too_long()) {
    return "";
  }
  pending_.append(bytes);
  std::string complete_events;
  size_t begin = 0;
  for (size_t end = pending_.find(kEventEnd, searched_bytes_); end != std::string::npos;
       end = pending_.find(kEventEnd, begin)) {
    const auto event = std::string_view(pending_).substr(begin, end + kEventEnd.size() - begin);
    begin = end + kEventEnd.size();
    const auto id = parse_event_id(event);
    if (id && last_id_ && *id <= *last_id_) {
      continue;
    }
    if (id) {
      has_gap_ = has_gap_ || (last_id_ && *id != *last_id_ + 1);
      last_id_ = id;
      ++event_count_;
    }
    complete_events.append(event);
  }
  has_completed_event_ = begin > 0;
  pending_.erase(0, begin);
  // The end of the event may have arrived in part.
  searched_bytes_ = pending_.size() - std::min(pending_.size(), kEventEnd.size() - 1);
  return complete_events;
}

void EventStreamSplitter::restart() {
  pending_.clear();
  searched_bytes_ = 0;
}

}  // namespace larchlever::requests
