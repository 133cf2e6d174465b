#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace larchlever::node {

/// Opens any closed standard descriptor on /dev/null. Call before anything else is opened: otherwise another file could
/// get the number of standard output and receive the log.
void open_standard_descriptors();

/// Sets up log4cplus to write to standard output, or to append to `file` if one is given. Levels: debug, info, warn,
/// error, off. A stalled reader of standard output never blocks the process; see LogOutput.
void configure_logging(const std::string& level, const std::string& file);

/// Sets the node name for log lines that are written without one. Call once, before the node starts.
void set_default_node(const std::string& node);

/// Writes the log lines that are still buffered, as far as the reader of standard output takes them.
void flush_log();

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Write one line per state change: `event` and its fields as key=value. `log_warning` uses the warn level.
void log_event(std::string_view node, std::string_view event, LogFields fields);
void log_warning(std::string_view node, std::string_view event, LogFields fields);

/// Joins the items of a list-valued field with commas.
std::string join_items(const std::vector<std::string>& items);

}  // namespace larchlever::node
