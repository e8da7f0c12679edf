#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::standins {

/// The text of one token; it depends only on the prompt and the place, as with
/// a model that samples with a fixed seed.
std::string token_text(const std::string& prompt, std::size_t index);

/// Hashes of the prompt's prefixes in steps of one cache block.
std::vector<std::uint64_t> prefix_blocks(const std::string& prompt);

/// Characters of a cache block.
inline constexpr std::size_t block_characters = 256;

} // namespace camphorlug::standins
