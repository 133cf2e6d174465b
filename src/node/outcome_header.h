#pragma once

#include <string_view>

#include "core/requests/outcome.h"
#include "net/http_types.h"

namespace larchlever::node {

/// A caller that retries without an idempotency key sends in this header the outcome it got before, or `unknown` if it
/// got no response.
constexpr std::string_view kEarlierOutcomeHeader = "Larchlever-Earlier-Outcome";

/// Combines the outcome of this attempt with the earlier outcome that the caller reports. Without a key, only this
/// header links attempts. "not-run" refers to the request as a whole, so a refused attempt must not hide that an
/// earlier one ran.
inline requests::Outcome outcome_for_caller(const net::HttpRequest& request, requests::Outcome attempt) {
  return requests::combine_outcomes(requests::parse_outcome(request.headers.find(kEarlierOutcomeHeader)), attempt);
}

}  // namespace larchlever::node
