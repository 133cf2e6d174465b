#pragma once

#include <cstdint>
#include <string>

#include "core/base/time.h"
#include "core/engine/answer_size_estimator.h"
#include "core/engine/prediction_error.h"

namespace larchlever::node {

struct RelayedRequest;

/// Predicts the size of the answer to each request for a model, and learns from the streams that this entry relays.
///
/// One event of a stream comes from one engine pass, so the number of events tells the number of tokens. Only complete
/// streams that this entry relayed from their beginning count. Predicts nothing unless enabled. Single-threaded.
class AnswerSizes {
 public:
  explicit AnswerSizes(bool is_enabled) : is_enabled_(is_enabled) {}

  /// Sets the prediction of a request with a known service and declared sizes.
  void predict(RelayedRequest& request) const;
  /// The whole stream of the request was relayed.
  void observe(TimePoint now, RelayedRequest& request);
  /// Logs the errors of the predictions once a minute if there are new ones.
  void tick(TimePoint now, const std::string& node);

 private:
  bool is_enabled_;
  engine::AnswerSizeEstimator estimator_;
  engine::PredictionErrorHistogram errors_;
  uint64_t logged_errors_ = 0;
  TimePoint next_log_ = TimePoint::min();
};

}  // namespace larchlever::node
