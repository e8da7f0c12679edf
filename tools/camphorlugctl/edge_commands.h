#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/task.h"

#include "view_commands.h"

#include <string>

namespace camphorlug::ctl {

/// Shows what the edge node with the peers' port at `address` believes: all in
/// brief, or one `part` (routes, groups, targets, peers, retries). Returns the
/// exit code.
support::task<int> show_edge(net::http_client& client, std::string address, std::string part,
                             output_options output);

} // namespace camphorlug::ctl
