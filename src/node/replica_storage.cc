#include "node/replica_storage.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <fstream>
#include <random>

namespace larchlever::node {

namespace {

constexpr const char* kBootFile = "boots";
constexpr const char* kFormationFile = "formation";
constexpr int kFileMode = 0644;

}  // namespace

ReplicaId new_replica_id() {
  std::random_device source;
  const auto high = static_cast<uint64_t>(source()) << 32U;
  return ReplicaId(static_cast<int64_t>((high | source()) >> 1U));
}

namespace {

std::optional<storage::StorageError> write_first_log(storage::DataFolder& folder,
                                                     const consensus::PersistedState& first_state) {
  consensus::RaftOutput output;
  output.hard_state = first_state.hard_state;
  output.entries = first_state.entries;
  return folder.write({&output});
}

}  // namespace

std::optional<storage::StorageError> initialize_cluster(storage::DataFolder& folder,
                                                        const wire::ReplicaAddress& founder) {
  auto problem = folder.assign_identity(ReplicaId(founder.replica_id));
  if (!problem) {
    problem = write_first_log(folder, consensus::RaftNode::bootstrap(founder));
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

std::optional<ReplicaStorage::OpenedReplica> ReplicaStorage::open(std::string& error) {
  storage::StorageError failure;
  auto folder = storage::DataFolder::open(path_, file_system_, failure);
  if (folder == nullptr) {
    error = failure.message;
    return std::nullopt;
  }
  OpenedReplica opened;
  const auto boot = increment_boot_count(error);
  if (!boot) {
    return std::nullopt;
  }
  opened.boot = *boot;
  if (folder->replica_id() == ReplicaId()) {
    if (const auto problem = folder->assign_identity(new_replica_id())) {
      error = problem->message;
      return std::nullopt;
    }
  } else {
    opened.persisted = folder->take_recovered_state();
    opened.state_copy = folder->read_state_copy();
  }
  opened.replica_id = folder->replica_id();
  if (opened.holds_log()) {
    remove_formation_file();
  } else {
    opened.formation = read_formation_file();
  }
  start_worker(std::move(folder));
  return opened;
}

std::optional<ReplicaStorage::OpenedReplica> ReplicaStorage::create_first_log(const std::string& node,
                                                                              const std::string& zone,
                                                                              std::string& error) {
  auto folder = stop_worker();
  if (folder == nullptr) {
    error = "the data folder has failed";
    return std::nullopt;
  }
  const auto boot = increment_boot_count(error);
  if (!boot) {
    return std::nullopt;
  }
  OpenedReplica opened;
  opened.boot = *boot;
  opened.replica_id = folder->replica_id();
  wire::ReplicaAddress founder;
  founder.replica_id = opened.replica_id.value();
  founder.node = node;
  founder.zone = zone;
  opened.persisted = consensus::RaftNode::bootstrap(founder);
  if (const auto problem = write_first_log(*folder, opened.persisted)) {
    error = problem->message;
    return std::nullopt;
  }
  start_worker(std::move(folder));
  return opened;
}

std::optional<ReplicaStorage::OpenedReplica> ReplicaStorage::renew_identity(std::string& error) {
  auto folder = stop_worker();
  if (folder == nullptr) {
    error = "the data folder has failed";
    return std::nullopt;
  }
  const auto boot = increment_boot_count(error);
  if (!boot) {
    return std::nullopt;
  }
  remove_formation_file();  // The folder held a log, so the fleet has been formed.
  OpenedReplica opened;
  opened.boot = *boot;
  opened.replica_id = new_replica_id();
  if (const auto problem = folder->assign_identity(opened.replica_id)) {
    error = problem->message;
    return std::nullopt;
  }
  start_worker(std::move(folder));
  return opened;
}

std::optional<Incarnation> ReplicaStorage::increment_boot_count(std::string& error) {
  const std::string file = path_ + "/" + kBootFile;
  int64_t boot = 0;
  std::ifstream(file) >> boot;
  ++boot;
  if (!replace_file(kBootFile, std::to_string(boot) + "\n", error)) {
    return std::nullopt;
  }
  return Incarnation(boot);
}

bool ReplicaStorage::replace_file(const std::string& name, const std::string& text, std::string& error) const {
  const std::string file = path_ + "/" + name;
  const std::string temporary_file = file + ".new";
  const int descriptor = ::open(temporary_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const bool stored =
      descriptor >= 0 && ::write(descriptor, text.data(), text.size()) == std::ssize(text) && ::fsync(descriptor) == 0;
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  if (!stored || ::rename(temporary_file.c_str(), file.c_str()) != 0 || !sync_folder()) {
    error = "cannot write " + file + "; free disk space or correct the permissions";
    return false;
  }
  return true;
}

bool ReplicaStorage::sync_folder() const {
  const int folder = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = folder >= 0 && ::fsync(folder) == 0;
  if (folder >= 0) {
    ::close(folder);
  }
  return synced;
}

bool ReplicaStorage::store_formation(const std::string& choice, std::string& error) {
  return replace_file(kFormationFile, choice + "\n", error);
}

std::optional<std::string> ReplicaStorage::read_formation_file() const {
  std::ifstream file(path_ + "/" + kFormationFile);
  std::string choice;
  if (!file) {
    return std::nullopt;
  }
  std::getline(file, choice);
  return choice;
}

void ReplicaStorage::remove_formation_file() const {
  // If a power failure undoes the removal, the folder still holds a log, and the next start removes the file.
  ::unlink((path_ + "/" + kFormationFile).c_str());
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

void ReplicaStorage::submit_state_copy(std::string content) {
  if (worker_) {
    worker_->submit_state_copy(std::move(content));
  }
}

std::unique_ptr<storage::DataFolder> ReplicaStorage::stop_worker() {
  // Discard pending callbacks: a restarted replica numbers its batches from the beginning.
  alive_ = std::make_shared<bool>(true);
  auto folder = worker_ ? worker_->stop() : nullptr;
  worker_.reset();
  return folder;
}

void ReplicaStorage::close() { stop_worker(); }

}  // namespace larchlever::node
