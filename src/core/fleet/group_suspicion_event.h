#pragma once

#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Why the leader doubts a group.
enum class SuspicionCause {
  kStreamsSilent,         ///< Most entries with streams there report them as overdue.
  kEntriesReportSilence,  ///< Entries got no answer in time.
  kEntriesReportFailure,  ///< Entries report that the head failed, for example that it refused connections.
  kMemberRefused,         ///< No process listens at a member's address.
  kMemberSilent,          ///< A member's heartbeats are missing.
};
const char* to_string(SuspicionCause cause);

/// What the leader concluded about a group.
enum class SuspicionStep {
  kSuspected,  ///< It gets no requests for now.
  kCleared,    ///< It gets requests again.
  kGivenUp,    ///< It is dissolved.
};

/// One conclusion of the leader about a group that failed or seems to have failed, for the log.
struct SuspicionEvent {
  SuspicionStep step = SuspicionStep::kSuspected;
  std::string group;
  SuspicionCause cause = SuspicionCause::kStreamsSilent;
  /// How long the group had been silent, as far as the leader knows.
  Duration silent_for{};
  /// The entries whose reports led to the conclusion.
  std::vector<std::string> entries;
};

}  // namespace larchlever::fleet
