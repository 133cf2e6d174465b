#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "net/http_types.h"

namespace larchlever::net {

namespace {

constexpr std::string_view kBlanks = " \t";

std::string_view trimmed(std::string_view text) {
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

/// What the lines of a head say about its framing.
struct FramingFields {
  size_t hosts = 0;
  size_t lengths = 0;
  size_t codings = 0;
  bool unknown_coding = false;
};

void note_line(std::string_view line, FramingFields& fields) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const auto name = line.substr(0, colon);
  fields.hosts += equals_ignoring_case(name, "host") ? 1 : 0;
  fields.lengths += equals_ignoring_case(name, "content-length") ? 1 : 0;
  if (equals_ignoring_case(name, "transfer-encoding")) {
    ++fields.codings;
    fields.unknown_coding = fields.unknown_coding || !equals_ignoring_case(trimmed(line.substr(colon + 1)), "chunked");
  }
}

}  // namespace

std::optional<std::string> find_head_fault(std::string_view head) {
  const auto request_line = head.substr(0, head.find("\r\n"));
  const bool is_version_11 = request_line.ends_with("HTTP/1.1");
  FramingFields fields;
  size_t begin = request_line.size();
  while (begin < head.size()) {
    begin += 2;
    const auto line = head.substr(begin, head.find("\r\n", begin) - begin);
    if (!line.empty() && kBlanks.find(line.front()) != std::string_view::npos) {
      return "folded header line";
    }
    note_line(line, fields);
    begin += line.size();
  }
  if (fields.unknown_coding || fields.codings > 1) {
    return "unknown transfer coding";
  }
  if (fields.codings > 0 && fields.lengths > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (is_version_11 && fields.hosts != 1) {
    return "HTTP/1.1 needs exactly one Host";
  }
  return std::nullopt;
}

}  // namespace larchlever::net
