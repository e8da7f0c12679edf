#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace camphorlug::support {

/// The only source of randomness; the same seed gives the same draws.
class random_source {
public:
  explicit random_source(std::uint64_t seed);

  /// A whole number from 0 to `bound` - 1; `bound` is at least 1.
  std::size_t below(std::size_t bound);

  /// A real number from 0 up to, not including, 1.
  double uniform_real();

  /// A fresh identifier of 16 hexadecimal digits.
  std::string identifier();

  /// The engine itself, for the standard library's algorithms.
  std::mt19937_64& engine() { return engine_; }

private:
  std::mt19937_64 engine_;
};

} // namespace camphorlug::support
