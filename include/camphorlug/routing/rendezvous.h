#pragma once

#include <cstdint>

namespace camphorlug::routing {

/// Rendezvous weight of a target for a key. The target with the largest weight is
/// the key's home target.
inline std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t target) {
  // The finalizer of SplitMix64 (Steele, Lea, Flood 2014), applied to both hashes.
  std::uint64_t mixed = key ^ (target * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

} // namespace camphorlug::routing
