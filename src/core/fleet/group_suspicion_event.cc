#include "core/fleet/group_suspicion_event.h"

namespace larchlever::fleet {

const char* to_string(SuspicionCause cause) {
  switch (cause) {
    case SuspicionCause::kStreamsSilent:
      return "streams silent";
    case SuspicionCause::kEntriesReportFailure:
      return "entries report a failure";
  }
  return "";
}

}  // namespace larchlever::fleet
