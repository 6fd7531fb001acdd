/// A 64-bit FNV-1a digest of values in order, by which two runs of a deterministic program are compared.
#pragma once

#include <bit>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <ostream>
#include <string_view>
#include <type_traits>

namespace lemonroute {

class Digest {
 public:
  /// Takes an integer, as eight little-endian bytes.
  void add(std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte) {
      hash_ = (hash_ ^ (value & 0xff)) * 0x100000001b3;
      value >>= 8;
    }
  }
  /// Takes the bit pattern of a floating-point number.
  void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
  /// Takes a duration or a time, in microseconds.
  void add(std::chrono::microseconds value) { add(static_cast<std::uint64_t>(value.count())); }
  /// Takes the length of a byte string, then its bytes.
  void add(std::string_view bytes) {
    add(static_cast<std::uint64_t>(bytes.size()));
    for (const char byte : bytes)
      hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  /// Takes any other integer, or an enumerator by its value.
  template <class Value>
  requires std::is_integral_v<Value> || std::is_enum_v<Value>
  void add(Value value) { add(static_cast<std::uint64_t>(value)); }
  /// Takes several values, one after another.
  template <class First, class Second, class... Others>
  void add(const First& first, const Second& second, const Others&... others) {
    add(first);
    add(second);
    (add(others), ...);
  }
  std::uint64_t value() const { return hash_; }
  /// Writes the digest as 16 hexadecimal digits.
  friend std::ostream& operator<<(std::ostream& out, const Digest& digest) {
    return out << std::hex << std::setw(16) << std::setfill('0') << digest.hash_ << std::dec;
  }

 private:
  std::uint64_t hash_ = 0xcbf29ce484222325;
};

}  // namespace lemonroute
