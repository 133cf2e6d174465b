#include "core/fleet/document_log.h"

#include "core/base/compression.h"
#include "wire/codec.h"

namespace larchlever::fleet {

namespace {

/// Smaller documents are sent as they are.
constexpr size_t kWorthCompressing = 4096;

}  // namespace

wire::DocumentChange pack_document(int64_t version, std::string content) {
  wire::DocumentChange change;
  change.version = version;
  if (content.size() < kWorthCompressing) {
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

void DocumentLog::apply(int64_t index, std::string_view payload) {
  applied_index_ = index;
  auto command = wire::decode<wire::Command>(payload);
  const bool newer = command && command->__isset.document && command->document.version > change_.version;
  if (!newer) {
    return;
  }
  hold(std::move(command->document));
}

bool DocumentLog::hold(wire::DocumentChange change) {
  auto content = unpack_document(change);
  if (!content) {
    return false;
  }
  change_ = std::move(change);
  content_ = std::move(*content);
  parsed_ = document::parse_document(content_).document;
  return true;
}

std::string DocumentLog::snapshot() const { return wire::encode(change_); }

bool DocumentLog::restore(std::string_view bytes) {
  auto change = wire::decode<wire::DocumentChange>(bytes);
  if (!change) {
    return false;
  }
  return hold(std::move(*change));
}

}  // namespace larchlever::fleet
