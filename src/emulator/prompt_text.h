#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace larchlever::emulator {

/// Roughly how many tokens a text has: one for every four bytes.
int estimate_token_count(std::string_view text);

/// Chained hashes of the whole blocks at the start of a prompt: equal leading text gives equal leading hashes.
std::vector<uint64_t> hash_prefix_blocks(std::string_view prompt, int tokens_per_block);

/// The text of the answer's token at `offset`. Depends on prompt and offset only, so a stream resumed elsewhere
/// continues with the very tokens that the first one would have produced.
std::string token_text(std::string_view prompt, int64_t offset);

}  // namespace larchlever::emulator
