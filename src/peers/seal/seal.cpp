#include "peers/seal/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace lemonroute::peers::seal {
namespace {

constexpr std::size_t proven = 1 + 4;  // in clear, beside the nonce
constexpr std::size_t nonce_size = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
static_assert(proven + nonce_size == head && head + crypto_aead_xchacha20poly1305_ietf_ABYTES == overhead);
static_assert(Key::size == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);

// Numbers in network order, whatever machines a fleet is made of.
template <class T>
void put(char* to, T value) {
  for (std::size_t i = sizeof value; i-- > 0; value = static_cast<T>(value >> 8))
    to[i] = static_cast<char>(value);
}
template <class T>
T get(const char* from) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value = static_cast<T>(value << 8 | static_cast<unsigned char>(from[i]));
  return value;
}
template <>
std::uint8_t get(const char* from) {
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
  if (plain.size() > most_plain)
    throw std::length_error("a datagram is too long to be sealed");
  std::string out(overhead + plain.size(), '\0');
  out[0] = static_cast<char>(version);
  put(&out[1], key_.id);
  put(&out[proven], self_.tag);
  put(&out[proven + 8], self_.start);
  put(&out[proven + 16], ++sequence_);
  crypto_aead_xchacha20poly1305_ietf_encrypt(bytes(&out[head]), nullptr, bytes(plain.data()), plain.size(),
                                             bytes(out.data()), proven, nullptr, bytes(&out[proven]),
                                             key_.bytes.data());
  return out;
}

std::optional<std::string> Opener::open(std::string_view sealed, Refusal& why) {
  const auto refuse = [&](Refusal reason) {
    why = reason;
    return std::nullopt;
  };
  if (sealed.size() > most_sealed)
    return refuse(Refusal::oversize);
  if (sealed.empty() || get<std::uint8_t>(&sealed[0]) != version)
    return refuse(Refusal::version);
  if (sealed.size() < overhead)
    return refuse(Refusal::forged);
  const auto id = get<std::uint32_t>(&sealed[1]);
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const Key& one) { return one.id == id; });
  if (key == keys_.end())
    return refuse(Refusal::key);
  const Sender sender{get<std::uint64_t>(&sealed[proven]), get<std::uint64_t>(&sealed[proven + 8])};
  const auto sequence = get<std::uint64_t>(&sealed[proven + 16]);
  if (!windows_.fresh(sender, sequence))
    return refuse(Refusal::replay);
  std::string plain(sealed.size() - overhead, '\0');
  if (crypto_aead_xchacha20poly1305_ietf_decrypt(bytes(plain.data()), nullptr, nullptr, bytes(&sealed[head]),
                                                 sealed.size() - head, bytes(sealed.data()), proven,
                                                 bytes(&sealed[proven]), key->bytes.data()) != 0)
    return refuse(Refusal::forged);
  windows_.mark(sender, sequence);
  why = Refusal::none;
  return plain;
}

}  // namespace lemonroute::peers::seal
