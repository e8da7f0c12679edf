#pragma once

#include "view_commands.h"

#include <istream>
#include <string>

namespace camphorlug::ctl {

/// Reconstructs what happened to `request` from the log lines in `logs` and prints it. Returns the
/// exit code.
int explain_request(std::istream& logs, const std::string& request, output_options output);

} // namespace camphorlug::ctl
