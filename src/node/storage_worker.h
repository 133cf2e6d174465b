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

/// Writes batches to the data folder on a thread of its own, so that a sync never holds up the node. Batches that pile
/// up during one sync share the next: group commit.
///
/// `on_written` runs on the worker's thread with the batches just synced, in order; `on_failure` once, with the reason,
/// after which nothing more is written.
class StorageWorker {
 public:
  using OnWritten = std::function<void(std::vector<consensus::RaftOutput>)>;
  using OnFailure = std::function<void(storage::StorageError)>;

  StorageWorker(std::unique_ptr<storage::DataFolder> folder, OnWritten on_written, OnFailure on_failure);
  ~StorageWorker();
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;

  void submit(consensus::RaftOutput batch);
  /// Keeps a copy of state beside the log, after the batches submitted before. Only the newest of several is written.
  void submit_state_copy(std::string content);
  /// Finishes what was submitted and ends the thread; returns the folder.
  std::unique_ptr<storage::DataFolder> stop();
  storage::StorageStats stats() const;

 private:
  void run();
  /// False when the folder failed.
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
