#pragma once

#include <string>

namespace camphorlug::ctl {

/// The lines that differ, marked `-` for `before` and `+` for `after`.
std::string diff_lines(const std::string& before, const std::string& after);

} // namespace camphorlug::ctl
