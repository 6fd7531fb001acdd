/// \file
/// The body of a request while it arrives.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lemonroute::http {

/// Collects a body piece by piece in blocks of one size. A string that grows holds up to twice its bytes and
/// leaves gaps of many sizes in the heap; these blocks hold what has arrived and are reused whole.
class BodyBuffer {
 public:
  void append(std::string_view piece);
  /// Returns the bytes of memory that are held.
  std::size_t capacity() const { return blocks_.size() * block_size; }
  /// Returns the whole body and releases the blocks.
  std::string take();
  /// Releases the blocks.
  void clear();

 private:
  static constexpr std::size_t block_size = 4096;
  using Block = std::array<char, block_size>;
  std::vector<std::unique_ptr<Block>> blocks_;  // all full but the last
  std::size_t size_ = 0;
};

}  // namespace lemonroute::http
