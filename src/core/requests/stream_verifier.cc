#include "core/requests/stream_verifier.h"

#include <charconv>
#include <utility>

namespace larchlever::requests {

namespace {

constexpr size_t kMaxEventBytes = 1U << 20U;
constexpr std::string_view kTerminalData = "[DONE]";

/// Value of the first line that starts with `field`; empty if there is none.
std::string_view field_value(std::string_view event, std::string_view field) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (line.starts_with(field)) {
      std::string_view value = line.substr(field.size());
      if (value.starts_with(' ')) {
        value.remove_prefix(1);
      }
      return value;
    }
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
  }
  return {};
}

}  // namespace

std::string_view event_data(std::string_view event) { return field_value(event, "data:"); }

StreamVerifier::StreamVerifier(std::string request_id, int64_t first_offset)
    : expected_prefix_(std::move(request_id) + ":"), next_offset_(first_offset) {}

bool StreamVerifier::verify_event(std::string_view event) {
  if (event_data(event) == kTerminalData) {
    status_ = StreamStatus::kDone;
    return true;
  }
  const std::string_view id = field_value(event, "id:");
  if (id.empty()) {
    status_ = StreamStatus::kMalformed;
    return false;
  }
  if (!id.starts_with(expected_prefix_)) {
    status_ = StreamStatus::kWrongRequest;
    return false;
  }
  const std::string_view digits = id.substr(expected_prefix_.size());
  int64_t offset = -1;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), offset);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    status_ = StreamStatus::kMalformed;
    return false;
  }
  if (offset != next_offset_) {
    status_ = StreamStatus::kOutOfOrder;
    return false;
  }
  ++next_offset_;
  return true;
}

std::string StreamVerifier::feed(std::string_view bytes) {
  if (status_ != StreamStatus::kOpen) {
    return {};
  }
  pending_.append(bytes);
  size_t verified_bytes = 0;
  while (status_ == StreamStatus::kOpen) {
    const size_t end = pending_.find("\n\n", verified_bytes);
    if (end == std::string::npos) {
      break;
    }
    if (!verify_event(std::string_view(pending_).substr(verified_bytes, end - verified_bytes))) {
      break;
    }
    verified_bytes = end + 2;
  }
  std::string events = pending_.substr(0, verified_bytes);
  pending_.erase(0, verified_bytes);
  if (status_ == StreamStatus::kOpen && pending_.size() > kMaxEventBytes) {
    status_ = StreamStatus::kMalformed;
  }
  if (status_ == StreamStatus::kDone && !pending_.empty()) {
    pending_.clear();  // Drops anything after the terminal event.
  }
  return events;
}

}  // namespace larchlever::requests
