#include "load/history.h"

#include <algorithm>
#include <map>
#include <set>

namespace larchlever::load {

namespace {

/// Tolerance for comparing times: callers and emulated back ends use the same wall clock, rounded to milliseconds.
constexpr int64_t kClockRoundingMs = 2;

std::string describe_request(const AttemptRecord& record) {
  return "request " + record.tag + (record.key.empty() ? "" : " (key " + record.key + ")") + " through " + record.node;
}

/// Returns true if the run started during an earlier attempt of this repeatable request whose outcome was not
/// "not-run". Without a key a node cannot relate the attempts of a request, so its outcome covers only the current
/// attempt.
bool belongs_to_earlier_attempt(const ExecutionRecord& run, const AttemptRecord& record,
                                const std::vector<AttemptRecord>& history) {
  if (!record.is_repeatable || !record.key.empty()) {
    return false;
  }
  return std::any_of(history.begin(), history.end(), [&](const AttemptRecord& other) {
    const bool is_earlier = other.tag == record.tag && other.done_ms <= record.sent_ms;
    const bool spans_run =
        other.sent_ms <= run.started_ms + kClockRoundingMs && run.started_ms <= other.done_ms + kClockRoundingMs;
    return is_earlier && spans_run && other.outcome != "not-run";
  });
}

/// Lists all attempts and runs of a request in order of time. A fault names only one of them; the others help to
/// explain it.
std::string describe_timeline(const std::string& tag, const std::vector<AttemptRecord>& history,
                              const std::vector<const ExecutionRecord*>& runs) {
  std::vector<std::pair<int64_t, std::string>> timeline_events;
  for (const auto& record : history) {
    if (record.tag != tag) {
      continue;
    }
    timeline_events.emplace_back(record.sent_ms,
                                 "sent to " + record.node + (record.is_repeatable ? ", safe" : ", unsafe"));
    timeline_events.emplace_back(record.done_ms, "answered by " + record.node + ": status " +
                                                     std::to_string(record.status) + ", outcome '" + record.outcome +
                                                     "'" + (record.is_complete ? ", whole" : ", cut"));
  }
  for (const auto* run : runs) {
    timeline_events.emplace_back(run->started_ms, "started on " + run->machine + " as " + run->request_id +
                                                      (run->completed ? ", completed" : ", ended"));
  }
  std::stable_sort(timeline_events.begin(), timeline_events.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::string timeline;
  for (const auto& [at_ms, text] : timeline_events) {
    timeline += "\n  " + std::to_string(at_ms) + " ms: " + text;
  }
  return timeline;
}

}  // namespace

std::vector<std::string> find_history_faults(const std::vector<AttemptRecord>& history,
                                             const std::vector<ExecutionRecord>& executions, NotRunScope scope) {
  std::vector<std::string> faults;
  std::map<std::string, std::vector<const ExecutionRecord*>> executions_by_tag;
  for (const auto& execution : executions) {
    executions_by_tag[execution.tag].push_back(&execution);
  }
  std::set<std::string> reported_duplicates;
  std::map<std::string, int64_t> last_sent_ms;
  for (const auto& record : history) {
    auto& last = last_sent_ms[record.tag];
    last = std::max(last, record.sent_ms);
  }
  for (const auto& record : history) {
    const auto& runs = executions_by_tag[record.tag];
    if (!record.is_repeatable && runs.size() > 1 && reported_duplicates.insert(record.tag).second) {
      faults.push_back("doubled: " + describe_request(record) + " ran " + std::to_string(runs.size()) + " times, on " +
                       runs[0]->machine + " and " + runs[1]->machine);
    }
    const bool success = record.status >= 200 && record.status < 300;
    if (success && record.is_complete && record.answer != record.expected) {
      faults.push_back("crossed or truncated: " + describe_request(record) + " got '" + record.answer +
                       "' instead of '" + record.expected + "'");
    }
    if (success && record.is_complete && runs.empty()) {
      faults.push_back("invented: " + describe_request(record) + " was answered but never ran");
    }
    if (record.outcome != "not-run") {
      continue;
    }
    for (const auto* run : runs) {
      // A later attempt of the same request may run it. But no run may have started before this answer, and none may
      // start after the answer to the last attempt.
      const bool ran_before_response =
          run->started_ms + kClockRoundingMs < record.done_ms && run->started_ms >= record.sent_ms;
      const bool is_earlier_attempt_run =
          scope == NotRunScope::kAttempt && belongs_to_earlier_attempt(*run, record, history);
      const bool ran_before_attempt = run->started_ms < record.sent_ms && !is_earlier_attempt_run;
      const bool ran_after_last_attempt =
          record.sent_ms == last_sent_ms[record.tag] && run->started_ms > record.done_ms;
      if (ran_before_response || ran_before_attempt || ran_after_last_attempt) {
        faults.push_back("false not-run: " + describe_request(record) + " ran on " + run->machine +
                         describe_timeline(record.tag, history, runs));
        break;
      }
    }
  }
  return faults;
}

}  // namespace larchlever::load
