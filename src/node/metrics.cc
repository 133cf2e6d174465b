#include "node/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace larchlever::node {

namespace {

class MetricList {
 public:
  void add_counter(const std::string& name, const std::string& help, uint64_t value) {
    add(name, help, prometheus::MetricType::Counter, static_cast<double>(value), {});
  }
  void add_gauge(const std::string& name, const std::string& help, double value) {
    add(name, help, prometheus::MetricType::Gauge, value, {});
  }
  void add_labelled_gauges(const std::string& name, const std::string& help, const std::string& label,
                           const std::vector<std::pair<std::string, double>>& values) {
    for (const auto& [text, value] : values) {
      add(name, help, prometheus::MetricType::Gauge, value, {{label, text}});
    }
  }
  std::string text() const {
    const prometheus::TextSerializer serializer;
    std::ostringstream out;
    serializer.Serialize(out, families_);
    return out.str();
  }

 private:
  void add(const std::string& name, const std::string& help, prometheus::MetricType type, double value,
           std::vector<prometheus::ClientMetric::Label> labels) {
    if (families_.empty() || families_.back().name != "larchlever_" + name) {
      prometheus::MetricFamily family;
      family.name = "larchlever_" + name;
      family.help = help;
      family.type = type;
      families_.push_back(std::move(family));
    }
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    if (type == prometheus::MetricType::Counter) {
      metric.counter.value = value;
    } else {
      metric.gauge.value = value;
    }
    families_.back().metric.push_back(std::move(metric));
  }

  std::vector<prometheus::MetricFamily> families_;
};

void add_request_metrics(MetricList& metrics, const CallerApi& caller_api, const net::HttpServerStats& server_stats) {
  const auto& stats = caller_api.stats();
  metrics.add_counter("model_requests_total", "Model requests received", stats.model_requests);
  metrics.add_counter("service_requests_total", "Plain service requests received", stats.service_requests);
  metrics.add_labelled_gauges("requests_by_outcome", "Responses by outcome of the request", "outcome",
                              {{"ran", static_cast<double>(stats.ran_outcomes)},
                               {"not-run", static_cast<double>(stats.not_run_outcomes)},
                               {"unknown", static_cast<double>(stats.unknown_outcomes)}});
  metrics.add_counter("retries_total", "Retries after a failed attempt", stats.retries);
  metrics.add_counter("resumed_streams_total", "Streams resumed on another group", stats.resumed_streams);
  metrics.add_counter("cut_streams_total", "Responses truncated after they started", stats.truncated_streams);
  metrics.add_counter("disordered_answers_total", "Engine responses of another request or out of order",
                      stats.wrong_or_misordered_responses);
  metrics.add_counter("claims_granted_total", "Idempotency keys granted", stats.claims_granted);
  metrics.add_counter("claims_refused_total", "Idempotency keys refused", stats.claims_refused);
  metrics.add_counter("answers_replayed_total", "Stored responses replayed", stats.replayed_responses);
  metrics.add_gauge("requests_active", "Requests being served", static_cast<double>(caller_api.active_requests()));
  metrics.add_counter("http_malformed_total", "Malformed HTTP requests", server_stats.malformed_requests);
  metrics.add_counter("http_too_large_total", "Requests over a size limit", server_stats.oversized_requests);
  metrics.add_counter("http_timeouts_total", "Requests not received completely in time",
                      server_stats.timed_out_requests);
  metrics.add_gauge("http_connections", "Open connections from callers",
                    static_cast<double>(server_stats.open_connections));
}

void add_entry_metrics(MetricList& metrics, NodeRuntime& runtime) {
  const auto& entry = runtime.controller().entry();
  const TimePoint now = NodeRuntime::now();
  metrics.add_gauge("configuration_lease", "1 while this node may dispatch",
                    entry.has_configuration_lease(now) ? 1 : 0);
  metrics.add_gauge("configuration_revision", "Configuration revision in use",
                    static_cast<double>(entry.revision().value()));
  metrics.add_gauge("leased_groups", "Groups this node may dispatch to",
                    static_cast<double>(entry.router().count_leased_groups(now)));
  metrics.add_counter("heartbeats_sent_total", "Heartbeats sent to the leader", entry.stats().heartbeats_sent);
  metrics.add_counter("heartbeat_replies_total", "Heartbeat replies accepted from the leader", entry.stats().replies);
  metrics.add_counter("leader_changes_total", "Leader changes observed", entry.stats().leader_changes);
  const auto& peers = runtime.peer_stats();
  metrics.add_counter("peer_bytes_sent_total", "Bytes sent to other nodes", peers.bytes_sent);
  metrics.add_counter("peer_bytes_received_total", "Bytes received from other nodes", peers.bytes_received);
  metrics.add_counter("peer_frames_sent_total", "Messages sent to other nodes", peers.frames_sent);
  metrics.add_counter("peer_silent_links_total", "Peer connections dropped because nothing was received",
                      peers.silent_links);
  metrics.add_counter("peer_bad_frames_total", "Invalid or damaged frames received", peers.bad_frames);
  metrics.add_counter("engine_polls_total", "Polls of engines on watched machines", runtime.stats().polls);
  metrics.add_counter("engine_poll_failures_total", "Polls without a successful response",
                      runtime.stats().poll_failures);
  metrics.add_counter("engine_poll_mismatches_total", "Polls answered by another machine or from another location",
                      runtime.stats().poll_mismatches);
}

void add_replica_metrics(MetricList& metrics, NodeRuntime& runtime) {
  const auto* raft = runtime.controller().raft();
  metrics.add_gauge("replica_running", "1 while this node holds a replica of the log", raft == nullptr ? 0 : 1);
  if (raft == nullptr) {
    return;
  }
  const bool leads = runtime.controller().acts_as_leader(NodeRuntime::now());
  metrics.add_gauge("leader", "1 while this node leads with a valid lease", leads ? 1 : 0);
  metrics.add_gauge("log_term", "Current term", static_cast<double>(raft->term()));
  metrics.add_gauge("log_commit_index", "Index of the last committed log entry",
                    static_cast<double>(raft->commit_index()));
  metrics.add_counter("elections_total", "Elections this replica started", raft->stats().elections_started);
  metrics.add_counter("rollbacks_detected_total", "Replicas found to have lost log entries on disk",
                      raft->stats().rollbacks_detected);
  const auto storage = runtime.storage_stats();
  metrics.add_counter("storage_syncs_total", "Syncs of the data folder", storage.syncs);
  metrics.add_counter("storage_records_total", "Log records written", storage.records);
  metrics.add_counter("storage_bytes_total", "Bytes written", storage.bytes);
  if (leads) {
    const auto& leader = runtime.controller().leader();
    const auto& groups = leader.groups();
    metrics.add_gauge("stranded_accelerators", "Idle accelerators whose group cannot form",
                      static_cast<double>(groups.last_plan().stranded_accelerators));
    metrics.add_counter("groups_lost_total", "Groups that lost a member", groups.stats().groups_lost);
    metrics.add_counter("groups_created_total", "Groups planned", groups.stats().groups_created);
    metrics.add_counter("orders_fenced_total", "Orders that engines refused as stale", groups.stats().orders_fenced);
    metrics.add_counter("claims_total", "Claims decided", leader.stats().claims);
    metrics.add_counter("claim_batches_total", "Log entries that carried claims", leader.stats().claim_batches);
  }
}

}  // namespace

std::string render_metrics(NodeRuntime& runtime, const CallerApi& caller_api,
                           const net::HttpServerStats& server_stats) {
  MetricList metrics;
  add_request_metrics(metrics, caller_api, server_stats);
  add_entry_metrics(metrics, runtime);
  add_replica_metrics(metrics, runtime);
  return metrics.text();
}

}  // namespace larchlever::node
