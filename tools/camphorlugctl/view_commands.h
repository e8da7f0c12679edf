#pragma once

#include "operator_client.h"

#include <string>

namespace camphorlug::ctl {

/// Output format of the commands.
struct output_options {
  bool json = false;
};

/// Prints why a request failed. Returns the exit code.
int print_failure(const operator_response& response);

support::task<int> show_status(operator_client& client, output_options output);
support::task<int> show_groups(operator_client& client, output_options output);
support::task<int> explain_group(operator_client& client, std::string group, output_options output);

} // namespace camphorlug::ctl
