#include "node/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace larchlever::node {

namespace {

class MetricList {
 public:
  void counter(const std::string& name, const std::string& help, uint64_t value) {
    add(name, help, prometheus::MetricType::Counter, static_cast<double>(value), {});
  }
  void gauge(const std::string& name, const std::string& help, double value) {
    add(name, help, prometheus::MetricType::Gauge, value, {});
  }
  void labelled(const std::string& name, const std::string& help, const std::string& label,
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

void add_front(MetricList& list, const RequestFront& front, const net::HttpServerStats& server) {
  const auto& stats = front.stats();
  list.counter("model_requests_total", "Model requests received", stats.model_requests);
  list.counter("service_requests_total", "Plain service requests received", stats.service_requests);
  list.labelled("requests_by_outcome", "Answers by what is known of their execution", "outcome",
                {{"ran", static_cast<double>(stats.ran)},
                 {"not-run", static_cast<double>(stats.not_run)},
                 {"unknown", static_cast<double>(stats.unknown)}});
  list.counter("retries_total", "Attempts after a failed one", stats.retries);
  list.counter("resumed_streams_total", "Streams resumed on another group", stats.resumed_streams);
  list.counter("cut_streams_total", "Answers that broke off visibly", stats.cut_streams);
  list.counter("disordered_answers_total", "Answers of another request or out of order", stats.foreign_or_disordered);
  list.counter("claims_granted_total", "Idempotency keys granted", stats.claims_granted);
  list.counter("claims_refused_total", "Idempotency keys refused", stats.claims_refused);
  list.counter("answers_replayed_total", "Stored answers sent again", stats.answers_replayed);
  list.gauge("requests_active", "Requests being served", static_cast<double>(front.active()));
  list.counter("http_malformed_total", "Malformed HTTP requests", server.malformed);
  list.counter("http_too_large_total", "Requests over a size limit", server.too_large);
  list.counter("http_timeouts_total", "Callers too slow in sending", server.timeouts);
  list.gauge("http_connections", "Open callers' connections", static_cast<double>(server.open_connections));
}

void add_entry(MetricList& list, NodeRuntime& runtime) {
  const auto& entry = runtime.controller().entry();
  const TimePoint now = NodeRuntime::now();
  list.gauge("configuration_lease", "1 while this node may dispatch", entry.has_configuration_lease(now) ? 1 : 0);
  list.gauge("configuration_revision", "Revision this node serves by", static_cast<double>(entry.revision().value()));
  list.gauge("leased_groups", "Groups this node may dispatch to",
             static_cast<double>(entry.router().leased_groups(now)));
  list.counter("heartbeats_sent_total", "Reports to the leader", entry.stats().heartbeats_sent);
  list.counter("heartbeat_replies_total", "Replies accepted from the leader", entry.stats().replies);
  list.counter("leader_changes_total", "Changes of the leader followed", entry.stats().leader_changes);
  const auto& peers = runtime.peer_stats();
  list.counter("peer_bytes_sent_total", "Bytes sent to other nodes", peers.bytes_sent);
  list.counter("peer_bytes_received_total", "Bytes received from other nodes", peers.bytes_received);
  list.counter("peer_frames_sent_total", "Messages sent to other nodes", peers.frames_sent);
  list.counter("peer_silent_links_total", "Links dropped because nothing came back", peers.silent_links);
  list.counter("peer_bad_frames_total", "Frames that were not ours or damaged", peers.bad_frames);
  list.counter("engine_polls_total", "Polls of watched machines", runtime.stats().polls);
  list.counter("engine_poll_failures_total", "Polls without an answer", runtime.stats().poll_failures);
  list.counter("engine_poll_mismatches_total", "Answers from another machine or place",
               runtime.stats().poll_mismatches);
}

void add_replica(MetricList& list, NodeRuntime& runtime) {
  const auto* raft = runtime.controller().raft();
  list.gauge("replica_running", "1 while this node holds a replica of the log", raft == nullptr ? 0 : 1);
  if (raft == nullptr) {
    return;
  }
  const bool leads = runtime.controller().acts_as_leader(NodeRuntime::now());
  list.gauge("leader", "1 while this node leads with a valid lease", leads ? 1 : 0);
  list.gauge("log_term", "Present term", static_cast<double>(raft->term()));
  list.gauge("log_commit_index", "Committed entries", static_cast<double>(raft->commit_index()));
  list.counter("elections_total", "Elections this replica started", raft->stats().elections_started);
  list.counter("rollbacks_detected_total", "Replicas whose disk had lost entries", raft->stats().rollbacks_detected);
  const auto storage = runtime.storage_stats();
  list.counter("storage_syncs_total", "Syncs of the data folder", storage.syncs);
  list.counter("storage_records_total", "Records written", storage.records);
  list.counter("storage_bytes_total", "Bytes written", storage.bytes);
  if (leads) {
    const auto& leader = runtime.controller().leader();
    const auto& groups = leader.groups();
    list.gauge("stranded_accelerators", "Idle accelerators whose group cannot form",
               static_cast<double>(groups.last_plan().stranded_accelerators));
    list.counter("groups_lost_total", "Groups that lost a member", groups.stats().groups_lost);
    list.counter("groups_created_total", "Groups planned", groups.stats().groups_created);
    list.counter("orders_fenced_total", "Orders that an engine refused as old", groups.stats().orders_fenced);
    list.counter("claims_total", "Claims decided", leader.stats().claims);
    list.counter("claim_batches_total", "Log entries that carried claims", leader.stats().claim_batches);
  }
}

}  // namespace

std::string render_metrics(NodeRuntime& runtime, const RequestFront& front, const net::HttpServerStats& server) {
  MetricList list;
  add_front(list, front, server);
  add_entry(list, runtime);
  add_replica(list, runtime);
  return list.text();
}

}  // namespace larchlever::node
