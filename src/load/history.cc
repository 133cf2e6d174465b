#include "load/history.h"

#include <algorithm>
#include <map>
#include <set>

namespace larchlever::load {

namespace {

/// Callers and stand-ins read the same wall clock, rounded to milliseconds.
constexpr int64_t kClockRounding = 2;

std::string name_of(const HistoryRecord& record) {
  return "request " + record.tag + (record.key.empty() ? "" : " (key " + record.key + ")") + " through " + record.node;
}

/// The run began within an earlier attempt of this repeatable request whose caller was not told that it had not run.
/// Nothing ties attempts without a key together, so a node can speak of the attempt at hand alone.
bool belongs_to_earlier_attempt(const ExecutionRecord& run, const HistoryRecord& record,
                                const std::vector<HistoryRecord>& history) {
  if (!record.safe || !record.key.empty()) {
    return false;
  }
  return std::any_of(history.begin(), history.end(), [&](const HistoryRecord& other) {
    const bool is_earlier = other.tag == record.tag && other.done_ms <= record.sent_ms;
    const bool spans_run =
        other.sent_ms <= run.started_ms + kClockRounding && run.started_ms <= other.done_ms + kClockRounding;
    return is_earlier && spans_run && other.outcome != "not-run";
  });
}

/// Every attempt of a request and every run of it, in order of time: a fault names one of them, and which of the others
/// explains it is seen only beside them.
std::string story_of(const std::string& tag, const std::vector<HistoryRecord>& history,
                     const std::vector<const ExecutionRecord*>& runs) {
  std::vector<std::pair<int64_t, std::string>> moments;
  for (const auto& record : history) {
    if (record.tag != tag) {
      continue;
    }
    moments.emplace_back(record.sent_ms, "sent to " + record.node + (record.safe ? ", safe" : ", unsafe"));
    moments.emplace_back(record.done_ms, "answered by " + record.node + ": status " + std::to_string(record.status) +
                                             ", outcome '" + record.outcome + "'" +
                                             (record.whole ? ", whole" : ", cut"));
  }
  for (const auto* run : runs) {
    moments.emplace_back(run->started_ms, "begun on " + run->machine + " as " + run->request_id +
                                              (run->completed ? ", completed" : ", ended"));
  }
  std::stable_sort(moments.begin(), moments.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::string story;
  for (const auto& [at_ms, text] : moments) {
    story += "\n  " + std::to_string(at_ms) + " ms: " + text;
  }
  return story;
}

}  // namespace

std::vector<std::string> check_history(const std::vector<HistoryRecord>& history,
                                       const std::vector<ExecutionRecord>& executions, NotRunScope scope) {
  std::vector<std::string> faults;
  std::map<std::string, std::vector<const ExecutionRecord*>> by_tag;
  for (const auto& execution : executions) {
    by_tag[execution.tag].push_back(&execution);
  }
  std::set<std::string> doubled;
  std::map<std::string, int64_t> last_sent;
  for (const auto& record : history) {
    auto& last = last_sent[record.tag];
    last = std::max(last, record.sent_ms);
  }
  for (const auto& record : history) {
    const auto& runs = by_tag[record.tag];
    if (!record.safe && runs.size() > 1 && doubled.insert(record.tag).second) {
      faults.push_back("doubled: " + name_of(record) + " ran " + std::to_string(runs.size()) + " times, on " +
                       runs[0]->machine + " and " + runs[1]->machine);
    }
    const bool success = record.status >= 200 && record.status < 300;
    if (success && record.whole && record.answer != record.expected) {
      faults.push_back("crossed or truncated: " + name_of(record) + " got '" + record.answer + "' instead of '" +
                       record.expected + "'");
    }
    if (success && record.whole && runs.empty()) {
      faults.push_back("invented: " + name_of(record) + " was answered but never ran");
    }
    if (record.outcome != "not-run") {
      continue;
    }
    for (const auto* run : runs) {
      // Later sendings of the same request may run it; what had started when the caller was told may not exist, nor
      // may anything start when no sending followed.
      const bool before = run->started_ms + kClockRounding < record.done_ms && run->started_ms >= record.sent_ms;
      const bool is_excused = scope == NotRunScope::kAttempt && belongs_to_earlier_attempt(*run, record, history);
      const bool earlier = run->started_ms < record.sent_ms && !is_excused;
      const bool after_the_last = record.sent_ms == last_sent[record.tag] && run->started_ms > record.done_ms;
      if (before || earlier || after_the_last) {
        faults.push_back("false not-run: " + name_of(record) + " ran on " + run->machine +
                         story_of(record.tag, history, runs));
        break;
      }
    }
  }
  return faults;
}

}  // namespace larchlever::load
