#include "emulator/engine_model.h"

#include <algorithm>

namespace larchlever::emulator {

namespace {

constexpr size_t kRetainedEventCount = 4096;

}  // namespace

void EngineModel::submit(TimePoint now, EngineRequest request) {
  waiting_requests_.emplace(request.priority, std::move(request));
  if (!step_end_) {
    start_step(now);
  }
}

bool EngineModel::cancel(uint64_t id) {
  const auto removed = std::erase_if(running_requests_, [id](const auto& item) { return item.request.id == id; }) +
                       std::erase_if(waiting_requests_, [id](const auto& item) { return item.second.id == id; });
  return removed > 0;
}

void EngineModel::mark_block_used(uint64_t block) {
  const auto found = block_positions_.find(block);
  if (found != block_positions_.end()) {
    blocks_by_recency_.splice(blocks_by_recency_.begin(), blocks_by_recency_, found->second);
    return;
  }
  blocks_by_recency_.push_front(block);
  block_positions_[block] = blocks_by_recency_.begin();
  cache_events_.push_back({next_event_sequence_++, true, block});
  if (block_positions_.size() > options_.max_cached_blocks) {
    const uint64_t oldest = blocks_by_recency_.back();
    blocks_by_recency_.pop_back();
    block_positions_.erase(oldest);
    cache_events_.push_back({next_event_sequence_++, false, oldest});
  }
  if (cache_events_.size() > 2 * kRetainedEventCount) {
    cache_events_.erase(cache_events_.begin(), cache_events_.end() - kRetainedEventCount);
  }
}

int EngineModel::cached_prefix_tokens(const EngineRequest& request) {
  int blocks = 0;
  for (const uint64_t block : request.prefix_blocks) {
    if (!block_positions_.contains(block)) {
      break;
    }
    ++blocks;
  }
  return std::min(blocks * options_.tokens_per_block, request.prompt_tokens);
}

void EngineModel::start_step(TimePoint now) {
  Duration step_duration = options_.step_base_time;
  while (!waiting_requests_.empty() && running_requests_.size() < options_.max_running_requests) {
    EngineRequest request = std::move(waiting_requests_.begin()->second);
    waiting_requests_.erase(waiting_requests_.begin());
    const int cached_tokens = cached_prefix_tokens(request);
    cached_prompt_tokens_ += static_cast<uint64_t>(cached_tokens);
    total_prompt_tokens_ += static_cast<uint64_t>(request.prompt_tokens);
    step_duration += options_.prefill_time_per_token * (request.prompt_tokens - cached_tokens);
    for (const uint64_t block : request.prefix_blocks) {
      mark_block_used(block);
    }
    const int offset = request.first_output_offset;
    running_requests_.push_back({std::move(request), offset});
  }
  if (running_requests_.empty()) {
    step_end_.reset();
    return;
  }
  step_duration += options_.step_time_per_sequence * static_cast<int64_t>(running_requests_.size());
  step_end_ = now + step_duration;
}

std::vector<OutputToken> EngineModel::advance(TimePoint now) {
  std::vector<OutputToken> produced;
  while (step_end_ && *step_end_ <= now) {
    const TimePoint step_ended_at = *step_end_;
    for (auto& item : running_requests_) {
      const bool is_last = item.next_offset + 1 >= item.request.output_tokens;
      produced.push_back({item.request.id, item.next_offset++, is_last});
    }
    std::erase_if(running_requests_, [](const auto& item) { return item.next_offset >= item.request.output_tokens; });
    start_step(step_ended_at);
  }
  return produced;
}

std::optional<TimePoint> EngineModel::next_step_end() const { return step_end_; }

std::vector<CacheEvent> EngineModel::cache_events(int64_t after_sequence, int64_t& oldest_sequence) const {
  oldest_sequence = cache_events_.empty() ? next_event_sequence_ : cache_events_.front().sequence;
  std::vector<CacheEvent> result;
  std::copy_if(cache_events_.begin(), cache_events_.end(), std::back_inserter(result),
               [after_sequence](const auto& event) { return event.sequence > after_sequence; });
  return result;
}

std::vector<uint64_t> EngineModel::cached_blocks() const {
  return {blocks_by_recency_.begin(), blocks_by_recency_.end()};
}

void EngineModel::import_blocks(const std::vector<uint64_t>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    mark_block_used(*block);
  }
}

void EngineModel::clear() { *this = EngineModel(options_); }

}  // namespace larchlever::emulator
