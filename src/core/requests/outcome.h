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

}  // namespace larchlever::requests
