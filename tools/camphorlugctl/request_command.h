#pragma once

#include "camphorlug/caller/reference_caller.h"

#include <string>

namespace camphorlug::ctl {

/// Prints the entry points that the node at `address` returns to callers.
support::task<int> show_entries(net::http_client& client, std::string address);

/// Sends one request through the reference caller and prints the response as it arrives.
support::task<int> send_request(caller::reference_caller& caller, caller::caller_request request);

} // namespace camphorlug::ctl
