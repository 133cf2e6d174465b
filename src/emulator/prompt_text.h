#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace larchlever::emulator {

/// Estimates the number of tokens of a text: one for every four bytes, rounded up.
int estimate_token_count(std::string_view text);

/// Returns chained hashes of the prompt's complete blocks: prompts with equal leading blocks have equal leading hashes.
std::vector<uint64_t> hash_prefix_blocks(std::string_view prompt, int tokens_per_block);

/// Returns the text of the output token at `offset`. It depends only on prompt and offset, so a stream that is resumed
/// on another engine continues with the same tokens.
std::string token_text(std::string_view prompt, int64_t offset);

}  // namespace larchlever::emulator
