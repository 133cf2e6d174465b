#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::control {

enum class OrderKind { kLoad, kRelease };

/// An order to the engine on one machine. Engines that check fencing tokens refuse an order whose (epoch, term) is
/// older than the newest they have seen; for other engines, only the leader's lease prevents orders from an old leader.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  std::string machine;
  std::string endpoint;
  int64_t incarnation = 0;
  int64_t group_id = 0;
  int32_t epoch = 0;
  int64_t term = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::vector<std::string> members;
  int rank = 0;
};

enum class OrderVerdict { kDone, kFenced, kWrongIncarnation, kUnreachable };

struct OrderResult {
  OrderKind kind = OrderKind::kLoad;
  std::string machine;
  int64_t group_id = 0;
  int32_t epoch = 0;
  OrderVerdict verdict = OrderVerdict::kUnreachable;
};

}  // namespace larchlever::control
