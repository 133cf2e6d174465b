#include "cli/region_start.h"

#include "node/replica_storage.h"
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
  wire::ReplicaAddress address;
  address.replica_id = node::new_replica_id().value();
  address.node = first.name;
  address.zone = first.zone;
  const auto problem = node::initialize_cluster(*folder, address);
  error = problem ? problem->message : "";
  return !problem;
}

}  // namespace larchlever::cli
