#include "node/storage_worker.h"

namespace larchlever::node {

StorageWorker::StorageWorker(std::unique_ptr<storage::DataFolder> folder, OnWritten on_written, OnFailure on_failure)
    : folder_(std::move(folder)), on_written_(std::move(on_written)), on_failure_(std::move(on_failure)) {
  thread_ = std::thread([this] { run(); });
}

StorageWorker::~StorageWorker() { stop(); }

void StorageWorker::submit(consensus::RaftOutput batch) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(batch));
  }
  work_available_.notify_one();
}

std::unique_ptr<storage::DataFolder> StorageWorker::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
  return std::move(folder_);
}

storage::StorageStats StorageWorker::stats() const {
  const std::lock_guard lock(mutex_);
  return stats_;
}

void StorageWorker::submit_state_copy(std::string content) {
  {
    const std::lock_guard lock(mutex_);
    state_copy_ = std::move(content);
  }
  work_available_.notify_one();
}

bool StorageWorker::write_batches(std::vector<consensus::RaftOutput> batches) {
  std::vector<const consensus::RaftOutput*> pointers;
  pointers.reserve(batches.size());
  for (const auto& batch : batches) {
    pointers.push_back(&batch);
  }
  const auto error = folder_->write(pointers);
  {
    const std::lock_guard lock(mutex_);
    stats_ = folder_->stats();
  }
  if (error) {
    on_failure_(*error);
    return false;
  }
  on_written_(std::move(batches));
  return true;
}

void StorageWorker::run() {
  while (true) {
    std::vector<consensus::RaftOutput> batches;
    std::optional<std::string> copy;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return stopping_ || state_copy_ || !queue_.empty(); });
      if (stopping_ && queue_.empty()) {
        return;
      }
      batches.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
      queue_.clear();
      // The log has priority; a copy is written only when no batch is waiting.
      if (batches.empty()) {
        copy.swap(state_copy_);
      }
    }
    if (!batches.empty() && !write_batches(std::move(batches))) {
      return;
    }
    if (copy) {
      folder_->save_state_copy(*copy);  // A lost copy only makes the next start slower.
    }
  }
}

}  // namespace larchlever::node
