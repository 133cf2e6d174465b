#pragma once

#include <cstdint>

#include "core/base/time.h"

namespace larchlever {

/// The duration multiplied by `factor`, rounded towards zero.
inline Duration scale_duration(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace larchlever
