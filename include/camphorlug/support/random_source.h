#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace camphorlug::support {

/// The only source of randomness. The same seed produces the same sequence.
class random_source {
public:
  explicit random_source(std::uint64_t seed);

  /// Returns a uniformly distributed integer from 0 to `bound` - 1. `bound` must be at least 1.
  std::size_t below(std::size_t bound);

  /// Returns a uniformly distributed real number in [0, 1).
  double uniform_real();

  /// Returns a random identifier of 16 hexadecimal digits.
  std::string identifier();

  /// Returns the underlying engine for use with standard library algorithms.
  std::mt19937_64& engine() { return engine_; }

private:
  std::mt19937_64 engine_;
};

} // namespace camphorlug::support
