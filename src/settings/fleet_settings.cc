#include "settings/fleet_settings.h"

#include <algorithm>
#include <set>

#include "settings/ini_document.h"

namespace larchlever::settings {

namespace {

/// Of the time in which a revoked key must stop working, what is left for sending a request on after the check.
constexpr Duration kRevocationMargin = milliseconds(500);
constexpr Duration kEvacuationMargin = kRevocationMargin;
constexpr int64_t kMostBufferMegabytes = 1'000'000;
/// An instance is silent once two of its heartbeats are overdue.
constexpr int kMissedHeartbeats = 2;
constexpr Duration kHeartbeatSlack = milliseconds(300);
/// A replacement must be a voter well within the time in which it counts as lost.
constexpr int kReplicaTimeoutShare = 3;

/// Control replicas stand close to each other, so a leader is missed soon.
constexpr Duration kLogHeartbeat = milliseconds(80);
constexpr Duration kElectionTimeout = milliseconds(600);

std::string host_of(const std::string& endpoint) { return endpoint.substr(0, endpoint.rfind(':')); }

bool is_unspecified(const std::string& endpoint) {
  const std::string host = host_of(endpoint);
  return host == "0.0.0.0" || host == "[::]";
}

void read_node(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader node("node", document.find("node"), errors);
  settings.name = node.required_text("name");
  settings.zone = node.required_text("zone");
  const auto role = node.choice("role", "entry", {"entry", "control"});
  settings.role = role == "control" ? FleetRole::kControl : FleetRole::kEntry;
  settings.peer_address = node.address("peer_address", true);
  if (is_unspecified(settings.peer_address)) {
    node.fault("peer_address", settings.peer_address, "no address that peers can dial; name the node's own IP");
  }
  const bool is_entry = settings.role == FleetRole::kEntry;
  settings.caller_address = node.address("caller_address", is_entry);
  settings.ready_address = node.address("ready_address", is_entry);
  settings.control_address = node.address("control_address", !is_entry);
  settings.metrics_address = node.address("metrics_address", false);
  settings.data_folder = node.text("data_folder", "");
  settings.dialect = node.text("dialect", settings.dialect);
  settings.answer_buffers = static_cast<size_t>(node.integer("answer_buffers_mb", 0, 0, kMostBufferMegabytes)) << 20U;
  if (!is_entry && settings.data_folder.empty()) {
    node.fault("data_folder", "", "missing; a control replica keeps the log on disk, name a folder");
  }
  node.finish();
}

void read_cluster(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader cluster("cluster", document.find("cluster"), errors);
  settings.seeds = cluster.list("seeds");
  const auto peer_port = cluster.integer("peer_port", 0, 1, 65535);
  settings.first_start = cluster.flag("first_start", false);
  // Where nobody says what may be lost, at least what the seeds bear among them.
  const auto borne_by_seeds = settings.seeds.empty() ? 0 : static_cast<int64_t>((settings.seeds.size() - 1) / 2);
  const auto losses = cluster.integer("tolerated_losses", borne_by_seeds, 0, 8);
  settings.options.minimum_voters = static_cast<size_t>(2 * losses + 1);
  settings.options.control.minimum_voters = settings.options.minimum_voters;
  for (const auto& entry : cluster.list("zones")) {
    const size_t colon = entry.find(':');
    const std::string region = colon == std::string::npos ? "" : entry.substr(colon + 1);
    if (colon == 0) {
      cluster.fault("zones", entry, "no zone before the colon; write ZONE or ZONE:REGION");
    }
    settings.options.zones[entry.substr(0, colon)] = region;
  }
  if (settings.seeds.empty()) {
    cluster.fault("seeds", "", "missing; list the control addresses of up to three control replicas");
  }
  for (const auto& seed : settings.seeds) {
    if (!is_ip_endpoint(seed)) {
      cluster.fault("seeds", seed, "not IP:PORT; list control addresses");
      continue;
    }
    settings.seed_peers.push_back(host_of(canonical_endpoint(seed)) + ":" + std::to_string(peer_port));
  }
  cluster.finish();
}

void read_bounds(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader bounds("bounds", document.find("bounds"), errors);
  auto& options = settings.options;
  // One lease covers both: an entry that is cut off sends by an old key, or into an emptied zone, no longer than this.
  const Duration revocation = bounds.duration("revocation", seconds(5));
  const Duration by_revocation = revocation - kRevocationMargin;
  const Duration by_evacuation = bounds.duration("evacuation", revocation) - kEvacuationMargin;
  options.document_lease = std::min(by_revocation, by_evacuation);
  options.instance_timeout =
      kMissedHeartbeats * bounds.duration("instance_heartbeat", milliseconds(1200)) + kHeartbeatSlack;
  options.stall_time = bounds.duration("stall", seconds(5));
  options.control.replica_timeout = bounds.duration("catch_up", seconds(4)) / kReplicaTimeoutShare;
  options.load_window = bounds.duration("load_window", seconds(5));
  options.retry_window = bounds.duration("retry_window", seconds(10));
  options.retry_ratio = bounds.fraction("retry_ratio", 0.2);
  options.retry_slack = bounds.fraction("retry_slack", 10);
  settings.stop_grace = bounds.duration("stop_grace", seconds(8));
  if (options.document_lease < 3 * options.heartbeat_interval) {
    const bool is_revocation = by_revocation <= by_evacuation;
    bounds.fault(is_revocation ? "revocation" : "evacuation", "",
                 "too short for a lease of three heartbeats; raise it");
  }
  bounds.finish();
}

void read_log(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader reader("log", document.find("log"), errors);
  settings.log_level = reader.choice("level", "info", {"debug", "info", "warn", "error", "off"});
  reader.finish();
}

}  // namespace

bool FleetSettings::may_found_cluster() const {
  const bool is_seed = std::find(seed_peers.begin(), seed_peers.end(), peer_address) != seed_peers.end();
  return first_start && role == FleetRole::kControl && is_seed;
}

std::optional<FleetSettings> parse_fleet_settings(const std::string& text, std::vector<std::string>& errors) {
  const size_t faults_before = errors.size();
  const IniDocument document = IniDocument::parse(text, errors);
  static const std::set<std::string> sections = {"node", "cluster", "bounds", "log"};
  for (const auto& section : document.sections()) {
    if (!sections.contains(section.name)) {
      errors.push_back("[" + section.name + "]: unknown section; remove it or correct its spelling");
    }
  }
  FleetSettings settings;
  read_node(document, settings, errors);
  read_cluster(document, settings, errors);
  read_bounds(document, settings, errors);
  read_log(document, settings, errors);
  // A document may be large and the log short: snapshots are cheap, entries are not.
  settings.options.control.snapshot_interval_entries = 64;
  settings.options.control.snapshot_trailing_entries = 16;
  settings.options.control.node_timeout = settings.options.node_timeout;
  settings.options.raft.heartbeat_interval = kLogHeartbeat;
  settings.options.raft.election_timeout_min = kElectionTimeout;
  settings.options.raft.election_timeout_max = kElectionTimeout + kElectionTimeout / 2;
  settings.options.raft.restart_check_timeout = kElectionTimeout + kElectionTimeout / 5;
  return errors.size() > faults_before ? std::nullopt : std::optional(std::move(settings));
}

}  // namespace larchlever::settings
