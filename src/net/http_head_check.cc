#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "net/http_types.h"

namespace larchlever::net {

namespace {

constexpr std::string_view kWhitespace = " \t";

std::string_view trim_whitespace(std::string_view text) {
  const size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

/// Header fields of a request head that determine its framing.
struct FramingHeaders {
  size_t host_count = 0;
  size_t content_length_count = 0;
  size_t transfer_coding_count = 0;
  bool has_unknown_transfer_coding = false;
};

void record_header_line(std::string_view line, FramingHeaders& fields) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const auto name = line.substr(0, colon);
  fields.host_count += equals_ignoring_case(name, "host") ? 1 : 0;
  fields.content_length_count += equals_ignoring_case(name, "content-length") ? 1 : 0;
  if (equals_ignoring_case(name, "transfer-encoding")) {
    ++fields.transfer_coding_count;
    fields.has_unknown_transfer_coding =
        fields.has_unknown_transfer_coding || !equals_ignoring_case(trim_whitespace(line.substr(colon + 1)), "chunked");
  }
}

}  // namespace

std::optional<std::string> find_head_error(std::string_view head) {
  const auto request_line = head.substr(0, head.find("\r\n"));
  const bool is_version_11 = request_line.ends_with("HTTP/1.1");
  FramingHeaders fields;
  size_t begin = request_line.size();
  while (begin < head.size()) {
    begin += 2;
    const auto line = head.substr(begin, head.find("\r\n", begin) - begin);
    if (!line.empty() && kWhitespace.find(line.front()) != std::string_view::npos) {
      return "folded header line";
    }
    record_header_line(line, fields);
    begin += line.size();
  }
  if (fields.has_unknown_transfer_coding || fields.transfer_coding_count > 1) {
    return "unknown transfer coding";
  }
  if (fields.transfer_coding_count > 0 && fields.content_length_count > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (is_version_11 && fields.host_count != 1) {
    return "HTTP/1.1 needs exactly one Host";
  }
  return std::nullopt;
}

}  // namespace larchlever::net
