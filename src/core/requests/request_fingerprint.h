#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/ids.h"

namespace larchlever::requests {

/// Hash that identifies repetitions of a request: equal for equal caller, host, method, target and body, and
/// independent of the request id, the deadline and the entry that received it. Not a cryptographic hash.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, int64_t>;

/// The properties of a request that its fingerprint is computed from.
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

/// The form used in logs: sixteen hexadecimal digits.
std::string to_string(RequestFingerprint fingerprint);

}  // namespace larchlever::requests
