#pragma once

#include <cstddef>
#include <string>

namespace camphorlug::ctl {

/// Columns of a phone's screen.
inline constexpr std::size_t max_line_width = 40;

/// Prints `text` folded at words to the screen's width; lines after the first
/// are indented.
void print_wrapped(const std::string& text);

} // namespace camphorlug::ctl
