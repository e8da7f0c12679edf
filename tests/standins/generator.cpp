#include "generator.h"

#include "camphorlug/support/digest.h"

namespace camphorlug::standins {

std::string token_text(const std::string& prompt, std::size_t index) {
  const std::uint64_t hash = support::fast_hash(prompt, index);
  static constexpr const char* syllables[] = {"ka", "mo", "ri", "te", "lu", "sa", "ne", "po"};
  std::string text = index == 0 ? "" : " ";
  for (unsigned i = 0; i < 3; ++i)
    text += syllables[(hash >> (8 * i)) & 7];
  return text + std::to_string(index);
}

std::vector<std::uint64_t> prefix_blocks(const std::string& prompt) {
  std::vector<std::uint64_t> blocks;
  for (std::size_t end = block_characters; end <= prompt.size(); end += block_characters)
    blocks.push_back(support::fast_hash(std::string_view(prompt).substr(0, end)));
  return blocks;
}

} // namespace camphorlug::standins
