#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "settings/fleet_settings.h"

namespace larchlever::settings {
namespace {

/// Values of the platform's deployment fields by dotted name.
using PlatformFields = std::map<std::string, std::string>;

PlatformFields sample_platform_fields() {
  return {{"node_name", "core-1"},
          {"zone", "north"},
          {"ip", "10.0.0.1"},
          {"internal_ports.0", "7340"},
          {"internal_ports.1", "7355"},
          {"listen.control_plane", "10.0.0.1:8229"},
          {"listen.frontend", "10.0.0.1:8227"},
          {"listen.ready", "10.0.0.1:8220"},
          {"data_dir", "/data/control"},
          {"seeds", "10.0.0.1:8229,10.0.0.2:8229,10.0.0.3:8229"},
          {"bootstrap", "true"},
          {"fault_tolerance.machines", "2"},
          {"heartbeat_ms", "1200"},
          {"limits.memory_mb", "260"},
          {"limits.max_fds", "4100"},
          {"bounds.revoke_ms", "5000"},
          {"bounds.evacuate_ms", "5000"},
          {"bounds.stall_ms", "5000"},
          {"bounds.catch_up_s", "4"},
          {"bounds.ceiling_window_s", "5"},
          {"bounds.retry_window_s", "10"},
          {"bounds.retry_ratio", "0.2"},
          {"bounds.retry_slack", "136"},
          {"bounds.grace_s", "8"}};
}

std::string field_value(const PlatformFields& fields, const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

/// Replaces each `{{#name}} .. {{/name}}` section with its content if the field exists, else with nothing.
std::string expand_sections(std::string text, const PlatformFields& fields) {
  for (size_t start = text.find("{{#"); start != std::string::npos; start = text.find("{{#", start)) {
    const size_t name_end = text.find("}}", start);
    const std::string name = text.substr(start + 3, name_end - start - 3);
    const std::string closing = "{{/" + name + "}}";
    const size_t end = text.find(closing, name_end);
    EXPECT_NE(end, std::string::npos) << "section " << name << " is not closed";
    const std::string content = text.substr(name_end + 2, end - name_end - 2);
    text.replace(start, end + closing.size() - start, fields.contains(name) ? content : "");
  }
  return text;
}

/// Renders a settings template the way the platform does.
std::string render_template(const std::string& file, const PlatformFields& fields) {
  std::ifstream stream(std::string(LARCHLEVER_SOURCE_FOLDER) + "/platform/" + file);
  std::ostringstream content;
  content << stream.rdbuf();
  std::string text = expand_sections(content.str(), fields);
  for (size_t start = text.find("{{"); start != std::string::npos; start = text.find("{{", start)) {
    const size_t end = text.find("}}", start);
    text.replace(start, end + 2 - start, field_value(fields, text.substr(start + 2, end - start - 2)));
  }
  return text;
}

std::string settings_errors(const std::string& text) {
  std::vector<std::string> errors;
  parse_fleet_settings(text, errors);
  std::string all_errors;
  for (const auto& error : errors) {
    all_errors += error + "\n";
  }
  return all_errors;
}

/// True for fields without a default, which every node needs.
bool is_required_field(const std::string& field) {
  return !field.starts_with("bounds.") && !field.starts_with("limits.") && field != "heartbeat_ms" &&
         field != "fault_tolerance.machines" && field != "bootstrap";
}

// When a platform omitted an optional field, the rendered template contained a line like "stall = ms" in place of the
// default, and every process of the fleet exited with code 3 and the message
//   [bounds] stall = 'ms': not a time above 0; write a number with its unit, for example 2500ms or 2.5s
TEST(PlatformTemplates, FieldsWithDefaultsAreOptional) {
  for (const std::string file : {"control.ini", "entry.ini"}) {
    EXPECT_EQ(settings_errors(render_template(file, sample_platform_fields())), "") << file;
    for (const auto& [field, value] : sample_platform_fields()) {
      PlatformFields fields = sample_platform_fields();
      fields.erase(field);
      if (!is_required_field(field)) {
        EXPECT_EQ(settings_errors(render_template(file, fields)), "") << file << " without " << field;
      }
    }
  }
}

TEST(PlatformTemplates, ToleratedLossesDefaultToMinorityOfSeeds) {
  std::vector<std::string> errors;
  PlatformFields fields = sample_platform_fields();
  fields.erase("fault_tolerance.machines");
  const auto settings = parse_fleet_settings(render_template("control.ini", fields), errors);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->options.minimum_voters, 3U);
}

TEST(PlatformTemplates, GivenFieldsSetTheirSettings) {
  std::vector<std::string> errors;
  PlatformFields fields = sample_platform_fields();
  fields["bounds.revoke_ms"] = "6000";
  fields["bounds.evacuate_ms"] = "9000";
  fields["bounds.stall_ms"] = "7000";
  const auto settings = parse_fleet_settings(render_template("control.ini", fields), errors);
  ASSERT_TRUE(settings) << errors.front();
  EXPECT_EQ(settings->options.document_lease, milliseconds(5500));
  EXPECT_EQ(settings->options.stall_time, milliseconds(7000));
  EXPECT_EQ(settings->options.minimum_voters, 5U);
  EXPECT_EQ(settings->memory_bytes, 260U << 20U);
  EXPECT_EQ(settings->max_descriptors, 4100U);
  EXPECT_TRUE(settings->may_found_cluster());
}

TEST(PlatformTemplates, ShorterBoundDeterminesLease) {
  std::vector<std::string> errors;
  PlatformFields fields = sample_platform_fields();
  fields["bounds.evacuate_ms"] = "3000";
  const auto settings = parse_fleet_settings(render_template("entry.ini", fields), errors);
  ASSERT_TRUE(settings) << errors.front();
  EXPECT_EQ(settings->options.document_lease, milliseconds(2500));
}

}  // namespace
}  // namespace larchlever::settings
