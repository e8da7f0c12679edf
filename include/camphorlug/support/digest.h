#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// SHA-256 of `text` in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 of `text` under `key` in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view key, std::string_view text);

/// Compares in a time that does not depend on where the texts differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// 64-bit xxHash, for placement and digests; not for secrets.
std::uint64_t fast_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace camphorlug::support
