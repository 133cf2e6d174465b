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

/// A new random identity of a data folder.
ReplicaId new_replica_id();

/// Writes the first log of a new cluster, one voter, into an empty folder and gives the folder its identity.
std::optional<storage::StorageError> initialize_cluster(storage::DataFolder& folder,
                                                        const wire::ReplicaAddress& founder);

/// The data folder of one control replica, written on a thread of its own. What is reported back comes on the executor.
/// Not thread-safe.
class ReplicaStorage {
 public:
  using OnWritten = std::function<void(std::vector<consensus::RaftOutput>)>;
  using OnFailure = std::function<void(const std::string& reason)>;

  /// What the folder held when it was opened.
  struct OpenedReplica {
    ReplicaId replica_id;
    consensus::PersistedState persisted;
    /// Rises with every opening of this folder.
    Incarnation boot;
    /// What `submit_state_copy` kept last; empty when there is none.
    std::string state_copy;
    /// What `store_formation` kept; nothing when this folder takes part in forming no fleet, or holds a log.
    std::optional<std::string> formation;

    bool holds_log() const { return !persisted.entries.empty() || persisted.snapshot.index > 0; }
  };

  ReplicaStorage(boost::asio::any_io_executor executor, std::string path, OnWritten on_written, OnFailure on_failure);
  ~ReplicaStorage();
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  /// Opens the folder; an empty one gets an identity. Nothing with `error` set when it cannot be opened.
  std::optional<OpenedReplica> open(std::string& error);
  /// Notes that this folder takes part in forming a new fleet, and which founder it chose; empty while it has not. On
  /// disk when this returns; false with `error` set when it could not be written.
  bool store_formation(const std::string& choice, std::string& error);
  /// Makes the first log of a new fleet, whose only voter is this replica at `node`. The folder must hold no log.
  std::optional<OpenedReplica> create_first_log(const std::string& node, const std::string& zone, std::string& error);
  /// Sets the log aside and starts an empty one under a new identity.
  std::optional<OpenedReplica> renew_identity(std::string& error);
  void submit(consensus::RaftOutput batch);
  /// Keeps state that is handy at the next start, but not promised to survive.
  void submit_state_copy(std::string content);
  /// Stops writing; what was not written is dropped.
  void close();

 private:
  /// Counts the openings on disk, since clocks may be set back. Nothing when the disk refuses.
  std::optional<Incarnation> increment_boot_count(std::string& error);
  /// Replaces a small file beside the log; on disk when this returns true.
  bool replace_file(const std::string& name, const std::string& text, std::string& error) const;
  std::optional<std::string> read_formation_file() const;
  void remove_formation_file() const;
  bool sync_folder() const;
  void start_worker(std::unique_ptr<storage::DataFolder> folder);
  /// Ends the worker once all submitted is written; what it has to report is dropped. Null when the folder failed.
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
