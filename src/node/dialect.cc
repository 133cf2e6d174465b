#include "node/dialect.h"

#include "platform/platform_dialect.h"

namespace larchlever::node {

const Dialect* find_dialect(const std::string& name) {
  static const Dialect default_dialect;
  if (name == "larchlever") {
    return &default_dialect;
  }
  return name == "platform" ? &platform::platform_dialect() : nullptr;
}

}  // namespace larchlever::node
