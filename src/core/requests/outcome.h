#pragma once

#include <string_view>

namespace larchlever::requests {

/// Whether a request was executed, as far as is known when its response is sent.
enum class Outcome {
  kRan,      ///< A back end ran it, at least in part.
  kNotRun,   ///< Provably not executed: no byte reached a back end, or the back end reported that it did not start.
  kUnknown,  ///< It may or may not have run.
};

/// Value of the Larchlever-Outcome header.
constexpr std::string_view to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// Parses the value of an outcome header. An absent (empty) value means that there was no earlier attempt, so nothing
/// ran; an unrecognized value means that the outcome is unknown.
constexpr Outcome parse_outcome(std::string_view text) {
  if (text.empty() || text == to_string(Outcome::kNotRun)) {
    return Outcome::kNotRun;
  }
  return text == to_string(Outcome::kRan) ? Outcome::kRan : Outcome::kUnknown;
}

/// Combines the outcome of earlier attempts of a request with that of the latest attempt.
constexpr Outcome combine_outcomes(Outcome earlier, Outcome attempt) {
  if (earlier == Outcome::kRan || attempt == Outcome::kRan) {
    return Outcome::kRan;
  }
  return earlier == Outcome::kUnknown ? earlier : attempt;
}

}  // namespace larchlever::requests
