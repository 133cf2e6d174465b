#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/document/configuration_document.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Encodes a document for the log; large documents are compressed.
wire::DocumentChange pack_document(int64_t version, std::string content);
/// Decodes a packed document; empty if the compressed data is corrupt.
std::optional<std::string> unpack_document(const wire::DocumentChange& packed);

/// The replicated state machine of a registered fleet: the configuration document with the highest committed version
/// and the evacuated zones. Zone changes take effect in commit order; they carry no version, so a delayed duplicate
/// cannot be distinguished from a new change. Applying the same entries in the same order gives the same state on every
/// replica. No clock, no I/O.
class FleetLog {
 public:
  /// Applies a committed command. Documents that are not newer than the current one and zone changes that are already
  /// in effect are ignored.
  void apply(int64_t index, std::string_view payload);
  std::string snapshot() const;
  /// Restores a snapshot. Returns false and keeps the state if the snapshot cannot be decoded.
  bool restore(std::string_view bytes);

  int64_t applied_index() const { return applied_index_; }
  int64_t document_version() const { return packed_document_.version; }
  const std::string& document_content() const { return document_content_; }
  /// The document as it is stored and sent; compressed if large.
  const wire::DocumentChange& packed_document() const { return packed_document_; }
  const wire::ZoneEvacuations& evacuations() const { return evacuations_; }
  /// Null before the first document.
  const std::shared_ptr<const document::ConfigurationDocument>& parsed_document() const { return parsed_document_; }

 private:
  int64_t applied_index_ = 0;
  /// Replaces the document. Returns false and keeps the old one if it cannot be unpacked.
  bool set_document(wire::DocumentChange change);

  wire::DocumentChange packed_document_;
  std::string document_content_;
  wire::ZoneEvacuations evacuations_;
  std::shared_ptr<const document::ConfigurationDocument> parsed_document_;
};

}  // namespace larchlever::fleet
