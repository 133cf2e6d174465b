#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/document/allowed_regions.h"
#include "core/document/configuration_document.h"

/// Explains where a request would be sent now, without sending it.
namespace larchlever::fleet {

/// Properties of the request to explain, completed from its route and service.
struct PlacementQuery {
  const document::Route* route = nullptr;
  const document::ServiceSpec* service = nullptr;
  /// Empty for plain services.
  std::string model;
  /// Empty if the request has none.
  std::string tenant;
  int priority = 0;
  int prompt_tokens = 0;
  int answer_tokens = 0;
  /// Zones of the allowed regions; absent if it may run anywhere.
  std::optional<std::set<std::string>> allowed_zones;
};

struct PlacementQueryError {
  std::string message;
};

/// Parses the JSON query of an operator: `route` and, optionally, `model`, `tenant`, `prompt_tokens`, `answer_tokens`.
/// Token counts that are absent or not positive become the engine's typical ones. The result points into `document`.
std::variant<PlacementQuery, PlacementQueryError> parse_placement_query(std::string_view body,
                                                                        const document::ConfigurationDocument& document,
                                                                        const document::ZoneRegions& zones);

/// Why a server or group would not get the request.
enum class RuledOut {
  kNo,          ///< It could get the request.
  kNotOpen,     ///< The group does not serve requests at present, or it stalled.
  kZone,        ///< Its zones are not among those allowed for the request.
  kNoFreeSlot,  ///< All of its slots are in use.
  kRateLimit,   ///< Its rate limit allows no request now.
  kLongPass,    ///< An engine pass would become longer than the objective for pauses allows.
  kFirstEvent,  ///< The first event or answer would come after the objective; used only if no other has room.
};

/// A group or plain server that serves the request's model or service.
struct PlacementCandidate {
  /// Name of the group, or incarnation of the plain server.
  std::string name;
  std::vector<std::string> zones;
  RuledOut ruled_out = RuledOut::kNo;
  /// Its streams pause too long at present; others are preferred.
  bool is_quiet = false;
  int in_flight = 0;
  int slots = 0;
  /// Factor by which it is slower than the cost model; 1 if nothing else is known.
  double time_factor = 1;
  /// Expected time to the first event or answer, and the longest pause that the request would cause.
  Duration first_event{};
  Duration longest_pass{};
  /// Predicted work that it has still to do for the requests it runs.
  Duration remaining_work{};
};

struct PlacementExplanation {
  PlacementQuery query;
  std::vector<PlacementCandidate> candidates;
  /// The candidate that would get the request now; empty if none.
  std::string chosen;
  /// Requests that wait for the same servers, and those of them that would be admitted before this one.
  int waiting = 0;
  int waiting_ahead = 0;
  /// Expected time until the request gets a slot; absent if it would get one now, or if nothing is known.
  std::optional<Duration> expected_wait;
  /// Part of the admitted work that the tenant got recently, and its fair share at present; absent without fair shares.
  std::optional<double> tenant_usage;
  std::optional<double> tenant_share;
};

/// The explanation as the JSON body for operators; times in milliseconds.
std::string to_json(const PlacementExplanation& explanation);

}  // namespace larchlever::fleet
