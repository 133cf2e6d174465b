#pragma once

#include <string_view>

#include "core/requests/outcome.h"
#include "net/http_types.h"

namespace larchlever::node {

/// What a caller who sends a request again without a key was told before, or `unknown` when no answer came.
constexpr std::string_view kEarlierOutcomeHeader = "Larchlever-Earlier-Outcome";

/// The outcome to tell the caller after an attempt. Nothing but the caller's own word ties attempts without a key
/// together, and "not-run" speaks of the request: an attempt that was turned away takes nothing back of an earlier one.
inline requests::Outcome outcome_for_caller(const net::HttpRequest& request, requests::Outcome attempt) {
  return requests::combined(requests::parse_outcome(request.headers.find(kEarlierOutcomeHeader)), attempt);
}

}  // namespace larchlever::node
