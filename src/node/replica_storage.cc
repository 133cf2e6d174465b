#include "node/replica_storage.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <fstream>
#include <random>

namespace larchlever::node {

namespace {

constexpr const char* kBootFile = "boots";
constexpr int kFileMode = 0644;

}  // namespace

ReplicaId new_replica_id() {
  std::random_device source;
  const auto high = static_cast<uint64_t>(source()) << 32U;
  return ReplicaId(static_cast<int64_t>((high | source()) >> 1U));
}

std::optional<storage::StorageError> found_cluster(storage::DataFolder& folder, const wire::ReplicaAddress& founder) {
  const auto state = consensus::RaftNode::bootstrap(founder);
  consensus::RaftOutput output;
  output.hard_state = state.hard_state;
  output.entries = state.entries;
  auto problem = folder.assign_identity(ReplicaId(founder.replica_id));
  if (!problem) {
    problem = folder.write({&output});
  }
  return problem;
}

ReplicaStorage::ReplicaStorage(boost::asio::any_io_executor executor, std::string path, OnWritten on_written,
                               OnFailure on_failure)
    : executor_(std::move(executor)),
      path_(std::move(path)),
      on_written_(std::move(on_written)),
      on_failure_(std::move(on_failure)) {}

ReplicaStorage::~ReplicaStorage() { close(); }

std::optional<ReplicaStorage::Opened> ReplicaStorage::open(const std::optional<wire::ReplicaAddress>& founder,
                                                           std::string& error) {
  storage::StorageError failure;
  auto folder = storage::DataFolder::open(path_, file_system_, failure);
  if (folder == nullptr) {
    error = failure.message;
    return std::nullopt;
  }
  Opened opened;
  const auto boot = next_boot(error);
  if (!boot) {
    return std::nullopt;
  }
  opened.boot = *boot;
  if (folder->replica_id() != ReplicaId()) {
    opened.replica_id = folder->replica_id();
    opened.persisted = folder->take_recovered();
    opened.copy = folder->read_copy();
  } else {
    const auto problem = founder ? found_cluster(*folder, *founder) : folder->assign_identity(new_replica_id());
    if (problem) {
      error = problem->message;
      return std::nullopt;
    }
    opened.replica_id = folder->replica_id();
    if (founder) {
      opened.persisted = consensus::RaftNode::bootstrap(*founder);
    }
  }
  start_worker(std::move(folder));
  return opened;
}

std::optional<ReplicaStorage::Opened> ReplicaStorage::renew_identity(std::string& error) {
  auto folder = worker_ ? worker_->stop() : nullptr;
  worker_.reset();
  if (folder == nullptr) {
    error = "the data folder has failed";
    return std::nullopt;
  }
  const auto boot = next_boot(error);
  if (!boot) {
    return std::nullopt;
  }
  Opened opened;
  opened.boot = *boot;
  opened.replica_id = new_replica_id();
  if (const auto problem = folder->assign_identity(opened.replica_id)) {
    error = problem->message;
    return std::nullopt;
  }
  start_worker(std::move(folder));
  return opened;
}

std::optional<Incarnation> ReplicaStorage::next_boot(std::string& error) {
  const std::string file = path_ + "/" + kBootFile;
  int64_t boot = 0;
  std::ifstream(file) >> boot;
  ++boot;
  const std::string written = file + ".new";
  const std::string text = std::to_string(boot) + "\n";
  const int descriptor = ::open(written.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const bool stored =
      descriptor >= 0 && ::write(descriptor, text.data(), text.size()) == std::ssize(text) && ::fsync(descriptor) == 0;
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  if (!stored || ::rename(written.c_str(), file.c_str()) != 0) {
    error = "cannot write " + file + "; free space on the disk or correct its permissions";
    return std::nullopt;
  }
  const int folder = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder >= 0) {
    ::fsync(folder);
    ::close(folder);
  }
  return Incarnation(boot);
}

void ReplicaStorage::start_worker(std::unique_ptr<storage::DataFolder> folder) {
  const std::weak_ptr<bool> alive = alive_;
  worker_ = std::make_unique<StorageWorker>(
      std::move(folder),
      [this, alive](std::vector<consensus::RaftOutput> batches) {
        boost::asio::post(executor_, [this, alive, batches = std::move(batches)]() mutable {
          if (!alive.expired()) {
            on_written_(std::move(batches));
          }
        });
      },
      [this, alive](storage::StorageError problem) {
        boost::asio::post(executor_, [this, alive, problem = std::move(problem)] {
          if (!alive.expired()) {
            on_failure_(problem.message);
          }
        });
      });
}

void ReplicaStorage::submit(consensus::RaftOutput batch) {
  if (worker_) {
    worker_->submit(std::move(batch));
  }
}

void ReplicaStorage::submit_copy(std::string content) {
  if (worker_) {
    worker_->submit_copy(std::move(content));
  }
}

void ReplicaStorage::close() {
  alive_ = std::make_shared<bool>(true);  // What is still under way reports to nobody.
  worker_.reset();
}

}  // namespace larchlever::node
