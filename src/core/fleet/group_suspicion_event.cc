#include "core/fleet/group_suspicion_event.h"

namespace larchlever::fleet {

const char* to_string(SuspicionCause cause) {
  switch (cause) {
    case SuspicionCause::kStreamsSilent:
      return "streams silent";
    case SuspicionCause::kEntriesReportSilence:
      return "entries report silence";
    case SuspicionCause::kEntriesReportFailure:
      return "entries report a failure";
    case SuspicionCause::kMemberRefused:
      return "member refuses connections";
    case SuspicionCause::kMemberSilent:
      return "member silent";
  }
  return "";
}

}  // namespace larchlever::fleet
