#pragma once

#include <exception>

namespace camphorlug::support {

/// Thrown by every wait after its clock was shut down, so that coroutines unwind while the
/// objects that they use are still alive.
class shutdown_exception final : public std::exception {
public:
  const char* what() const noexcept override { return "the process is shutting down"; }
};

} // namespace camphorlug::support
