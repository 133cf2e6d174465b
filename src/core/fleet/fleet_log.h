#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/document/configuration_document.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// A document as it goes into the log: compressed when it is large.
wire::DocumentChange pack_document(int64_t version, std::string content);
/// The content that was packed; nothing when it is damaged.
std::optional<std::string> unpack_document(const wire::DocumentChange& packed);

/// The replicated state of a registered fleet: the configuration document with the highest version ever committed, and
/// the zones that operators evacuated. Orders on zones take effect in the order in which they were committed: they
/// carry no version, so a late repeat cannot be told from a new order. Applying the same entries in the same order
/// gives the same state on every replica. No clock, no I/O.
class FleetLog {
 public:
  /// Applies a committed command; a document whose version is not above the held one changes nothing, nor does an order
  /// on a zone that is carried out already.
  void apply(int64_t index, std::string_view payload);
  std::string snapshot() const;
  /// False when the bytes are unreadable; the state is then unchanged.
  bool restore(std::string_view bytes);

  int64_t applied_index() const { return applied_index_; }
  int64_t document_version() const { return packed_document_.version; }
  const std::string& document_content() const { return document_content_; }
  /// The document as it is stored and sent: compressed where that is worth it.
  const wire::DocumentChange& packed_document() const { return packed_document_; }
  const wire::ZoneEvacuations& evacuations() const { return evacuations_; }
  /// Null before the first document.
  const std::shared_ptr<const document::ConfigurationDocument>& parsed_document() const { return parsed_document_; }

 private:
  int64_t applied_index_ = 0;
  /// Takes the document if it can be read.
  bool set_document(wire::DocumentChange change);

  wire::DocumentChange packed_document_;
  std::string document_content_;
  wire::ZoneEvacuations evacuations_;
  std::shared_ptr<const document::ConfigurationDocument> parsed_document_;
};

}  // namespace larchlever::fleet
