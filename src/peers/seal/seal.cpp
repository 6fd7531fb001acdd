#include "peers/seal/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace lemonroute::peers::seal {
namespace {

constexpr std::size_t associated_bytes = 1 + 4;  // version and key id, authenticated in the clear
constexpr std::size_t nonce_bytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
static_assert(associated_bytes + nonce_bytes == header_bytes &&
              header_bytes + crypto_aead_xchacha20poly1305_ietf_ABYTES == overhead_bytes);
static_assert(Key::size == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);

// Integers are big-endian, independent of the byte order of the host.
template <class T>
void store(char* to, T value) {
  for (std::size_t i = sizeof value; i-- > 0; value = static_cast<T>(value >> 8))
    to[i] = static_cast<char>(value);
}
template <class T>
T load(const char* from) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value = static_cast<T>(value << 8 | static_cast<unsigned char>(from[i]));
  return value;
}
template <>
std::uint8_t load(const char* from) {
  return static_cast<std::uint8_t>(*from);
}

const unsigned char* bytes(const char* text) {
  return reinterpret_cast<const unsigned char*>(text);
}
unsigned char* bytes(char* text) {
  return reinterpret_cast<unsigned char*>(text);
}

}  // namespace

std::string Sealer::seal(std::string_view plain) {
  if (plain.size() > max_plain_bytes)
    throw std::length_error("datagram exceeds the maximum plaintext size");
  std::string out(overhead_bytes + plain.size(), '\0');
  out[0] = static_cast<char>(version);
  store(&out[1], key_.id);
  store(&out[associated_bytes], self_.tag);
  store(&out[associated_bytes + 8], self_.start);
  store(&out[associated_bytes + 16], ++sequence_);
  crypto_aead_xchacha20poly1305_ietf_encrypt(bytes(&out[header_bytes]), nullptr, bytes(plain.data()),
                                             plain.size(), bytes(out.data()), associated_bytes, nullptr,
                                             bytes(&out[associated_bytes]), key_.bytes.data());
  return out;
}

std::optional<std::string> Opener::open(std::string_view sealed, Refusal& why) {
  const auto refuse = [&](Refusal reason) {
    why = reason;
    return std::nullopt;
  };
  if (sealed.size() > max_sealed_bytes)
    return refuse(Refusal::oversize);
  if (sealed.empty() || load<std::uint8_t>(&sealed[0]) != version)
    return refuse(Refusal::unknown_version);
  if (sealed.size() < overhead_bytes)
    return refuse(Refusal::forged);
  const auto id = load<std::uint32_t>(&sealed[1]);
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const Key& one) { return one.id == id; });
  if (key == keys_.end())
    return refuse(Refusal::unknown_key);
  const SenderId sender{load<std::uint64_t>(&sealed[associated_bytes]),
                        load<std::uint64_t>(&sealed[associated_bytes + 8])};
  const auto sequence = load<std::uint64_t>(&sealed[associated_bytes + 16]);
  if (!replay_windows_.is_new(sender, sequence))
    return refuse(Refusal::replayed);
  std::string plain(sealed.size() - overhead_bytes, '\0');
  if (crypto_aead_xchacha20poly1305_ietf_decrypt(
          bytes(plain.data()), nullptr, nullptr, bytes(&sealed[header_bytes]), sealed.size() - header_bytes,
          bytes(sealed.data()), associated_bytes, bytes(&sealed[associated_bytes]), key->bytes.data()) != 0)
    return refuse(Refusal::forged);
  replay_windows_.record(sender, sequence);
  why = Refusal::none;
  return plain;
}

}  // namespace lemonroute::peers::seal
