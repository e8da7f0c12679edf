#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <xxhash.h>

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

/// Hash of an id, for use as a key or target of `rendezvous_weight`.
inline std::uint64_t rendezvous_hash(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

/// Whether the node `self` is among the `owners` nodes with the largest weights for `key_id`.
/// `id_of` projects an element of `others` to the id of a node.
template<typename Nodes, typename Projection = std::identity>
bool is_rendezvous_owner(const Nodes& others, const std::string& self, const std::string& key_id,
                         std::size_t owners, Projection id_of = {}) {
  const std::uint64_t key = rendezvous_hash(key_id);
  const std::uint64_t own_weight = rendezvous_weight(key, rendezvous_hash(self));
  const auto ahead = std::count_if(others.begin(), others.end(), [&](const auto& each) {
    return rendezvous_weight(key, rendezvous_hash(std::invoke(id_of, each))) > own_weight;
  });
  return static_cast<std::size_t>(ahead) < owners;
}

} // namespace camphorlug::routing
