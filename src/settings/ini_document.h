#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace larchlever::settings {

/// A parsed INI file: its sections in order of first appearance, with trimmed values.
class IniDocument {
 public:
  struct Section {
    std::string name;
    std::map<std::string, std::string> values;
  };

  /// Parses `text`. Syntax errors and duplicate keys are added to `errors`, each with a hint how to correct it.
  static IniDocument parse(const std::string& text, std::vector<std::string>& errors);

  const std::vector<Section>& sections() const { return sections_; }
  /// Returns null if there is no such section.
  const Section* find_section(std::string_view name) const;

 private:
  std::vector<Section> sections_;
};

/// Reads typed values from one section and collects all errors, so that they can be reported together. Each message
/// contains section, key, value and how to correct it.
class SectionReader {
 public:
  /// If `section` is null, every key counts as absent: defaults apply, and required keys are reported as missing.
  SectionReader(std::string name, const IniDocument::Section* section, std::vector<std::string>& errors);

  std::string read_string(const std::string& key, const std::string& default_value);
  std::string read_required_string(const std::string& key);
  int64_t read_integer(const std::string& key, int64_t default_value, int64_t minimum, int64_t maximum);
  /// Reads a decimal number that must not be below 0.
  double read_non_negative_number(const std::string& key, double default_value);
  /// Reads a positive duration in milliseconds or seconds, for example 2500ms or 2.5s.
  std::chrono::microseconds read_duration(const std::string& key, std::chrono::microseconds default_value);
  /// Reads IP:PORT with a literal IP address and returns its canonical form. Returns an empty string if the key is
  /// absent.
  std::string read_address(const std::string& key, bool required);
  std::vector<std::string> read_list(const std::string& key);
  std::string read_choice(const std::string& key, const std::string& default_value,
                          const std::vector<std::string>& allowed);
  bool read_flag(const std::string& key, bool default_value);
  /// Reports each key of the section that no read method was called for. Call it after all reads.
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

/// Returns the canonical form of a valid endpoint, so that equal endpoints compare equal as strings. Other texts are
/// returned unchanged.
std::string canonical_endpoint(std::string_view text);

/// Splits comma-separated items, trims them and drops empty ones.
std::vector<std::string> split_list(std::string_view text);

}  // namespace larchlever::settings
