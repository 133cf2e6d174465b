#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace larchlever::node {

/// Opens those of the three standard descriptors that are closed, on the null device. To be called before anything else
/// is opened, which would take their numbers and get the log's lines.
void open_standard_descriptors();

/// Sets up log4cplus: to standard output, or appending to `file` when one is named. Level: debug, info, warn, error,
/// off. A reader of standard output that does not read never holds the process up: see LogOutput.
void configure_logging(const std::string& level, const std::string& file);

/// Sets the node that lines name whose writer passes none. To be called once, before the node starts.
void set_default_node(const std::string& node);

/// Writes lines that the reader of standard output did not take yet, as far as it does now.
void flush_log();

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// One line per change of state: `event` and its fields as key=value.
void log_event(std::string_view node, std::string_view event, LogFields fields);
void log_warning(std::string_view node, std::string_view event, LogFields fields);

/// The items of a field that lists several.
std::string join_items(const std::vector<std::string>& items);

}  // namespace larchlever::node
