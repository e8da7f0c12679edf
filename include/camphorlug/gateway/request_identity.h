#pragma once

#include "camphorlug/gateway/caller_request.h"

#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::gateway {

/// Returns an id that two requests share if they have the same organisation, method, target and
/// body. Headers and the attempt's id are left out, since they differ between repeats. The digest
/// is cryptographic and contains the organisation, so that nobody can make a request that is taken
/// for another organisation's one.
std::string request_identity(const caller_request& request, const std::string& organisation);

/// Whether an id of a crash's suspect names a whole request and not a prompt part.
bool is_request_identity(std::string_view id);

/// Returns the ids of all that may make the request crash a target: the parts of its prompt in
/// order, then its identity. Parts that callers have named like an identity are left out.
std::vector<std::string> crash_suspects_of(const caller_request& request,
                                           const std::string& organisation);

} // namespace camphorlug::gateway
