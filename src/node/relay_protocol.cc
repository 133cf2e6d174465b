#include "node/relay_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

namespace larchlever::node {

namespace {

constexpr const char* kSenderHeader = "Larchlever-Relay-Sender";
constexpr const char* kDocumentHeader = "Larchlever-Relay-Document";
constexpr const char* kExcludedHeader = "Larchlever-Relay-Excluded";
constexpr const char* kResultHeader = "Larchlever-Relay-Result";
constexpr const char* kTargetHeader = "Larchlever-Relay-Target";
constexpr std::array kRelayHeaders = {kSenderHeader, kDocumentHeader, kExcludedHeader, kResultHeader, kTargetHeader};

constexpr std::array<std::pair<RelayResult, std::string_view>, 5> kResultNames = {{
    {RelayResult::kServed, "served"},
    {RelayResult::kRefused, "refused"},
    {RelayResult::kNotSent, "not-sent"},
    {RelayResult::kNotRun, "not-run"},
    {RelayResult::kLost, "lost"},
}};

constexpr size_t kMaxSenderLength = 64;
/// More targets than any request is sent to.
constexpr size_t kMaxExcludedTargets = 32;
constexpr size_t kMaxTargetLength = 256;

/// Returns the value if the header occurs exactly once.
std::optional<std::string_view> single_value(const net::Headers& headers, const char* name) {
  std::optional<std::string_view> value;
  for (const auto& [header, text] : headers.all()) {
    if (net::equals_ignoring_case(header, name)) {
      if (value) {
        return std::nullopt;
      }
      value = text;
    }
  }
  return value;
}

std::optional<int64_t> parse_version(std::string_view text) {
  int64_t version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  const bool is_whole = error == std::errc() && end == text.data() + text.size();
  return is_whole && version >= 0 ? std::optional(version) : std::nullopt;
}

bool parse_targets(std::string_view text, std::set<std::string>& targets) {
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const auto target = text.substr(0, comma);
    if (target.empty() || target.size() > kMaxTargetLength || targets.size() == kMaxExcludedTargets) {
      return false;
    }
    targets.emplace(target);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return true;
}

}  // namespace

void add_relay_instructions(net::Headers& headers, const RelayInstructions& instructions) {
  headers.set(kSenderHeader, instructions.sender);
  headers.set(kDocumentHeader, std::to_string(instructions.document_version));
  std::string targets;
  for (const auto& target : instructions.excluded_targets) {
    targets += (targets.empty() ? "" : ",") + target;
  }
  if (!targets.empty()) {
    headers.set(kExcludedHeader, targets);
  }
}

std::optional<RelayInstructions> parse_relay_instructions(const net::Headers& headers, std::string& error) {
  RelayInstructions instructions;
  const auto sender = single_value(headers, kSenderHeader);
  if (!sender || sender->size() > kMaxSenderLength || net::split_endpoint(*sender).first.empty()) {
    error = "the relay sender must be given once, as IP:PORT";
    return std::nullopt;
  }
  instructions.sender = std::string(*sender);
  const auto version = single_value(headers, kDocumentHeader);
  const auto document_version = version ? parse_version(*version) : std::nullopt;
  if (!document_version) {
    error = "the relay document version must be given once, as a whole number";
    return std::nullopt;
  }
  instructions.document_version = *document_version;
  const auto targets = single_value(headers, kExcludedHeader);
  if (headers.contains(kExcludedHeader) && (!targets || !parse_targets(*targets, instructions.excluded_targets))) {
    error = "the relay exclusions must be one list of a few targets";
    return std::nullopt;
  }
  return instructions;
}

void set_relay_result(net::Headers& headers, RelayResult result, const std::string& target) {
  const auto* name = std::find_if(kResultNames.begin(), kResultNames.end(),
                                  [result](const auto& item) { return item.first == result; });
  headers.set(kResultHeader, std::string(name->second));
  if (!target.empty()) {
    headers.set(kTargetHeader, target);
  }
}

std::string find_relay_target(const net::Headers& headers) {
  const auto target = single_value(headers, kTargetHeader);
  return target && target->size() <= kMaxTargetLength ? std::string(*target) : std::string();
}

std::optional<RelayResult> find_relay_result(const net::Headers& headers) {
  const auto value = single_value(headers, kResultHeader);
  if (!value) {
    return std::nullopt;
  }
  const auto* name = std::find_if(kResultNames.begin(), kResultNames.end(),
                                  [&value](const auto& item) { return item.second == *value; });
  return name == kResultNames.end() ? std::nullopt : std::optional(name->first);
}

void remove_relay_headers(net::Headers& headers) {
  for (const char* name : kRelayHeaders) {
    headers.remove(name);
  }
}

}  // namespace larchlever::node
