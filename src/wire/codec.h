#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "larchlever_types.h"

namespace larchlever::wire {

/// Serialises a Thrift struct with the compact protocol. Thread-safe; `Message` is any generated struct.
template <typename Message>
std::string encode(const Message& message);

/// Parses bytes made by `encode`. Returns nothing when the bytes are truncated or malformed; never throws.
/// Container and string sizes are bounded by `bytes.size()`, so hostile input cannot allocate more than it sent.
template <typename Message>
std::optional<Message> decode(std::string_view bytes);

}  // namespace larchlever::wire
