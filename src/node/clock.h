#pragma once

#include "net/clock.h"

namespace larchlever::node {

using net::monotonic_now;

}  // namespace larchlever::node
