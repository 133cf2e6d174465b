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
  int control_replicas = 5;
  int entries = 2;
  /// How many of the control replicas, from the first, every node is told as seeds.
  int seeds = 3;
  int tolerated_losses = 2;
  /// Further lines of the entries' section `node`.
  std::string entry_settings;
  /// Longest time that a request of the plain service is held.
  std::chrono::milliseconds forms_timeout{4000};
};

/// Control replicas `c1`, `c2`, ... and entries `e1`, `e2`, ... of a registered fleet as real processes of
/// `fleet-node`, each on a loopback address of its own, all on the same ports. Ends only what it started.
class FleetNodeProcesses {
 public:
  /// Version of the document that `start_serving` sends.
  static constexpr int64_t kFirstDocumentVersion = 7;

  explicit FleetNodeProcesses(const FleetNodeOptions& options);
  ~FleetNodeProcesses();
  FleetNodeProcesses(const FleetNodeProcesses&) = delete;
  FleetNodeProcesses& operator=(const FleetNodeProcesses&) = delete;

  std::vector<std::string> control_replicas() const;
  std::vector<std::string> entries() const;
  std::vector<std::string> all_nodes() const;
  /// Starts a process by its settings file, which is written when none stands yet.
  void start(const std::string& node);
  /// The same, with the file named by the environment alone.
  void start_with_settings_from_environment(const std::string& node);
  /// The same, with a standard output that takes nothing.
  void start_with_full_output_pipe(const std::string& node);
  void start_without_standard_descriptors(const std::string& node);
  void start_all();
  /// Starts all, sends the first document and waits until every entry serves by it; each step within `deadline`.
  testing::AssertionResult start_serving(std::chrono::milliseconds deadline);
  /// Writes the settings file of a node and returns its path.
  std::filesystem::path write_settings(const std::string& node, bool first_start = true);
  void signal(const std::string& node, int number);
  void kill(const std::string& node);
  /// Asks a process to stop and waits for its end; its exit code.
  int terminate(const std::string& node);
  void wipe_data(const std::string& node);
  bool is_running(const std::string& node);
  std::string log(const std::string& node) const;
  /// Last start's process id.
  int process_id(const std::string& node) const { return processes_.at(node).pid; }
  /// Memory that the process holds now, in bytes; 0 when it is gone.
  size_t resident_bytes(const std::string& node) const;

  /// Sends a call to a control replica.
  net::FetchResult call_control(const std::string& node, const std::string& method, const std::string& path,
                                const std::string& body = "");
  /// Asks a model for a stream through an entry, with a client of the caller's own, which may live on another thread.
  net::FetchResult call_model(BlockingClient& client, const std::string& entry, const std::string& model,
                              const std::string& request_id, const std::string& body = "{}") const;
  /// Sends a request of the plain service through an entry, with a body by POST. Waits a second beyond its deadline.
  net::FetchResult call_forms(BlockingClient& client, const std::string& entry, const std::string& request_id,
                              const std::string& body = "",
                              std::chrono::milliseconds deadline = std::chrono::seconds(2)) const;
  /// Loopback addresses for stand-ins of engines that belong to this fleet.
  std::vector<std::string> engine_addresses(int count) const;
  bool is_ready(const std::string& node);
  /// Sends a document to one replica after the other until it is accepted; false after `deadline`.
  bool put_document(int64_t version, std::chrono::milliseconds deadline);
  /// The version that a replica reads back; 0 when it answers with none.
  int64_t document_version_at(const std::string& node);
  bool wait_until_entries_ready(std::chrono::milliseconds deadline);

  std::string address(const std::string& node) const;
  std::string control_endpoint(const std::string& node) const;
  std::vector<std::string> control_endpoints() const;
  /// Where callers send their requests.
  std::string caller_endpoint(const std::string& entry) const;
  const std::filesystem::path& folder() const { return folder_; }

 private:
  struct Process {
    int pid = -1;
    int starts = 0;
  };

  void spawn(const std::string& node, const std::vector<std::string>& arguments,
             const std::vector<std::string>& environment, OutputTarget output = OutputTarget::kFile);
  std::string settings_flag(const std::string& node) const;
  std::filesystem::path log_path(const std::string& node, int start) const;

  FleetNodeOptions options_;
  std::filesystem::path folder_;
  BlockingClient client_;
  std::map<std::string, Process> processes_;
};

}  // namespace larchlever::integration
