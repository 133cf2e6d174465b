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

/// Requests for one model over the recent past, from all nodes together.
struct ModelDemandRate {
  double requests_per_second = 0;
  engine::RequestSizes sizes;
  /// Time to the first event that the requests' routes aim at; the shortest seen.
  Duration target_latency{};
};

/// Turns the nodes' running totals of requests into rates per model, over a sliding window.
///
/// Totals rather than differences are reported, so that a lost heartbeat loses nothing. Single-threaded, deterministic.
class DemandTracker {
 public:
  using ModelKey = std::pair<std::string, std::string>;  ///< Service and model.

  void start();
  /// Takes one node's totals since its start.
  void note_totals(TimePoint now, const std::string& node, const std::vector<wire::ModelDemand>& totals);
  /// The node started anew: its totals begin at zero.
  void forget_node(const std::string& node) { totals_.erase(node); }
  /// Whether demand was watched for long enough, and enough of it was seen, to act on.
  bool has_enough_data(TimePoint now, const std::string& service);
  /// Zero rate when no request for the model was seen in the window.
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
