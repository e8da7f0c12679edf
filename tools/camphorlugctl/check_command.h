#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/task.h"

#include "view_commands.h"

#include <functional>
#include <memory>
#include <string>

namespace camphorlug::gateway {
class routing_config;
}

namespace camphorlug::ctl {

/// Decodes a configuration in the format that the nodes read. Throws std::invalid_argument.
using config_decoder =
    std::function<std::shared_ptr<const gateway::routing_config>(const std::string& text)>;

/// Value of --against that stands for the configuration in force at the node.
inline constexpr const char* in_force = "in-force";

/// What to check, and with what to compare it.
struct check_options {
  /// File that holds the configuration.
  std::string file;
  /// File with the version to compare with, `in-force`, or empty for no comparison.
  std::string against;
  /// Peer port of the node that is asked for the version in force.
  std::string node;
};

/// Prints errors and warnings about a configuration that has not been sent yet, and how it differs
/// from another version. Returns the exit code: exit_invalid if nodes could not act on it.
support::task<int> check_config_file(net::http_client& client, check_options options,
                                     config_decoder decode, output_options output);

} // namespace camphorlug::ctl
