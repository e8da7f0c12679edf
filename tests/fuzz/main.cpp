#include "fuzzer.h"

// libFuzzer's name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  camphorlug::fuzz::read_input({data, size});
  return 0;
}
