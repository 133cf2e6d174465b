#include "cli/region_start.h"

#include <random>

#include "storage/data_folder.h"

namespace larchlever::cli {

bool begin_region(const settings::NodeSettings& first, std::string& error, bool may_exist) {
  storage::FileSystem file_system;
  storage::StorageError failure;
  auto folder = storage::DataFolder::open(first.data_folder, file_system, failure);
  if (folder == nullptr) {
    error = failure.message;
    return false;
  }
  if (folder->replica_id() != ReplicaId()) {
    error =
        "data folder " + first.data_folder + " already belongs to a region; bootstrap only the first node of a new one";
    return may_exist;
  }
  std::random_device source;
  wire::ReplicaAddress address;
  address.replica_id = static_cast<int64_t>(((static_cast<uint64_t>(source()) << 32U) | source()) >> 1U);
  address.node = first.name;
  address.zone = first.zone;
  const auto state = consensus::RaftNode::bootstrap(address);
  consensus::RaftOutput output;
  output.hard_state = state.hard_state;
  output.entries = state.entries;
  auto problem = folder->assign_identity(ReplicaId(address.replica_id));
  if (!problem) {
    problem = folder->write({&output});
  }
  error = problem ? problem->message : "";
  return !problem;
}

}  // namespace larchlever::cli
