#include "camphorlug/support/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace camphorlug::support {

static std::string to_hex(const unsigned char* bytes, unsigned size) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * size);
  for (unsigned i = 0; i < size; ++i) {
    text += digits[bytes[i] >> 4];
    text += digits[bytes[i] & 15];
  }
  return text;
}

std::string sha256_hex(std::string_view text) {
  unsigned char bytes[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), bytes, &size, EVP_sha256(), nullptr);
  return to_hex(bytes, size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view text) {
  unsigned char bytes[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), bytes, &size);
  return to_hex(bytes, size);
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t fast_hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

} // namespace camphorlug::support
