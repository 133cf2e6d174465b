#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "larchlever_types.h"

namespace larchlever::fleet {

/// The JSON body of an answer that refuses a call; `message` names fault and remedy.
std::string error_body(const std::string& message);

/// Reads the JSON body of an instance's heartbeat. Returns nothing, with `error` naming fault and remedy, when it
/// cannot be read or names no service or address. Unknown fields are skipped.
std::optional<wire::Instance> parse_registration(const std::string& instance_id, std::string_view body,
                                                 std::string& error);

}  // namespace larchlever::fleet
