#pragma once

#include <optional>
#include <string>

#include "core/base/time.h"

namespace larchlever::engine {

/// Requests whose answers are expected to relate to their declared sizes in the same way.
struct RequestKind {
  std::string tenant;
  std::string route;
  std::string model;
};

/// Sizes of the answer that a caller declares, in tokens.
struct DeclaredAnswerSize {
  /// The caller's guess.
  std::optional<double> hint;
  std::optional<double> max;
};

struct AnswerSizePrediction {
  /// Expected tokens, for choosing a place.
  double mean = 0;
  /// Tokens that most answers stay within, for refusing a request.
  double high = 0;
};

/// Predicts the sizes of answers from what callers declare, corrected by the sizes of earlier answers. Bounded memory;
/// single-threaded, deterministic.
class AnswerSizeEstimator {
 public:
  /// `typical` is predicted if nothing is declared and nothing was observed.
  AnswerSizePrediction predict(const RequestKind& kind, const DeclaredAnswerSize& declared, double typical) const;
  /// An answer was received completely.
  void observe(TimePoint now, const RequestKind& kind, const DeclaredAnswerSize& declared, double tokens);
};

}  // namespace larchlever::engine
