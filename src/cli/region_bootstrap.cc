#include "cli/region_bootstrap.h"

#include "node/replica_storage.h"
#include "storage/data_folder.h"

namespace larchlever::cli {

bool bootstrap_region(const settings::NodeSettings& node_settings, std::string& error, bool allow_existing) {
  storage::FileSystem file_system;
  storage::StorageError open_error;
  auto folder = storage::DataFolder::open(node_settings.data_folder, file_system, open_error);
  if (folder == nullptr) {
    error = open_error.message;
    return false;
  }
  if (folder->replica_id() != ReplicaId()) {
    error = "data folder " + node_settings.data_folder +
            " already belongs to a region; bootstrap only the first node of a new one";
    return allow_existing;
  }
  wire::ReplicaAddress address;
  address.replica_id = node::new_replica_id().value();
  address.node = node_settings.name;
  address.zone = node_settings.zone;
  const auto initialize_error = node::initialize_cluster(*folder, address);
  error = initialize_error ? initialize_error->message : "";
  return !initialize_error;
}

}  // namespace larchlever::cli
