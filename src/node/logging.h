#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace larchlever::node {

/// Sets up log4cplus: to standard output, or appending to `file` when one is named. Level: debug, info, warn, error,
/// off.
void configure_logging(const std::string& level, const std::string& file);

/// Sets the node that lines name whose writer passes none. To be called once, before the node starts.
void name_process(const std::string& node);

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// One line per change of state: `event` and its fields as key=value.
void log_event(std::string_view node, std::string_view event, LogFields fields);
void log_problem(std::string_view node, std::string_view event, LogFields fields);

}  // namespace larchlever::node
