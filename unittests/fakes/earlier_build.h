#pragma once

#include <string>

namespace camphorlug::fakes {

/// Build 427b0ea as its peers see it. It knows 11 elements of a node's status, reads the fields of
/// messages that it knows and passes on no others.
namespace earlier_build {

/// Returns what is left of a message between nodes once this build has read and written it.
std::string pass_on(const std::string& fleet_message);

/// Whether the build handles requests of peers with this path.
bool knows_path(const std::string& path);

/// Returns crash evidence as this build passes it on.
std::string pass_on_evidence(const std::string& evidence);

} // namespace earlier_build

} // namespace camphorlug::fakes
