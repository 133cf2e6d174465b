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
std::optional<storage::StorageError> found_cluster(storage::DataFolder& folder, const wire::ReplicaAddress& founder);

/// The data folder of one control replica, written on a thread of its own. What is reported back comes on the executor.
/// Not thread-safe.
class ReplicaStorage {
 public:
  using OnWritten = std::function<void(std::vector<consensus::RaftOutput>)>;
  using OnFailure = std::function<void(const std::string& reason)>;

  /// What the folder held when it was opened.
  struct Opened {
    ReplicaId replica_id;
    consensus::PersistedState persisted;
    /// Rises with every opening of this folder.
    Incarnation boot;
    /// What `submit_copy` kept last; empty when there is none.
    std::string copy;
  };

  ReplicaStorage(boost::asio::any_io_executor executor, std::string path, OnWritten on_written, OnFailure on_failure);
  ~ReplicaStorage();
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  /// Opens the folder; an empty one gets an identity, and the first log when `founder` is given. Nothing with `error`
  /// set when it cannot be opened.
  std::optional<Opened> open(const std::optional<wire::ReplicaAddress>& founder, std::string& error);
  /// Sets the log aside and starts an empty one under a new identity.
  std::optional<Opened> renew_identity(std::string& error);
  void submit(consensus::RaftOutput batch);
  /// Keeps state that is handy at the next start, but not promised to survive.
  void submit_copy(std::string content);
  /// Stops writing; what was not written is dropped.
  void close();

 private:
  /// Counts the openings on disk, since clocks may be set back. Nothing when the disk refuses.
  std::optional<Incarnation> next_boot(std::string& error);
  void start_worker(std::unique_ptr<storage::DataFolder> folder);

  boost::asio::any_io_executor executor_;
  std::string path_;
  OnWritten on_written_;
  OnFailure on_failure_;
  storage::FileSystem file_system_;
  std::unique_ptr<StorageWorker> worker_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace larchlever::node
