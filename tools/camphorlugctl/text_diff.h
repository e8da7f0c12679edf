#pragma once

#include <string>

namespace camphorlug::ctl {

/// Returns the lines that differ: those only in `before` marked `-`, those only in `after` `+`.
std::string diff_lines(const std::string& before, const std::string& after);

} // namespace camphorlug::ctl
