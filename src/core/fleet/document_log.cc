#include "core/fleet/document_log.h"

#include "wire/codec.h"

namespace larchlever::fleet {

void DocumentLog::apply(int64_t index, std::string_view payload) {
  applied_index_ = index;
  auto command = wire::decode<wire::Command>(payload);
  const bool newer = command && command->__isset.document && command->document.version > change_.version;
  if (!newer) {
    return;
  }
  change_ = std::move(command->document);
  parsed_ = document::parse_document(change_.content).document;
}

std::string DocumentLog::snapshot() const { return wire::encode(change_); }

bool DocumentLog::restore(std::string_view bytes) {
  auto change = wire::decode<wire::DocumentChange>(bytes);
  if (!change) {
    return false;
  }
  change_ = std::move(*change);
  parsed_ = document::parse_document(change_.content).document;
  return true;
}

}  // namespace larchlever::fleet
