#include "settings/ini_document.h"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <utility>

namespace larchlever::settings {

namespace {

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

struct ParseState {
  std::vector<IniDocument::Section>* sections;
  std::vector<std::string>* errors;
};

IniDocument::Section& find_or_add_section(std::vector<IniDocument::Section>& sections, const std::string& name) {
  const auto found =
      std::find_if(sections.begin(), sections.end(), [&name](const auto& section) { return section.name == name; });
  if (found != sections.end()) {
    return *found;
  }
  sections.push_back({name, {}});
  return sections.back();
}

int add_ini_value(void* parse_state, const char* section, const char* name, const char* value) {
  auto& state = *static_cast<ParseState*>(parse_state);
  auto& target = find_or_add_section(*state.sections, section);
  if (!target.values.emplace(name, std::string(trim(value))).second) {
    state.errors->push_back("[" + target.name + "] " + name + ": duplicate key; keep only one of the lines");
  }
  return 1;
}

bool parse_integer(std::string_view text, int64_t& value) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace

IniDocument IniDocument::parse(const std::string& text, std::vector<std::string>& errors) {
  IniDocument document;
  ParseState state{&document.sections_, &errors};
  if (text.find('\0') != std::string::npos) {
    errors.emplace_back("the file contains a NUL byte; settings are plain text");
    return document;
  }
  const int line = ini_parse_string(text.c_str(), add_ini_value, &state);
  if (line > 0) {
    errors.push_back("line " + std::to_string(line) + ": neither '[section]' nor 'key = value'; correct the line");
  }
  return document;
}

const IniDocument::Section* IniDocument::find_section(std::string_view name) const {
  const auto found =
      std::find_if(sections_.begin(), sections_.end(), [name](const auto& section) { return section.name == name; });
  return found == sections_.end() ? nullptr : &*found;
}

SectionReader::SectionReader(std::string name, const IniDocument::Section* section, std::vector<std::string>& errors)
    : name_(std::move(name)), section_(section), errors_(errors) {}

const std::string* SectionReader::find_value(const std::string& key) {
  recognized_keys_.insert(key);
  if (section_ == nullptr) {
    return nullptr;
  }
  const auto found = section_->values.find(key);
  return found == section_->values.end() ? nullptr : &found->second;
}

void SectionReader::add_error(const std::string& key, const std::string& value, const std::string& remedy) {
  errors_.push_back("[" + name_ + "] " + key + " = '" + value + "': " + remedy);
}

std::string SectionReader::read_string(const std::string& key, const std::string& default_value) {
  const auto* value = find_value(key);
  return value == nullptr ? default_value : *value;
}

std::string SectionReader::read_required_string(const std::string& key) {
  const auto* value = find_value(key);
  if (value == nullptr || value->empty()) {
    add_error(key, "", "missing; add the line '" + key + " = ...'");
    return "";
  }
  return *value;
}

int64_t SectionReader::read_integer(const std::string& key, int64_t default_value, int64_t minimum, int64_t maximum) {
  const auto* value = find_value(key);
  if (value == nullptr) {
    return default_value;
  }
  int64_t number = 0;
  if (!parse_integer(*value, number)) {
    add_error(key, *value, "not a whole number; write digits only, the unit is in the key's name");
    return default_value;
  }
  if (number < minimum || number > maximum) {
    add_error(key, *value, "out of range; choose " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return default_value;
  }
  return number;
}

double SectionReader::read_non_negative_number(const std::string& key, double default_value) {
  const auto* value = find_value(key);
  if (value == nullptr) {
    return default_value;
  }
  char* end = nullptr;
  const double number = std::strtod(value->c_str(), &end);
  if (value->empty() || *end != '\0' || !(number >= 0)) {
    add_error(key, *value, "not a number of 0 or more; write for example 0.2");
    return default_value;
  }
  return number;
}

std::chrono::microseconds SectionReader::read_duration(const std::string& key,
                                                       std::chrono::microseconds default_value) {
  const auto* value = find_value(key);
  if (value == nullptr) {
    return default_value;
  }
  char* end = nullptr;
  const double number = std::strtod(value->c_str(), &end);
  const std::string_view unit = end;
  const bool valid = end != value->c_str() && (unit == "ms" || unit == "s") && number > 0;
  if (!valid) {
    add_error(key, *value, "not a time above 0; write a number with its unit, for example 2500ms or 2.5s");
    return default_value;
  }
  return std::chrono::microseconds(static_cast<int64_t>(number * (unit == "s" ? 1e6 : 1e3)));
}

std::string SectionReader::read_address(const std::string& key, bool required) {
  const auto* value = find_value(key);
  if (value == nullptr || value->empty()) {
    if (required) {
      add_error(key, "", "missing; add IP:PORT");
    }
    return "";
  }
  if (!is_ip_endpoint(*value)) {
    add_error(key, *value, "not an address; write IP:PORT with a literal IP, for example 10.0.0.1:7400");
    return *value;
  }
  return canonical_endpoint(*value);
}

std::vector<std::string> SectionReader::read_list(const std::string& key) {
  const auto* value = find_value(key);
  return value == nullptr ? std::vector<std::string>() : split_list(*value);
}

std::string SectionReader::read_choice(const std::string& key, const std::string& default_value,
                                       const std::vector<std::string>& allowed) {
  const auto* value = find_value(key);
  if (value == nullptr) {
    return default_value;
  }
  if (std::find(allowed.begin(), allowed.end(), *value) == allowed.end()) {
    std::string names;
    for (const auto& name : allowed) {
      names += (names.empty() ? "" : ", ") + name;
    }
    add_error(key, *value, "unknown choice; use one of " + names);
    return default_value;
  }
  return *value;
}

bool SectionReader::read_flag(const std::string& key, bool default_value) {
  const auto value = read_choice(key, default_value ? "yes" : "no", {"yes", "no", "true", "false"});
  return value == "yes" || value == "true";
}

void SectionReader::report_unknown_keys() {
  if (section_ == nullptr) {
    return;
  }
  for (const auto& [key, value] : section_->values) {
    if (!recognized_keys_.contains(key)) {
      add_error(key, value, "unknown key; remove it or correct its spelling");
    }
  }
}

namespace {

/// Splits IP:PORT into host and port, both in canonical form. Returns nothing if `text` is invalid.
std::optional<std::pair<std::string, int64_t>> parse_endpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  int64_t port = -1;
  if (colon == std::string_view::npos || !parse_integer(text.substr(colon + 1), port) || port < 0 || port > 65535) {
    return std::nullopt;
  }
  std::string host(text.substr(0, colon));
  const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  const int family = is_bracketed ? AF_INET6 : AF_INET;
  if (is_bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  in6_addr address{};
  char canonical_host[INET6_ADDRSTRLEN] = {};
  if (inet_pton(family, host.c_str(), &address) != 1 ||
      inet_ntop(family, &address, canonical_host, sizeof(canonical_host)) == nullptr) {
    return std::nullopt;
  }
  return std::pair(is_bracketed ? "[" + std::string(canonical_host) + "]" : std::string(canonical_host), port);
}

}  // namespace

bool is_ip_endpoint(std::string_view text) { return parse_endpoint(text).has_value(); }

std::string canonical_endpoint(std::string_view text) {
  const auto parsed = parse_endpoint(text);
  return parsed ? parsed->first + ":" + std::to_string(parsed->second) : std::string(text);
}

std::vector<std::string> split_list(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view item = trim(text.substr(0, comma));
    if (!item.empty()) {
      items.emplace_back(item);
    }
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return items;
}

}  // namespace larchlever::settings
