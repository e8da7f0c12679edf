#pragma once

#include "view_commands.h"

#include <istream>
#include <string>

namespace camphorlug::ctl {

/// Tells what the log lines of `logs` say of a request. Returns the exit code.
int explain_request(std::istream& logs, const std::string& request, output_options output);

} // namespace camphorlug::ctl
