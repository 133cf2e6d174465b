#include "net/http_types.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace larchlever::net {

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view Headers::find(std::string_view name) const {
  for (const auto& [key, value] : list_) {
    if (equals_ignoring_case(key, name)) {
      return value;
    }
  }
  return {};
}

bool Headers::contains(std::string_view name) const {
  return std::any_of(list_.begin(), list_.end(),
                     [name](const auto& header) { return equals_ignoring_case(header.first, name); });
}

void Headers::set(const std::string& name, std::string value) {
  remove(name);
  add(name, std::move(value));
}

void Headers::remove(std::string_view name) {
  std::erase_if(list_, [name](const auto& header) { return equals_ignoring_case(header.first, name); });
}

bool is_hop_by_hop(std::string_view name, const Headers& headers) {
  static constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
      "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
      "trailer",    "upgrade",    "transfer-encoding",  "proxy-connection"};
  if (std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                  [name](auto known) { return equals_ignoring_case(name, known); })) {
    return true;
  }
  std::string_view remaining_tokens = headers.find("connection");
  while (!remaining_tokens.empty()) {
    const size_t comma = remaining_tokens.find(',');
    std::string_view token = remaining_tokens.substr(0, comma);
    while (!token.empty() && token.front() == ' ') {
      token.remove_prefix(1);
    }
    while (!token.empty() && token.back() == ' ') {
      token.remove_suffix(1);
    }
    if (equals_ignoring_case(token, name)) {
      return true;
    }
    remaining_tokens = comma == std::string_view::npos ? std::string_view() : remaining_tokens.substr(comma + 1);
  }
  return false;
}

std::pair<std::string, std::string> split_endpoint(std::string_view endpoint) {
  const size_t colon = endpoint.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || colon + 1 == endpoint.size()) {
    return {};
  }
  return {std::string(endpoint.substr(0, colon)), std::string(endpoint.substr(colon + 1))};
}

}  // namespace larchlever::net
