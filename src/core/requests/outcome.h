#pragma once

#include <string_view>

namespace larchlever::requests {

/// What is known of a request's execution when its answer goes out.
enum class Outcome {
  kRan,      ///< A back end ran it, at least in part.
  kNotRun,   ///< Proved not to have run: no byte reached a back end, or the back end said it did not start.
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

/// The outcome that a header names. Nothing named: no attempt came before, so nothing ran. Unreadable: anything may
/// have.
constexpr Outcome parse_outcome(std::string_view text) {
  if (text.empty() || text == to_string(Outcome::kNotRun)) {
    return Outcome::kNotRun;
  }
  return text == to_string(Outcome::kRan) ? Outcome::kRan : Outcome::kUnknown;
}

/// What is known of a request after an attempt, by what was known before it.
constexpr Outcome combine_outcomes(Outcome earlier, Outcome attempt) {
  if (earlier == Outcome::kRan || attempt == Outcome::kRan) {
    return Outcome::kRan;
  }
  return earlier == Outcome::kUnknown ? earlier : attempt;
}

}  // namespace larchlever::requests
