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
  const Section* find_section(std::string_view name) const;

 private:
  std::vector<Section> sections_;
};

/// Reads typed values out of one section and collects every fault, so that all can be reported at once. Each message
/// names section, key, value and remedy.
class SectionReader {
 public:
  /// `section` may be null: then every value takes its default, and required ones are reported missing.
  SectionReader(std::string name, const IniDocument::Section* section, std::vector<std::string>& errors);

  std::string read_string(const std::string& key, const std::string& default_value);
  std::string read_required_string(const std::string& key);
  int64_t read_integer(const std::string& key, int64_t default_value, int64_t minimum, int64_t maximum);
  /// A number that may have a fraction, not below 0.
  double read_non_negative_number(const std::string& key, double default_value);
  /// A time as NUMBERms or NUMBERs, for example 2500ms or 2.5s; above 0.
  std::chrono::microseconds read_duration(const std::string& key, std::chrono::microseconds default_value);
  /// IP:PORT with a literal IP address, in its canonical spelling; empty when absent and not required.
  std::string read_address(const std::string& key, bool required);
  std::vector<std::string> read_list(const std::string& key);
  std::string read_choice(const std::string& key, const std::string& default_value,
                          const std::vector<std::string>& allowed);
  bool read_flag(const std::string& key, bool default_value);
  /// Reports keys that nobody asked for. Call last.
  void report_unknown_keys();
  void add_error(const std::string& key, const std::string& value, const std::string& remedy);

 private:
  const std::string* find_value(const std::string& key);

  std::string name_;
  const IniDocument::Section* section_;
  std::vector<std::string>& errors_;
  std::set<std::string> recognized_keys_;
};

/// True for IP:PORT with a literal IPv4 or bracketed IPv6 address and a port up to 65535.
bool is_ip_endpoint(std::string_view text);

/// The one spelling of an endpoint that `is_ip_endpoint` accepts, so that equal endpoints are equal texts.
std::string canonical_endpoint(std::string_view text);

/// Comma-separated items, trimmed; empty items are dropped.
std::vector<std::string> split_list(std::string_view text);

}  // namespace larchlever::settings
