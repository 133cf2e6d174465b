#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "consensus/raft_node.h"
#include "storage/data_folder.h"

namespace larchlever::node {

/// Writes batches to the data folder on its own thread, so that a sync never blocks the node. Batches that arrive
/// during one sync share the next one (group commit).
///
/// `on_written` runs on the worker's thread with the batches just synced, in order. `on_failure` runs once with the
/// error; nothing is written after it.
class StorageWorker {
 public:
  using OnWritten = std::function<void(std::vector<consensus::RaftOutput>)>;
  using OnFailure = std::function<void(storage::StorageError)>;

  StorageWorker(std::unique_ptr<storage::DataFolder> folder, OnWritten on_written, OnFailure on_failure);
  ~StorageWorker();
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;

  void submit(consensus::RaftOutput batch);
  /// Saves a copy of the state beside the log, after the batches submitted so far. If several are pending, only the
  /// newest is written.
  void submit_state_copy(std::string content);
  /// Writes all submitted batches, ends the thread and returns the folder. A pending copy of the state may be dropped.
  std::unique_ptr<storage::DataFolder> stop();
  storage::StorageStats stats() const;

 private:
  void run();
  /// Returns false if the folder failed.
  bool write_batches(std::vector<consensus::RaftOutput> batches);

  std::unique_ptr<storage::DataFolder> folder_;
  OnWritten on_written_;
  OnFailure on_failure_;
  mutable std::mutex mutex_;
  std::condition_variable work_available_;
  std::deque<consensus::RaftOutput> queue_;
  std::optional<std::string> state_copy_;
  storage::StorageStats stats_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace larchlever::node
