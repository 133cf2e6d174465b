#include "emulator/prompt_text.h"

#include <xxhash.h>

#include <array>

namespace larchlever::emulator {

namespace {

constexpr size_t kBytesPerToken = 4;
constexpr std::array<std::string_view, 16> kWords = {"the ",   "sheet ", "lists ", "four ",  "people ", "in ",
                                                     "one ",   "house ", "and ",   "their ", "work ",   "is ",
                                                     "coded ", "as ",    "field ", "survey "};

}  // namespace

int estimate_token_count(std::string_view text) {
  return static_cast<int>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::vector<uint64_t> hash_prefix_blocks(std::string_view prompt, int tokens_per_block) {
  const size_t block_bytes = static_cast<size_t>(tokens_per_block) * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t chained_hash = 0;
  for (size_t start = 0; start + block_bytes <= prompt.size(); start += block_bytes) {
    chained_hash = XXH3_64bits_withSeed(prompt.data() + start, block_bytes, chained_hash);
    hashes.push_back(chained_hash);
  }
  return hashes;
}

std::string token_text(std::string_view prompt, int64_t offset) {
  const uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), static_cast<uint64_t>(offset));
  return std::string(kWords.at(hash % kWords.size()));
}

}  // namespace larchlever::emulator
