#pragma once

#include <cstddef>
#include <string>

namespace camphorlug::ctl {

/// Columns of a phone's screen.
inline constexpr std::size_t screen_columns = 40;

/// Prints `text` folded at words to the screen's width; lines after the first
/// are indented.
void print_folded(const std::string& text);

} // namespace camphorlug::ctl
