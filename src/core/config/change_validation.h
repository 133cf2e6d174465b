#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/config/record_table.h"
#include "larchlever_types.h"

namespace larchlever::config {

/// What validation needs to know of the fleet: its zones, and the machines of the largest fabric domain.
struct FleetTopology {
  std::set<std::string> zones;
  size_t largest_domain_machines = 0;
};

/// Result of certifying a change against the records it was based on.
struct CertificationResult {
  bool accepted = true;
  std::string key;            ///< The key that another change got to first.
  Revision current_revision;  ///< Its present revision.
};

/// First committer wins, per key: the change is certified when no key it read or writes has changed since the revision
/// it names. Changes to different keys never reject each other. (Idea: certification of write sets in Percona
/// XtraDB Cluster's documentation; here the log position itself is the total order, and revisions replace the
/// certification index.)
CertificationResult certify_change(const RecordTable& table, const wire::ConfigurationChange& change);

/// Checks what the records would be after the change, as a whole: references, zones, shares, sizes. Returns one
/// message per fault, each naming the key and the remedy; empty means valid. Never modifies `table`.
std::vector<std::string> validate_change(const RecordTable& table, const wire::ConfigurationChange& change,
                                         const FleetTopology& fleet);

/// Keys that a change to these writes depends on, with their present revisions: what a client should send as `reads`.
std::vector<wire::KeyRevision> make_read_set(const RecordTable& table, const std::vector<wire::KeyWrite>& writes);

}  // namespace larchlever::config
