#pragma once

#include "camphorlug/caller/reference_caller.h"

#include <string>

namespace camphorlug::ctl {

/// Prints the entries' answer of the node at `address`.
support::task<int> show_entries(net::http_client& client, std::string address);

/// Sends one request as the reference caller would and prints the answer as it comes.
support::task<int> send_request(caller::reference_caller& caller, caller::caller_request request);

} // namespace camphorlug::ctl
