#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// Returns the SHA-256 of `text` in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// Returns the HMAC-SHA-256 of `text` under `key` in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view key, std::string_view text);

/// Compares two strings in a time that does not depend on the position of a difference.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Returns the 64-bit xxHash of `text`. It is not cryptographic: use it for placement and
/// digests, not for secrets.
std::uint64_t fast_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace camphorlug::support
