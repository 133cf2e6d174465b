#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"

namespace larchlever::emulator {

/// Speed and capacity of a simulated engine.
struct EngineModelOptions {
  size_t max_running_requests = 64;
  Duration step_base_time = milliseconds(12);
  Duration step_time_per_sequence = microseconds(150);
  /// Time to compute one prompt token that is not in the cache.
  Duration prefill_time_per_token = microseconds(50);
  size_t max_cached_blocks = 4096;
  int tokens_per_block = 16;
};

struct EngineRequest {
  uint64_t id = 0;
  int priority = 5;  ///< Requests with a higher priority start first.
  int prompt_tokens = 0;
  int output_tokens = 0;
  int first_output_offset = 0;  ///< Offset of the first token to produce; above 0 for a resumed stream.
  /// Chained hashes of the complete blocks at the start of the prompt.
  std::vector<uint64_t> prefix_blocks;
};

struct OutputToken {
  uint64_t request = 0;
  int offset = 0;
  bool is_last = false;
};

struct CacheEvent {
  int64_t sequence = 0;
  bool added = false;
  uint64_t block = 0;
};

/// Model of an inference engine: continuous batching with priorities, prefill of the prompt tokens that the prefix
/// cache lacks, and LRU eviction from that cache. EmulatedMachine drives it with the real clock, the routing experiment
/// with virtual time. Deterministic; single-threaded.
class EngineModel {
 public:
  explicit EngineModel(const EngineModelOptions& options) : options_(options) {}

  void submit(TimePoint now, EngineRequest request);
  /// Cancels a waiting or running request. Returns false if there is none with this id.
  bool cancel(uint64_t id);
  /// Runs all steps that end by `now` and returns their tokens in order.
  std::vector<OutputToken> advance(TimePoint now);
  /// Returns the end time of the current step, or nullopt while the engine is idle.
  std::optional<TimePoint> next_step_end() const;

  size_t running_count() const { return running_requests_.size(); }
  size_t waiting_count() const { return waiting_requests_.size(); }
  uint64_t cached_prompt_tokens() const { return cached_prompt_tokens_; }
  uint64_t total_prompt_tokens() const { return total_prompt_tokens_; }

  /// Returns the retained cache changes after `after_sequence`. `oldest_sequence` is set to the oldest retained
  /// sequence number; events are missing if it exceeds `after_sequence + 1`.
  std::vector<CacheEvent> cache_events(int64_t after_sequence, int64_t& oldest_sequence) const;
  std::vector<uint64_t> cached_blocks() const;
  /// Adds blocks to the prefix cache; the first block of the list becomes the most recently used.
  void import_blocks(const std::vector<uint64_t>& blocks);
  void clear();

 private:
  struct RunningRequest {
    EngineRequest request;
    int next_offset = 0;
  };

  void start_step(TimePoint now);
  int cached_prefix_tokens(const EngineRequest& request);
  void mark_block_used(uint64_t block);

  EngineModelOptions options_;
  std::vector<RunningRequest> running_requests_;
  std::multimap<int, EngineRequest, std::greater<>> waiting_requests_;
  std::optional<TimePoint> step_end_;
  std::list<uint64_t> blocks_by_recency_;  ///< Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> block_positions_;
  std::vector<CacheEvent> cache_events_;
  int64_t next_event_sequence_ = 1;
  uint64_t cached_prompt_tokens_ = 0;
  uint64_t total_prompt_tokens_ = 0;
};

}  // namespace larchlever::emulator
