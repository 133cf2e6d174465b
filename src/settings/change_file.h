#pragma once

#include <optional>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::settings {

/// Reads operators' templates and parameters: sections `[template NAME]`, `[tenant NAME]`, `[service NAME]` and
/// `[parameter fleet]`; `remove = yes` in a section removes that record. Returns one write per section; nothing when
/// there are faults, which go to `errors`.
std::optional<std::vector<wire::KeyWrite>> parse_change_file(const std::string& text, std::vector<std::string>& errors);

/// A record as the section that would write it; empty for keys that operators do not write.
std::string format_record(const wire::Record& record);

}  // namespace larchlever::settings
