#include "screen.h"

#include <iostream>
#include <sstream>

namespace camphorlug::ctl {

static constexpr const char* indent = "  ";

void print_wrapped(const std::string& text) {
  std::istringstream words(text);
  std::string word;
  std::string line;
  while (words >> word) {
    const bool fits = line.size() + 1 + word.size() <= max_line_width;
    if (!line.empty() && !fits) {
      std::cout << line << "\n";
      line = indent + word;
      continue;
    }
    line += (line.empty() ? "" : " ") + word;
  }
  std::cout << line << "\n";
}

} // namespace camphorlug::ctl
