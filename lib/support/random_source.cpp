#include "camphorlug/support/random_source.h"

#include <cassert>
#include <cstdio>

namespace camphorlug::support {

random_source::random_source(std::uint64_t seed) : engine_(seed) {}

std::size_t random_source::below(std::size_t bound) {
  assert(bound > 0 && "bound must be at least 1");
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
}

double random_source::uniform_real() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

std::string random_source::identifier() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine_()));
  return text;
}

} // namespace camphorlug::support
