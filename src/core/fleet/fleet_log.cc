#include "core/fleet/fleet_log.h"

#include "core/base/compression.h"
#include "core/fleet/zone_evacuations.h"
#include "wire/codec.h"

namespace larchlever::fleet {

namespace {

/// Smaller documents are not compressed.
constexpr size_t kMinCompressedSizeBytes = 4096;

}  // namespace

wire::DocumentChange pack_document(int64_t version, std::string content) {
  wire::DocumentChange change;
  change.version = version;
  if (content.size() < kMinCompressedSizeBytes) {
    change.content = std::move(content);
    return change;
  }
  change.content_size = static_cast<int64_t>(content.size());
  change.compressed_content = compress(content);
  return change;
}

std::optional<std::string> unpack_document(const wire::DocumentChange& packed) {
  if (packed.compressed_content.empty()) {
    return packed.content;
  }
  return decompress(packed.compressed_content, static_cast<size_t>(packed.content_size));
}

void FleetLog::apply(int64_t index, std::string_view payload) {
  applied_index_ = index;
  auto command = wire::decode<wire::Command>(payload);
  if (!command) {
    return;
  }
  if (command->__isset.document && command->document.version > packed_document_.version) {
    set_document(std::move(command->document));
  }
  if (command->__isset.zone_evacuation) {
    apply_evacuation(evacuations_, command->zone_evacuation);
  }
}

bool FleetLog::set_document(wire::DocumentChange change) {
  auto content = unpack_document(change);
  if (!content) {
    return false;
  }
  packed_document_ = std::move(change);
  document_content_ = std::move(*content);
  parsed_document_ = document::parse_document(document_content_).document;
  return true;
}

std::string FleetLog::snapshot() const {
  wire::FleetLogSnapshot snapshot;
  snapshot.version = packed_document_.version;
  snapshot.content = packed_document_.content;
  snapshot.compressed_content = packed_document_.compressed_content;
  snapshot.content_size = packed_document_.content_size;
  snapshot.evacuations = evacuations_;
  return wire::encode(snapshot);
}

bool FleetLog::restore(std::string_view bytes) {
  auto snapshot = wire::decode<wire::FleetLogSnapshot>(bytes);
  if (!snapshot) {
    return false;
  }
  wire::DocumentChange change;
  change.version = snapshot->version;
  change.content = std::move(snapshot->content);
  change.compressed_content = std::move(snapshot->compressed_content);
  change.content_size = snapshot->content_size;
  if (!set_document(std::move(change))) {
    return false;
  }
  evacuations_ = std::move(snapshot->evacuations);
  return true;
}

}  // namespace larchlever::fleet
