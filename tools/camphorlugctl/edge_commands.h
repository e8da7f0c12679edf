#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/task.h"

#include "view_commands.h"

#include <string>

namespace camphorlug::ctl {

/// Prints how the edge node whose peer port is `address` sees the cluster; its view may be stale
/// or differ from that of other nodes. Prints an overview when `part` is
/// empty, else one part of it (routes, groups, targets, peers, retries, banned_parts, evacuations,
/// cold_targets).
/// Returns the exit code.
support::task<int> show_edge(net::http_client& client, std::string address, std::string part,
                             output_options output);

/// Ends the ban of a prompt part of `service` at all nodes, by way of the edge node whose peer port
/// is `address`. Returns the exit code.
support::task<int> lift_ban(net::http_client& client, std::string address, std::string service,
                            std::string part);

} // namespace camphorlug::ctl
