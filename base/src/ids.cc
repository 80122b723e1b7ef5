#include "carawayvalve/base/ids.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

#include "carawayvalve/base/error.h"

namespace carawayvalve::base {

namespace {

std::string Hexadecimal(const unsigned char* bytes, size_t count) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (size_t i = 0; i < count; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 0xf]);
  }
  return text;
}

}  // namespace

std::string RandomName() {
  std::array<unsigned char, 16> bytes;
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    throw Error("draw random bytes", "OpenSSL", "random generator failed");
  }
  return Hexadecimal(bytes.data(), bytes.size());
}

std::string Sha256(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return Hexadecimal(digest.data(), digest.size());
}

uint64_t StableHash(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace carawayvalve::base
