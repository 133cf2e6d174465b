#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "larchlever_types.h"

namespace larchlever::wire {

/// Serializes a Thrift struct with the compact protocol. Thread-safe. `Message` is any generated struct.
template <typename Message>
std::string encode(const Message& message);

/// Parses bytes created by `encode`. Returns nothing if they are truncated or malformed; never throws. Container and
/// string sizes are limited by `bytes.size()`, so malicious input cannot cause larger allocations than its own size.
template <typename Message>
std::optional<Message> decode(std::string_view bytes);

}  // namespace larchlever::wire
