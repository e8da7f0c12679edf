#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::standins {

/// Returns the text of one token. It depends only on the prompt and the index, like the output
/// of a model that samples with a fixed seed.
std::string token_text(const std::string& prompt, std::size_t index);

/// Returns the hashes of the prompt's prefixes whose lengths are multiples of a cache block.
std::vector<std::uint64_t> prefix_blocks(const std::string& prompt);

/// Number of characters in a cache block.
inline constexpr std::size_t block_characters = 256;

} // namespace camphorlug::standins
