#include "consensus/replicated_log.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::consensus {

ReplicatedLog::ReplicatedLog(wire::SnapshotHeader snapshot, std::vector<wire::LogEntry> entries)
    : snapshot_(std::move(snapshot)) {
  for (auto& entry : entries) {
    append(std::move(entry));
  }
}

int64_t ReplicatedLog::term_at(int64_t index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < first_index() || index > last_index()) {
    return -1;
  }
  return at(index).term;
}

const wire::LogEntry& ReplicatedLog::at(int64_t index) const {
  return entries_[static_cast<size_t>(index - first_index())];
}

std::vector<wire::LogEntry> ReplicatedLog::slice(int64_t from, size_t max_entries, size_t max_bytes) const {
  std::vector<wire::LogEntry> result;
  size_t bytes = 0;
  for (int64_t index = from; index <= last_index() && result.size() < max_entries; ++index) {
    bytes += at(index).payload.size();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(at(index));
  }
  return result;
}

void ReplicatedLog::append(wire::LogEntry entry) {
  record_replica_set(entry);
  entries_.push_back(std::move(entry));
}

void ReplicatedLog::truncate_from(int64_t index) {
  while (!entries_.empty() && last_index() >= index) {
    entries_.pop_back();
  }
  while (!replica_sets_.empty() && replica_sets_.back().first >= index) {
    replica_sets_.pop_back();
  }
}

void ReplicatedLog::compact(int64_t index) {
  if (index <= snapshot_.index || index > last_index()) {
    return;
  }
  wire::SnapshotHeader header;
  header.index = index;
  header.term = term_at(index);
  header.replicas = replicas_at(index);
  entries_.erase(entries_.begin(), entries_.begin() + (index - snapshot_.index));
  snapshot_ = std::move(header);
  std::erase_if(replica_sets_, [index](const auto& item) { return item.first <= index; });
}

void ReplicatedLog::reset(const wire::SnapshotHeader& snapshot) {
  snapshot_ = snapshot;
  entries_.clear();
  replica_sets_.clear();
}

const wire::ReplicaSet& ReplicatedLog::replicas() const {
  return replica_sets_.empty() ? snapshot_.replicas : replica_sets_.back().second;
}

const wire::ReplicaSet& ReplicatedLog::replicas_at(int64_t index) const {
  for (auto item = replica_sets_.rbegin(); item != replica_sets_.rend(); ++item) {
    if (item->first <= index) {
      return item->second;
    }
  }
  return snapshot_.replicas;
}

int64_t ReplicatedLog::replica_set_index() const {
  return replica_sets_.empty() ? snapshot_.index : replica_sets_.back().first;
}

void ReplicatedLog::record_replica_set(const wire::LogEntry& entry) {
  if (entry.kind != wire::EntryKind::REPLICA_SET) {
    return;
  }
  if (auto replicas = wire::decode<wire::ReplicaSet>(entry.payload)) {
    replica_sets_.emplace_back(entry.index, std::move(*replicas));
  }
}

}  // namespace larchlever::consensus
