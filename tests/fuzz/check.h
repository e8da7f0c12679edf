#pragma once

#include <cstdio>
#include <cstdlib>

namespace camphorlug::fuzz {

/// Ends the process, which libFuzzer reports with the input, if a property does not hold.
inline void check(bool holds, const char* property) {
  if (holds)
    return;
  std::fprintf(stderr, "does not hold: %s\n", property);
  std::abort();
}

} // namespace camphorlug::fuzz
