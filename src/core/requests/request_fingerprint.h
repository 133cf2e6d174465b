#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/ids.h"

namespace larchlever::requests {

/// Tells whether two requests are the same one sent again: equal for equal caller, host, method, target and body,
/// whatever the request's id, deadline or the entry that took it. Not a secret and not meant to withstand attacks.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, int64_t>;

/// What a request is recognised by when it comes again.
struct RequestIdentity {
  /// The tenant's name; empty on public routes.
  std::string_view caller;
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

RequestFingerprint compute_fingerprint(const RequestIdentity& identity);

/// As it stands in logs: sixteen hexadecimal digits.
std::string to_string(RequestFingerprint fingerprint);

}  // namespace larchlever::requests
