#pragma once

#include <map>
#include <string>

namespace camphorlug::fakes {

/// What processes of an earlier build sent and stored, as recorded by
/// tests/process/record_build.py.
namespace recorded_build {

/// Returns the contents of a file of build 427b0ea. Throws std::runtime_error if it can't be read.
std::string read(const std::string& name);

/// The rows of the node's own table by key.
std::map<std::string, std::string> own_rows();

} // namespace recorded_build

} // namespace camphorlug::fakes
