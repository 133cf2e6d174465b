#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace larchlever::settings {

/// A parsed INI text: sections in order, each with its keys. Values are trimmed.
class IniDocument {
 public:
  struct Section {
    std::string name;
    std::map<std::string, std::string> values;
  };

  /// Parses `text`; faults (unreadable lines, duplicate keys) go to `errors`, each with its remedy.
  static IniDocument parse(const std::string& text, std::vector<std::string>& errors);

  const std::vector<Section>& sections() const { return sections_; }
  const Section* find(std::string_view name) const;

 private:
  std::vector<Section> sections_;
};

/// Reads typed values out of one section and collects every fault, so that all can be reported at once. Each message
/// names section, key, value and remedy.
class SectionReader {
 public:
  /// `section` may be null: then every value takes its default, and required ones are reported missing.
  SectionReader(std::string name, const IniDocument::Section* section, std::vector<std::string>& errors);

  std::string text(const std::string& key, const std::string& fallback);
  std::string required_text(const std::string& key);
  int64_t integer(const std::string& key, int64_t fallback, int64_t least, int64_t most);
  /// A number that may have a fraction, not below 0.
  double fraction(const std::string& key, double fallback);
  /// A time as NUMBERms or NUMBERs, for example 2500ms or 2.5s; above 0.
  std::chrono::microseconds duration(const std::string& key, std::chrono::microseconds fallback);
  /// IP:PORT with a literal IP address, in its canonical spelling; empty when absent and not required.
  std::string address(const std::string& key, bool required);
  std::vector<std::string> list(const std::string& key);
  std::string choice(const std::string& key, const std::string& fallback, const std::vector<std::string>& allowed);
  bool flag(const std::string& key, bool fallback);
  /// Reports keys that nobody asked for. Call last.
  void finish();
  void fault(const std::string& key, const std::string& value, const std::string& remedy);

 private:
  const std::string* find(const std::string& key);

  std::string name_;
  const IniDocument::Section* section_;
  std::vector<std::string>& errors_;
  std::set<std::string> known_;
};

/// True for IP:PORT with a literal IPv4 or bracketed IPv6 address and a port up to 65535.
bool is_ip_endpoint(std::string_view text);

/// The one spelling of an endpoint that `is_ip_endpoint` accepts, so that equal endpoints are equal texts.
std::string canonical_endpoint(std::string_view text);

/// Comma-separated items, trimmed; empty items are dropped.
std::vector<std::string> split_list(std::string_view text);

}  // namespace larchlever::settings
