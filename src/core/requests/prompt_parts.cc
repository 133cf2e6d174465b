#include "core/requests/prompt_parts.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace larchlever::requests {

namespace {

constexpr char kItemSeparator = ',';
constexpr char kTokensSeparator = ':';
/// Longer IDs count as malformed.
constexpr size_t kMaxIdLength = 64;

std::string_view trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool is_hexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return std::isxdigit(static_cast<unsigned char>(character)) != 0; });
}

/// The ID of an item in lower case; empty if the item is malformed.
std::string parse_id(std::string_view item) {
  const auto id = trim(item.substr(0, item.find(kTokensSeparator)));
  if (id.size() > kMaxIdLength || !is_hexadecimal(id)) {
    return {};
  }
  std::string result(id);
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return result;
}

}  // namespace

std::vector<RequestFingerprint> fingerprint_shared_parts(const PromptPartScope& scope, std::string_view list) {
  std::vector<RequestFingerprint> result;
  const auto last_separator = list.rfind(kItemSeparator);
  if (last_separator == std::string_view::npos) {
    return result;
  }
  std::string_view rest = list.substr(0, last_separator);
  for (size_t count = 0; !rest.empty() && count < kMaxPromptParts; ++count) {
    const auto end = std::min(rest.find(kItemSeparator), rest.size());
    const std::string id = parse_id(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (id.empty()) {
      continue;
    }
    const auto fingerprint = compute_fingerprint({scope.caller, scope.service, "", "prompt part", id});
    if (std::find(result.begin(), result.end(), fingerprint) == result.end()) {
      result.push_back(fingerprint);
    }
  }
  return result;
}

}  // namespace larchlever::requests
