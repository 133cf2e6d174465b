#pragma once

#include <optional>
#include <string>

#include "net/http_types.h"

namespace larchlever::cli {

/// Sends a request to one control replica of --control after the other until one returns a status other than 503, and
/// prints why to standard error if none does. Only for calls that may be repeated.
std::optional<net::HttpResponse> call_control_replica(const std::string& method, const std::string& target,
                                                      const std::string& body = {});

}  // namespace larchlever::cli
