#include "camphorlug/diagnosis/target_attempt.h"

#include <cstddef>

namespace camphorlug::diagnosis {

/// Logged in place of a target when the retry limit forbade another attempt; no target has
/// this name.
static constexpr const char* retries_exhausted_marker = "no-retries-left";

/// Returns the position of the parenthesis that closes the reason opened at `start`, or the end
/// of the text. Reasons may contain nested parentheses.
static std::size_t end_of_reason(const std::string& text, std::size_t start) {
  int depth = 0;
  for (std::size_t i = start; i < text.size(); ++i) {
    depth += text[i] == '(' ? 1 : text[i] == ')' ? -1 : 0;
    if (depth == 0)
      return i;
  }
  return text.size();
}

std::vector<target_attempt> parse_attempts(const std::string& text) {
  std::vector<target_attempt> attempts;
  std::size_t at = 0;
  while ((at = text.find_first_not_of(' ', at)) != std::string::npos) {
    if (text[at] == '(') {
      const std::size_t end = end_of_reason(text, at);
      if (!attempts.empty())
        attempts.back().failure_reasons.push_back(text.substr(at + 1, end - at - 1));
      at = end + 1;
      continue;
    }
    const std::size_t end = std::min(text.find(' ', at), text.size());
    const std::string word = text.substr(at, end - at);
    if (word == retries_exhausted_marker && !attempts.empty())
      attempts.back().failure_reasons.emplace_back("the retries of all nodes were used up");
    else
      attempts.push_back({word, {}});
    at = end;
  }
  return attempts;
}

} // namespace camphorlug::diagnosis
