#pragma once

#include <cstdint>

namespace camphorlug::table {

// A store that is restored from an older copy gives out numbers again that it has used before.
// It counts its restorations: its era. A version consists of both, the era in the high bits, so
// that a version of a later era is larger than every one of an earlier era wherever versions
// are compared, relayed or remembered. Number 0 stands for "does not exist" or "from the
// beginning" in every era; stores without eras have era 0.

inline constexpr unsigned version_number_bits = 40;

constexpr std::uint64_t make_version(std::uint64_t era, std::uint64_t number) {
  return (era << version_number_bits) | number;
}

constexpr std::uint64_t era_of(std::uint64_t version) {
  return version >> version_number_bits;
}

/// Returns the number that the store itself gave out.
constexpr std::uint64_t number_of(std::uint64_t version) {
  return version & ((std::uint64_t{1} << version_number_bits) - 1);
}

} // namespace camphorlug::table
