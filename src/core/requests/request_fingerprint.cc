#include "core/requests/request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace larchlever::requests {

RequestFingerprint compute_fingerprint(const RequestIdentity& identity) {
  const std::array parts{identity.caller, identity.host, identity.method, identity.target, identity.body};
  XXH64_hash_t hash = 0;
  for (const auto part : parts) {
    // Includes the length, so that the same bytes split differently into parts give another hash.
    const uint64_t size = part.size();
    hash = XXH64(&size, sizeof(size), hash);
    hash = XXH64(part.data(), part.size(), hash);
  }
  return RequestFingerprint(static_cast<int64_t>(hash));
}

std::string to_string(RequestFingerprint fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint.value()));
  return text.data();
}

}  // namespace larchlever::requests
