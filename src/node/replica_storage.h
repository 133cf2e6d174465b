#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "core/base/ids.h"
#include "node/storage_worker.h"
#include "storage/data_folder.h"

namespace larchlever::node {

/// Returns a new random identity for a data folder.
ReplicaId new_replica_id();

/// Assigns the identity of `founder` to an empty folder and writes the first log of a new cluster with it as the only
/// voter.
std::optional<storage::StorageError> initialize_cluster(storage::DataFolder& folder,
                                                        const wire::ReplicaAddress& founder);

/// The data folder of a control replica, written on its own thread. Callbacks run on the executor. Not thread-safe.
class ReplicaStorage {
 public:
  using OnWritten = std::function<void(std::vector<consensus::RaftOutput>)>;
  using OnFailure = std::function<void(const std::string& reason)>;

  /// Contents of the folder when it was opened.
  struct OpenedReplica {
    ReplicaId replica_id;
    consensus::PersistedState persisted;
    /// Increases each time the folder is opened.
    Incarnation boot;
    /// Last content saved by `submit_state_copy`; empty if there is none.
    std::string state_copy;
    /// Last choice saved by `store_formation`; nothing if this replica does not take part in forming a new fleet, or
    /// the folder already holds a log.
    std::optional<std::string> formation;

    bool holds_log() const { return !persisted.entries.empty() || persisted.snapshot.index > 0; }
  };

  ReplicaStorage(boost::asio::any_io_executor executor, std::string path, OnWritten on_written, OnFailure on_failure);
  ~ReplicaStorage();
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  /// Opens the folder and assigns an identity to an empty one. Returns nothing with `error` set on failure.
  std::optional<OpenedReplica> open(std::string& error);
  /// Records that this replica takes part in forming a new fleet, and which founder it chose (empty before it has
  /// chosen). Durable on return; returns false with `error` set if the write fails.
  bool store_formation(const std::string& choice, std::string& error);
  /// Creates the first log of a new fleet, with this replica at `node` as the only voter. The folder must not hold a
  /// log.
  std::optional<OpenedReplica> create_first_log(const std::string& node, const std::string& zone, std::string& error);
  /// Retires the log and starts an empty one under a new identity.
  std::optional<OpenedReplica> renew_identity(std::string& error);
  void submit(consensus::RaftOutput batch);
  /// Saves state that speeds up the next start; it may be lost.
  void submit_state_copy(std::string content);
  /// Writes the batches submitted so far and stops. No further callbacks run.
  void close();

 private:
  /// Increments the boot counter on disk, which unlike a clock cannot go back. Returns nothing if the write fails.
  std::optional<Incarnation> increment_boot_count(std::string& error);
  /// Atomically replaces a small file beside the log. Durable if it returns true.
  bool replace_file(const std::string& name, const std::string& text, std::string& error) const;
  std::optional<std::string> read_formation_file() const;
  void remove_formation_file() const;
  /// Syncs the folder's entries, so that a rename in it is durable.
  bool sync_folder() const;
  void start_worker(std::unique_ptr<storage::DataFolder> folder);
  /// Stops the worker after it has written all submitted batches, and discards its pending callbacks. Returns null if
  /// the folder failed.
  std::unique_ptr<storage::DataFolder> stop_worker();

  boost::asio::any_io_executor executor_;
  std::string path_;
  OnWritten on_written_;
  OnFailure on_failure_;
  storage::FileSystem file_system_;
  std::unique_ptr<StorageWorker> worker_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace larchlever::node
