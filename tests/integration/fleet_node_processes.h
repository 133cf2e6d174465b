#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "child_process.h"

namespace larchlever::integration {

struct FleetNodeOptions {
  /// Three control replicas, one of which may be lost.
  static FleetNodeOptions with_three_replicas(int entries);

  int control_replicas = 5;
  int entries = 2;
  /// Number of control replicas, from the first on, that are seeds in the settings of every node.
  int seeds = 3;
  int tolerated_losses = 2;
  /// Further lines of the section `node` in the settings of entries.
  std::string entry_settings;
  /// Lines of the section `bounds` in the settings of every node.
  std::string bounds_settings;
  /// Lines of the section `admission` in the settings of every node.
  std::string admission_settings;
  /// Entries connect to servers from their own address, so that a proxy can tell them apart.
  bool binds_entries_to_own_address = false;
  /// Timeout of the route to the plain service `forms`.
  std::chrono::milliseconds forms_timeout{4000};
  /// Maximum number of attempts on the routes to `forms`.
  int forms_max_attempts = 2;
  /// Timeout of the routes to the models.
  std::chrono::milliseconds chat_timeout{4000};
  /// Limit on the time until a request's head is complete.
  std::chrono::milliseconds header_timeout{3000};
  /// Limit on the open descriptors of each node; 0 for that of the test process.
  int max_descriptors = 0;
};

/// A request of the route `orders`, which may run at most once.
net::HttpRequest make_order(const std::string& id);

/// Host of the route to the models whose streams may be resumed, and of the one whose streams may not.
constexpr const char* kResumableHost = "chat.example";
constexpr const char* kNonResumableHost = "chat-once.example";
/// A request of one of these routes.
net::HttpRequest make_stream_request(const std::string& host, const std::string& model, const std::string& id,
                                     std::chrono::milliseconds deadline);
/// Whole response to a streaming request with this number of events.
std::string make_stream_body(int events);

/// Runs the control replicas `c1`, `c2`, ... and the entries `e1`, `e2`, ... of a registered fleet as `fleet-node`
/// processes. Each node has a loopback address of its own; all use the same ports. Only processes started here are
/// ended.
class FleetNodeProcesses {
 public:
  /// Version of the configuration document that `start_serving` sends.
  static constexpr int64_t kFirstDocumentVersion = 7;
  /// API key of the tenant `office`, which only the route to `office.example` requires.
  static constexpr const char* kOfficeKey = "office-key";
  /// API key of the tenant `archive`, which that route accepts as well.
  static constexpr const char* kArchiveKey = "archive-key";

  explicit FleetNodeProcesses(const FleetNodeOptions& options);
  ~FleetNodeProcesses();
  FleetNodeProcesses(const FleetNodeProcesses&) = delete;
  FleetNodeProcesses& operator=(const FleetNodeProcesses&) = delete;

  std::vector<std::string> control_replicas() const;
  std::vector<std::string> entries() const;
  std::vector<std::string> all_nodes() const;
  /// Starts a node with its settings file, which is written first if it does not exist.
  void start(const std::string& node);
  /// The same, with the path of the settings file passed only in the environment.
  void start_with_settings_from_environment(const std::string& node);
  /// The same, with a full pipe as standard output.
  void start_with_full_output_pipe(const std::string& node);
  void start_without_standard_descriptors(const std::string& node);
  void start_all();
  /// Starts all nodes, sends the first configuration document and waits until every entry is ready. Fails if one of
  /// these steps takes longer than `timeout`.
  testing::AssertionResult start_serving(std::chrono::milliseconds timeout);
  /// Writes the settings file of a node and returns its path.
  std::filesystem::path write_settings(const std::string& node, bool first_start = true);
  void signal(const std::string& node, int number);
  void kill(const std::string& node);
  /// Sends SIGTERM, waits until the process has ended and returns its exit code.
  int terminate(const std::string& node);
  void wipe_data(const std::string& node);
  bool is_running(const std::string& node);
  std::string log(const std::string& node) const;
  /// Process id of the last start.
  int process_id(const std::string& node) const { return processes_.at(node).pid; }
  /// Resident memory of the process in bytes; 0 if it has ended.
  size_t resident_bytes(const std::string& node) const;
  /// Largest resident memory of the process since its start in bytes; 0 if it has ended.
  size_t peak_resident_bytes(const std::string& node) const;
  /// Number of open descriptors of the process; 0 if it has ended.
  size_t open_descriptors(const std::string& node) const;

  /// Sends a request to the API of a control replica.
  net::FetchResult call_control(const std::string& node, const std::string& method, const std::string& path,
                                const std::string& body = "");
  /// Sends a streaming request for a model through an entry. `client` belongs to the calling thread.
  net::FetchResult call_model(BlockingClient& client, const std::string& entry, const std::string& model,
                              const std::string& request_id, const std::string& body = "{}",
                              const std::string& prompt_parts = "") const;
  /// Sends a request for the plain service `forms` through an entry: a POST if `body` is not empty, otherwise a GET.
  /// `timeout` is sent as the deadline of the request; the client waits for one second more.
  net::FetchResult call_forms(BlockingClient& client, const std::string& entry, const std::string& request_id,
                              const std::string& body = "",
                              std::chrono::milliseconds timeout = std::chrono::seconds(2)) const;
  /// Sends a GET for the plain service `forms` on the route that requires an API key.
  net::FetchResult call_forms_with_key(BlockingClient& client, const std::string& entry, const std::string& request_id,
                                       const std::string& key) const;
  /// Sends a request for the plain service `forms` with a deadline of several seconds and closes the connection after
  /// `patience`.
  net::FetchResult call_forms_for(BlockingClient& client, const std::string& entry, const std::string& request_id,
                                  std::chrono::milliseconds patience) const;
  /// Loopback addresses for simulated servers of this fleet.
  std::vector<std::string> engine_addresses(int count) const;
  bool is_ready(const std::string& node);
  /// Sends a configuration document to one control replica after another until one accepts it. Returns false if none
  /// has within `timeout`.
  bool put_document(int64_t version, std::chrono::milliseconds timeout);
  /// The same with a document in which the tenant has no API key.
  bool put_document_without_keys(int64_t version, std::chrono::milliseconds timeout);
  /// Version of the configuration document that a control replica returns; 0 if it returns none.
  int64_t document_version_at(const std::string& node);
  bool wait_until_entries_ready(std::chrono::milliseconds timeout);

  std::string address(const std::string& node) const;
  std::string control_endpoint(const std::string& node) const;
  std::vector<std::string> control_endpoints() const;
  /// Address at which the entry relays requests of other entries.
  std::string relay_endpoint(const std::string& entry) const;
  /// Address at which the entry accepts requests from callers.
  std::string caller_endpoint(const std::string& entry) const;
  const std::filesystem::path& folder() const { return folder_; }

 private:
  struct Process {
    int pid = -1;
    int start_count = 0;
  };

  bool put_content(const std::string& document, std::chrono::milliseconds timeout);
  void spawn(const std::string& node, const std::vector<std::string>& arguments,
             const std::vector<std::string>& environment, OutputTarget output = OutputTarget::kFile);
  std::string settings_flag(const std::string& node) const;
  /// Value of a field in /proc/PID/status that is given in kB, in bytes; 0 if the process has ended.
  size_t read_status_bytes(const std::string& node, const std::string& field) const;
  std::filesystem::path log_path(const std::string& node, int start) const;

  FleetNodeOptions options_;
  std::filesystem::path folder_;
  BlockingClient client_;
  std::map<std::string, Process> processes_;
};

}  // namespace larchlever::integration
