#include "node/answer_sizes.h"

#include <vector>

#include "node/logging.h"
#include "node/relayed_request.h"

namespace larchlever::node {

namespace {

/// Often enough to follow a change of load, seldom enough not to matter in the log.
constexpr Duration kLogInterval = seconds(60);

engine::RequestKind kind_of(const RelayedRequest& request) {
  return {request.tenant == nullptr ? "" : request.tenant->name, request.route->name, request.model};
}

}  // namespace

void AnswerSizes::predict(RelayedRequest& request) const {
  if (!is_enabled_ || !request.service->engine) {
    return;
  }
  request.predicted_answer =
      estimator_.predict(kind_of(request), request.declared_answer, request.service->engine->typical_answer_tokens);
}

void AnswerSizes::observe(TimePoint now, RelayedRequest& request) {
  const bool is_whole = request.service->engine && !request.is_resumed && request.event_stream.event_count() > 0;
  if (!is_whole) {
    return;
  }
  request.answer_tokens = request.event_stream.event_count() * request.service->engine->steps_per_pass;
  if (!request.predicted_answer) {
    return;
  }
  const auto tokens = static_cast<double>(*request.answer_tokens);
  errors_.add(request.predicted_answer->mean, tokens);
  estimator_.observe(now, kind_of(request), request.declared_answer, tokens);
}

void AnswerSizes::tick(TimePoint now, const std::string& node) {
  if (now < next_log_ || errors_.total() == logged_errors_) {
    return;
  }
  next_log_ = now + kLogInterval;
  logged_errors_ = errors_.total();
  std::vector<std::string> counts;
  for (const uint64_t count : errors_.counts()) {
    counts.push_back(std::to_string(count));
  }
  log_event(node, "answer_size_errors",
            {{"answers", std::to_string(errors_.total())}, {"by_ratio", join_items(counts)}});
}

}  // namespace larchlever::node
