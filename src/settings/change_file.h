#pragma once

#include <optional>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::settings {

/// Parses a change file: sections `[template NAME]`, `[tenant NAME]`, `[service NAME]` and `[parameter fleet]`, where
/// `remove = yes` removes the record. Returns one write per section. If the file is invalid, returns nothing and adds
/// all problems to `errors`.
std::optional<std::vector<wire::KeyWrite>> parse_change_file(const std::string& text, std::vector<std::string>& errors);

/// Formats a record as the change file section that writes it. Returns an empty string for keys that a change file
/// cannot set.
std::string format_record(const wire::Record& record);

}  // namespace larchlever::settings
