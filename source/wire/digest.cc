#include "wire/digest.h"

#include <openssl/evp.h>

#include <array>

namespace wisteriayoke {

std::string ComputeDigest(std::string_view content) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(content.data(), content.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  std::string text;
  for (unsigned i = 0; i < size; ++i) {
    text += kDigits[digest[i] >> 4];
    text += kDigits[digest[i] & 0xf];
  }
  return text;
}

}  // namespace wisteriayoke
