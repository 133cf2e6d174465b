#include "net/http_head_check.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

#include "net/http_types.h"

namespace larchlever::net {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kLineEnd = "\r\n";
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
  bool has_folded_line = false;
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

bool begins_with_whitespace(std::string_view line) {
  return !line.empty() && kWhitespace.find(line.front()) != std::string_view::npos;
}

/// The status line is `HTTP/1.1 200 OK`; the parser checks its form.
bool has_defined_status(std::string_view status_line) {
  const size_t status_begin = status_line.find(' ') + 1;
  const char status_class = status_begin < status_line.size() ? status_line[status_begin] : '\0';
  return status_class >= '1' && status_class <= '5';
}

/// Records all header lines behind the first line of a head.
FramingHeaders record_header_lines(std::string_view head) {
  FramingHeaders fields;
  size_t begin = head.find(kLineEnd);
  while (begin < head.size()) {
    begin += kLineEnd.size();
    const auto line = head.substr(begin, head.find(kLineEnd, begin) - begin);
    fields.has_folded_line = fields.has_folded_line || begins_with_whitespace(line);
    record_header_line(line, fields);
    begin += line.size();
  }
  return fields;
}

}  // namespace

std::optional<std::string> find_head_error(std::string_view head) {
  const bool is_version_11 = head.substr(0, head.find(kLineEnd)).ends_with("HTTP/1.1");
  const FramingHeaders fields = record_header_lines(head);
  if (fields.has_folded_line) {
    return "folded header line";
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

boost::beast::error_code check_response_head(std::string_view head) {
  if (!has_defined_status(head.substr(0, head.find(kLineEnd)))) {
    return http::error::bad_status;
  }
  const FramingHeaders fields = record_header_lines(head);
  if (fields.has_folded_line) {
    return http::error::bad_field;
  }
  if (fields.has_unknown_transfer_coding || fields.transfer_coding_count > 1) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

}  // namespace larchlever::net
