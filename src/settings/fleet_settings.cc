#include "settings/fleet_settings.h"

#include <algorithm>
#include <set>

#include "settings/ini_document.h"

namespace larchlever::settings {

namespace {

/// Part of the revocation and evacuation bounds that is reserved for forwarding a request after the lease check.
constexpr Duration kRevocationSendMargin = milliseconds(500);
constexpr Duration kEvacuationSendMargin = kRevocationSendMargin;
constexpr int64_t kMaxMegabytes = 1'000'000;
constexpr int64_t kMaxDescriptors = 1'000'000'000;
/// An instance counts as silent after two missed heartbeats, plus a tolerance for delays.
constexpr int kMissedHeartbeatsUntilSilent = 2;
constexpr Duration kHeartbeatDelayTolerance = milliseconds(300);
/// A failed replica is replaced after the catch-up bound divided by this. The rest of the bound is left for the
/// replacement to become a voter.
constexpr int kReplicaTimeoutsPerCatchUp = 3;

/// Short, because the network latency between control replicas is low.
constexpr Duration kRaftHeartbeatInterval = milliseconds(80);
constexpr Duration kMinElectionTimeout = milliseconds(600);

std::string endpoint_host(const std::string& endpoint) { return endpoint.substr(0, endpoint.rfind(':')); }

bool is_wildcard_address(const std::string& endpoint) {
  const std::string host = endpoint_host(endpoint);
  return host == "0.0.0.0" || host == "[::]";
}

/// Returns bytes; 0 if the key is missing.
size_t read_megabytes(SectionReader& section, const std::string& key) {
  return static_cast<size_t>(section.read_integer(key, 0, 0, kMaxMegabytes)) << 20U;
}

void read_node(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader node_section("node", document.find_section("node"), errors);
  settings.name = node_section.read_required_string("name");
  settings.zone = node_section.read_required_string("zone");
  const auto role = node_section.read_choice("role", "entry", {"entry", "control"});
  settings.role = role == "control" ? FleetRole::kControl : FleetRole::kEntry;
  settings.peer_address = node_section.read_address("peer_address", true);
  if (is_wildcard_address(settings.peer_address)) {
    node_section.add_error("peer_address", settings.peer_address,
                           "not an address that peers can connect to; use the node's own IP");
  }
  const bool is_entry = settings.role == FleetRole::kEntry;
  settings.caller_address = node_section.read_address("caller_address", is_entry);
  settings.ready_address = node_section.read_address("ready_address", is_entry);
  settings.relay_address = node_section.read_address("relay_address", false);
  if (is_wildcard_address(settings.relay_address)) {
    node_section.add_error("relay_address", settings.relay_address,
                           "not an address that other entries can connect to; use the node's own IP");
  }
  settings.control_address = node_section.read_address("control_address", !is_entry);
  settings.metrics_address = node_section.read_address("metrics_address", false);
  settings.outbound_address = node_section.read_string("outbound_address", "");
  if (!settings.outbound_address.empty() && !is_ip_endpoint(settings.outbound_address + ":0")) {
    node_section.add_error("outbound_address", settings.outbound_address,
                           "not an IP address; use one of this machine's own, without a port");
  }
  settings.data_folder = node_section.read_string("data_folder", "");
  settings.dialect = node_section.read_string("dialect", settings.dialect);
  settings.answer_buffer_bytes = read_megabytes(node_section, "answer_buffers_mb");
  settings.memory_bytes = read_megabytes(node_section, "memory_mb");
  settings.request_buffer_bytes = read_megabytes(node_section, "request_buffers_mb");
  settings.max_descriptors = static_cast<size_t>(node_section.read_integer("max_descriptors", 0, 0, kMaxDescriptors));
  if (!is_entry && settings.data_folder.empty()) {
    node_section.add_error("data_folder", "", "missing; a control replica stores its log on disk; set a folder");
  }
  node_section.report_unknown_keys();
}

void read_cluster(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader cluster_section("cluster", document.find_section("cluster"), errors);
  settings.seed_control_addresses = cluster_section.read_list("seeds");
  const auto peer_port = cluster_section.read_integer("peer_port", 0, 1, 65535);
  settings.first_start = cluster_section.read_flag("first_start", false);
  // By default, tolerate the loss of as many replicas as a quorum of the seeds allows.
  const auto losses_tolerated_by_seeds = settings.seed_control_addresses.empty()
                                             ? 0
                                             : static_cast<int64_t>((settings.seed_control_addresses.size() - 1) / 2);
  const auto tolerated_losses = cluster_section.read_integer("tolerated_losses", losses_tolerated_by_seeds, 0, 8);
  settings.options.minimum_voters = static_cast<size_t>(2 * tolerated_losses + 1);
  settings.options.control.minimum_voters = settings.options.minimum_voters;
  for (const auto& zone_entry : cluster_section.read_list("zones")) {
    const size_t colon = zone_entry.find(':');
    const std::string region = colon == std::string::npos ? "" : zone_entry.substr(colon + 1);
    if (colon == 0) {
      cluster_section.add_error("zones", zone_entry, "no zone before the colon; write ZONE or ZONE:REGION");
    }
    settings.options.zones[zone_entry.substr(0, colon)] = region;
  }
  if (settings.seed_control_addresses.empty()) {
    cluster_section.add_error("seeds", "", "missing; list the control addresses of up to three control replicas");
  }
  for (const auto& seed : settings.seed_control_addresses) {
    if (!is_ip_endpoint(seed)) {
      cluster_section.add_error("seeds", seed, "not IP:PORT; list control addresses");
      continue;
    }
    settings.seed_peer_addresses.push_back(endpoint_host(canonical_endpoint(seed)) + ":" + std::to_string(peer_port));
  }
  cluster_section.report_unknown_keys();
}

void read_bounds(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader bounds_section("bounds", document.find_section("bounds"), errors);
  auto& options = settings.options;
  // One lease enforces both bounds: a partitioned entry stops accepting revoked keys and stops sending to evacuated
  // zones when it expires.
  const Duration revocation = bounds_section.read_duration("revocation", seconds(5));
  const Duration revocation_lease_limit = revocation - kRevocationSendMargin;
  const Duration evacuation_lease_limit =
      bounds_section.read_duration("evacuation", revocation) - kEvacuationSendMargin;
  options.document_lease = std::min(revocation_lease_limit, evacuation_lease_limit);
  options.instance_timeout =
      kMissedHeartbeatsUntilSilent * bounds_section.read_duration("instance_heartbeat", milliseconds(1200)) +
      kHeartbeatDelayTolerance;
  options.stall_time = bounds_section.read_duration("stall", seconds(5));
  options.control.replica_timeout = bounds_section.read_duration("catch_up", seconds(4)) / kReplicaTimeoutsPerCatchUp;
  options.load_window = bounds_section.read_duration("load_window", seconds(5));
  options.retry_window = bounds_section.read_duration("retry_window", seconds(10));
  options.retry_ratio = bounds_section.read_non_negative_number("retry_ratio", 0.2);
  options.retry_slack = bounds_section.read_non_negative_number("retry_slack", 10);
  settings.stop_grace_period = bounds_section.read_duration("stop_grace", seconds(8));
  if (options.document_lease < 3 * options.heartbeat_interval) {
    const bool is_revocation_shorter = revocation_lease_limit <= evacuation_lease_limit;
    bounds_section.add_error(is_revocation_shorter ? "revocation" : "evacuation", "",
                             "too short for a lease of three heartbeats; raise it");
  }
  bounds_section.report_unknown_keys();
}

void read_admission(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader reader("admission", document.find_section("admission"), errors);
  auto& admission = settings.options.admission;
  admission.fair_shares = reader.read_flag("fair_shares", false);
  admission.learned_costs = reader.read_flag("learned_costs", false);
  admission.observed_speeds = reader.read_flag("observed_speeds", false);
  admission.plain_server_slots = reader.read_flag("plain_server_slots", false);
  admission.turn_forecasts = reader.read_flag("turn_forecasts", false);
  reader.report_unknown_keys();
}

void read_log(const IniDocument& document, FleetSettings& settings, std::vector<std::string>& errors) {
  SectionReader reader("log", document.find_section("log"), errors);
  settings.log_level = reader.read_choice("level", "info", {"debug", "info", "warn", "error", "off"});
  reader.report_unknown_keys();
}

}  // namespace

bool FleetSettings::may_found_cluster() const {
  const bool is_seed =
      std::find(seed_peer_addresses.begin(), seed_peer_addresses.end(), peer_address) != seed_peer_addresses.end();
  return first_start && role == FleetRole::kControl && is_seed;
}

std::optional<FleetSettings> parse_fleet_settings(const std::string& text, std::vector<std::string>& errors) {
  const size_t errors_before = errors.size();
  const IniDocument document = IniDocument::parse(text, errors);
  static const std::set<std::string> sections = {"node", "cluster", "bounds", "admission", "log"};
  for (const auto& section : document.sections()) {
    if (!sections.contains(section.name)) {
      errors.push_back("[" + section.name + "]: unknown section; remove it or correct its spelling");
    }
  }
  FleetSettings settings;
  read_node(document, settings, errors);
  read_cluster(document, settings, errors);
  read_bounds(document, settings, errors);
  read_admission(document, settings, errors);
  read_log(document, settings, errors);
  // Log entries may contain whole configuration documents, so frequent snapshots are cheaper than a long log.
  settings.options.control.snapshot_interval_entries = 64;
  settings.options.control.snapshot_trailing_entries = 16;
  settings.options.control.node_timeout = settings.options.node_timeout;
  settings.options.raft.heartbeat_interval = kRaftHeartbeatInterval;
  settings.options.raft.election_timeout_min = kMinElectionTimeout;
  settings.options.raft.election_timeout_max = kMinElectionTimeout + kMinElectionTimeout / 2;
  settings.options.raft.restart_check_timeout = kMinElectionTimeout + kMinElectionTimeout / 5;
  return errors.size() > errors_before ? std::nullopt : std::optional(std::move(settings));
}

}  // namespace larchlever::settings
