#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/document/configuration_document.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The JSON body of an error reply; `message` states the error and how to correct it.
std::string error_body(const std::string& message);

/// A rejected report. No part of it is used, since its sender may use another format.
struct MalformedReport {
  /// The invalid field; `body` if the report is not a JSON object.
  std::string field;
  /// The error and how to correct it; includes the field's name.
  std::string message;
};

using ParsedRegistration = std::variant<wire::Instance, MalformedReport>;

/// Parses the JSON body of an instance's heartbeat. All mandatory fields must be present, and every known field must
/// have the right type and range. Unknown fields are ignored.
ParsedRegistration parse_registration(const std::string& instance_id, std::string_view body);

/// Reads the instance's start time, in Unix milliseconds, from the body of its deregistration; 0 if it is missing or
/// invalid.
int64_t parse_born_ms(std::string_view body);

/// Returns an error if the report's service is not in the document. Without a document (null) every service is
/// accepted, since instances may register before the first document is committed.
std::optional<MalformedReport> find_unknown_service(const wire::Instance& report,
                                                    const document::ConfigurationDocument* document);

}  // namespace larchlever::fleet
