#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/config/record_table.h"
#include "larchlever_types.h"

namespace larchlever::config {

/// The properties of the fleet that validation depends on.
struct FleetTopology {
  std::set<std::string> zones;
  size_t largest_domain_machines = 0;
};

/// Whether a change conflicts with the current records.
struct CertificationResult {
  bool accepted = true;
  std::string key;            ///< On conflict: the key that was changed since the client read it.
  Revision current_revision;  ///< On conflict: current revision of that key.
};

/// Optimistic concurrency control per key, first committer wins: accepts the change if no key that it reads or writes
/// has changed since the revision that it names. Changes to different keys never conflict. The scheme follows the
/// write-set certification of Percona XtraDB Cluster; the log index gives the total order, and record revisions replace
/// the certification index.
CertificationResult certify_change(const RecordTable& table, const wire::ConfigurationChange& change);

/// Validates all records as they would be after the change: references, zones, shares and sizes. Returns one message
/// per error, each with the key and a remedy; empty if valid. Does not modify `table`.
std::vector<std::string> validate_change(const RecordTable& table, const wire::ConfigurationChange& change,
                                         const FleetTopology& fleet);

/// Returns the written keys with their current revisions, as a client sends them in `reads`.
std::vector<wire::KeyRevision> make_read_set(const RecordTable& table, const std::vector<wire::KeyWrite>& writes);

}  // namespace larchlever::config
