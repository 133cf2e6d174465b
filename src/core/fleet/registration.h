#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/document/configuration_document.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The JSON body of an answer that refuses a call; `message` names fault and remedy.
std::string error_body(const std::string& message);

/// A report that was not understood whole, perhaps of a writer that speaks something else. Nothing of it is used.
struct MalformedReport {
  /// The field at fault; `body` when it is no JSON object.
  std::string field;
  /// What is wrong and what to send instead; names the field.
  std::string message;
};

using ParsedRegistration = std::variant<wire::Instance, MalformedReport>;

/// Reads the JSON body of an instance's heartbeat: every field that heartbeats always carry must be there, and each
/// field that is known must be of its type and range. Unknown fields are skipped.
ParsedRegistration parse_registration(const std::string& instance_id, std::string_view body);

/// The birth that the body of an instance's farewell tells, in Unix milliseconds; 0 when it tells none that can be
/// read.
int64_t parse_born_ms(std::string_view body);

/// The fault of a report that names a service which the document does not; nothing while no document is held (null), as
/// servers register before the first one.
std::optional<MalformedReport> find_unknown_service(const wire::Instance& report,
                                                    const document::ConfigurationDocument* document);

}  // namespace larchlever::fleet
