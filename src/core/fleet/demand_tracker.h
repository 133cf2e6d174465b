#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "core/engine/cost_model.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Recent request rate of one model, over all nodes.
struct ModelDemandRate {
  double requests_per_second = 0;
  engine::RequestTokenCounts sizes;
  /// Target latency of the first event, from the requests' routes; the shortest one reported.
  Duration target_latency{};
};

/// Computes request rates per model over a sliding window from the running totals that nodes report.
///
/// Nodes report totals rather than increments, so that a lost heartbeat loses no counts. Single-threaded,
/// deterministic.
class DemandTracker {
 public:
  using ModelKey = std::pair<std::string, std::string>;  ///< Service and model.

  void start();
  /// Records the totals of one node since its start.
  void note_totals(TimePoint now, const std::string& node, const std::vector<wire::ModelDemand>& totals);
  /// The node restarted: its totals begin at zero again.
  void forget_node(const std::string& node) { totals_.erase(node); }
  /// Whether demand was observed for long enough, and enough requests were seen, to base decisions on it.
  bool has_enough_data(TimePoint now, const std::string& service);
  /// The rate is zero when no request for the model was seen in the window.
  ModelDemandRate rate(TimePoint now, const std::string& service, const std::string& model);

 private:
  struct Increment {
    TimePoint at{};
    double requests = 0;
    double prompt_tokens = 0;
    double answer_tokens = 0;
  };
  struct Window {
    std::deque<Increment> increments;
    Duration target_latency{};
  };

  void remove_old_increments(TimePoint now, Window& window) const;

  /// When the first request was seen.
  TimePoint first_request_at_ = TimePoint::max();
  std::map<std::string, std::map<ModelKey, wire::ModelDemand>> totals_;
  std::map<ModelKey, Window> windows_;
};

}  // namespace larchlever::fleet
