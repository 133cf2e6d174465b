#pragma once

#include <string_view>
#include <vector>

#include "core/requests/request_fingerprint.h"

namespace larchlever::requests {

/// Whose prompt parts are meant. Parts of different scopes have different fingerprints, so that nothing that one tenant
/// sends affects the prompts of another.
struct PromptPartScope {
  /// The tenant's name; empty on public routes.
  std::string_view caller;
  std::string_view service;
};

/// Fingerprints of the parts of a prompt that other prompts may share, in order and without duplicates. `list` names
/// all parts as `ID:TOKENS`, separated by commas, with a hexadecimal ID; the last part belongs to this request alone
/// and is left out. Malformed items are ignored, as are those beyond `kMaxPromptParts`.
std::vector<RequestFingerprint> fingerprint_shared_parts(const PromptPartScope& scope, std::string_view list);

constexpr size_t kMaxPromptParts = 32;

}  // namespace larchlever::requests
