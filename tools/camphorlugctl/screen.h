#pragma once

#include <cstddef>
#include <string>

namespace camphorlug::ctl {

/// Fits the screen of a phone.
inline constexpr std::size_t max_line_width = 40;

/// Prints `text` wrapped at word boundaries to max_line_width. Continuation lines are indented.
void print_wrapped(const std::string& text);

} // namespace camphorlug::ctl
