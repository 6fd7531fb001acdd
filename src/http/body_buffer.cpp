#include "http/body_buffer.h"

#include <algorithm>

namespace lemonroute::http {

void BodyBuffer::append(std::string_view piece) {
  while (!piece.empty()) {
    const std::size_t offset = size_ % block_size;
    if (offset == 0)
      blocks_.push_back(std::make_unique_for_overwrite<Block>());
    const std::size_t part = std::min(piece.size(), block_size - offset);
    piece.copy(blocks_.back()->data() + offset, part);
    piece.remove_prefix(part);
    size_ += part;
  }
}

std::string BodyBuffer::take() {
  std::string body;
  body.reserve(size_);
  for (const auto& block : blocks_)
    body.append(block->data(), std::min(block_size, size_ - body.size()));
  clear();
  return body;
}

void BodyBuffer::clear() {
  blocks_.clear();
  blocks_.shrink_to_fit();
  size_ = 0;
}

}  // namespace lemonroute::http
