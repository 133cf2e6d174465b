#include "emulator/engine_model.h"

#include <algorithm>

namespace larchlever::emulator {

namespace {

constexpr size_t kKeptEvents = 4096;

}  // namespace

void EngineModel::submit(TimePoint now, EngineRequest request) {
  waiting_.emplace(request.priority, std::move(request));
  if (!step_end_) {
    start_step(now);
  }
}

bool EngineModel::cancel(uint64_t id) {
  const auto removed = std::erase_if(running_, [id](const auto& item) { return item.request.id == id; }) +
                       std::erase_if(waiting_, [id](const auto& item) { return item.second.id == id; });
  return removed > 0;
}

void EngineModel::touch(uint64_t block) {
  const auto found = blocks_.find(block);
  if (found != blocks_.end()) {
    recency_.splice(recency_.begin(), recency_, found->second);
    return;
  }
  recency_.push_front(block);
  blocks_[block] = recency_.begin();
  events_.push_back({next_event_++, true, block});
  if (blocks_.size() > options_.cache_blocks) {
    const uint64_t oldest = recency_.back();
    recency_.pop_back();
    blocks_.erase(oldest);
    events_.push_back({next_event_++, false, oldest});
  }
  if (events_.size() > 2 * kKeptEvents) {
    events_.erase(events_.begin(), events_.end() - kKeptEvents);
  }
}

int EngineModel::cached_prefix_tokens(const EngineRequest& request) {
  int blocks = 0;
  for (const uint64_t block : request.prefix_blocks) {
    if (!blocks_.contains(block)) {
      break;
    }
    ++blocks;
  }
  return std::min(blocks * options_.tokens_per_block, request.prompt_tokens);
}

void EngineModel::start_step(TimePoint now) {
  Duration length = options_.step_base;
  while (!waiting_.empty() && running_.size() < options_.most_running) {
    EngineRequest request = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    const int cached = cached_prefix_tokens(request);
    cached_prompt_tokens_ += static_cast<uint64_t>(cached);
    total_prompt_tokens_ += static_cast<uint64_t>(request.prompt_tokens);
    length += options_.prefill_per_token * (request.prompt_tokens - cached);
    for (const uint64_t block : request.prefix_blocks) {
      touch(block);
    }
    const int offset = request.first_offset;
    running_.push_back({std::move(request), offset});
  }
  if (running_.empty()) {
    step_end_.reset();
    return;
  }
  length += options_.step_per_sequence * static_cast<int64_t>(running_.size());
  step_end_ = now + length;
}

std::vector<TokenProduced> EngineModel::advance(TimePoint now) {
  std::vector<TokenProduced> produced;
  while (step_end_ && *step_end_ <= now) {
    const TimePoint ended = *step_end_;
    for (auto& item : running_) {
      const bool last = item.next_offset + 1 >= item.request.output_tokens;
      produced.push_back({item.request.id, item.next_offset++, last});
    }
    std::erase_if(running_, [](const auto& item) { return item.next_offset >= item.request.output_tokens; });
    start_step(ended);
  }
  return produced;
}

std::optional<TimePoint> EngineModel::next_step_end() const { return step_end_; }

std::vector<CacheEvent> EngineModel::cache_events(int64_t since, int64_t& oldest) const {
  oldest = events_.empty() ? next_event_ : events_.front().sequence;
  std::vector<CacheEvent> result;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(result),
               [since](const auto& event) { return event.sequence > since; });
  return result;
}

std::vector<uint64_t> EngineModel::cached_blocks() const { return {recency_.begin(), recency_.end()}; }

void EngineModel::import_blocks(const std::vector<uint64_t>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    touch(*block);
  }
}

void EngineModel::clear() { *this = EngineModel(options_); }

}  // namespace larchlever::emulator
