#include "node/client_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace larchlever::node {

namespace {

/// Bodies of requests may use one part in this many of the process's memory.
constexpr size_t kBodyBudgetDivisor = 4;
/// Without `memory_mb`, the process may be allowed much less memory than the machine has. This fits into 256 MB.
constexpr size_t kMaxDefaultBodyBudgetBytes = 64U << 20U;

size_t machine_memory_bytes() {
  const auto pages = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PHYS_PAGES)));
  const auto page_size = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PAGESIZE)));
  return pages * page_size;
}

size_t body_budget_bytes(const settings::FleetSettings& settings) {
  if (settings.request_buffer_bytes > 0) {
    return settings.request_buffer_bytes;
  }
  if (settings.memory_bytes > 0) {
    return settings.memory_bytes / kBodyBudgetDivisor;
  }
  return std::min(machine_memory_bytes() / kBodyBudgetDivisor, kMaxDefaultBodyBudgetBytes);
}

size_t max_descriptors(const settings::FleetSettings& settings) {
  rlimit limit{};
  const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const size_t allowed = is_known ? limit.rlim_cur : SIZE_MAX;
  return settings.max_descriptors > 0 ? std::min(settings.max_descriptors, allowed) : allowed;
}

size_t divisor_of(DescriptorShare share) {
  switch (share) {
    case DescriptorShare::kMainListener:
      return 2;
    case DescriptorShare::kRelayListener:
      return 8;
    case DescriptorShare::kReadinessListener:
      return 16;
  }
  return 2;
}

}  // namespace

std::shared_ptr<requests::BodyBudget> make_body_budget(const settings::FleetSettings& settings) {
  return std::make_shared<requests::BodyBudget>(body_budget_bytes(settings));
}

size_t max_connections(const settings::FleetSettings& settings, DescriptorShare share) {
  const size_t part = std::max<size_t>(1, max_descriptors(settings) / divisor_of(share));
  return std::min(net::HttpServerOptions().max_connections, part);
}

net::HttpServerOptions make_server_options(const settings::FleetSettings& settings, DescriptorShare share) {
  net::HttpServerOptions options;
  options.max_connections = max_connections(settings, share);
  return options;
}

}  // namespace larchlever::node
