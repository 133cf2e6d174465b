#include "node/dialect.h"

#include "platform/platform_dialect.h"

namespace larchlever::node {

const Dialect* find_dialect(const std::string& name) {
  static const Dialect own;
  if (name == "larchlever") {
    return &own;
  }
  return name == "platform" ? &platform::platform_dialect() : nullptr;
}

}  // namespace larchlever::node
