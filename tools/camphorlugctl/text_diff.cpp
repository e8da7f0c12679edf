#include "text_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace camphorlug::ctl {

static std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line))
    lines.push_back(line);
  return lines;
}

std::string diff_lines(const std::string& before, const std::string& after) {
  const std::vector<std::string> old_lines = split_lines(before);
  const std::vector<std::string> new_lines = split_lines(after);
  // common[i][j] is the length of the longest common subsequence of the lines from old_lines[i]
  // and new_lines[j] on.
  std::vector<std::vector<std::size_t>> common(old_lines.size() + 1,
                                               std::vector<std::size_t>(new_lines.size() + 1, 0));
  for (std::size_t i = old_lines.size(); i-- > 0;) {
    for (std::size_t j = new_lines.size(); j-- > 0;)
      common[i][j] = old_lines[i] == new_lines[j] ? common[i + 1][j + 1] + 1
                                                  : std::max(common[i + 1][j], common[i][j + 1]);
  }
  std::string diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    const bool both = i < old_lines.size() && j < new_lines.size();
    if (both && old_lines[i] == new_lines[j]) {
      ++i;
      ++j;
    } else if (j == new_lines.size() || (both && common[i + 1][j] >= common[i][j + 1])) {
      diff += "- " + old_lines[i++] + "\n";
    } else {
      diff += "+ " + new_lines[j++] + "\n";
    }
  }
  return diff;
}

} // namespace camphorlug::ctl
