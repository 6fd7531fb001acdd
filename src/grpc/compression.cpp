#include "grpc/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace lemonroute::grpc {
namespace {

constexpr int gzip_bits = 15 + 16, zlib_bits = 15;  // gRPC's "deflate" is zlib's format (RFC 1950)

int bits(Encoding encoding) {
  return encoding == Encoding::gzip ? gzip_bits : zlib_bits;
}

}  // namespace

std::optional<Encoding> parse_encoding(std::string_view name) {
  if (name.empty() || name == "identity")
    return Encoding::identity;
  if (name == "gzip")
    return Encoding::gzip;
  if (name == "deflate")
    return Encoding::deflate;
  return std::nullopt;
}

std::string_view name_of(Encoding encoding) {
  switch (encoding) {
    case Encoding::identity:
      return "identity";
    case Encoding::gzip:
      return "gzip";
    case Encoding::deflate:
      return "deflate";
  }
  return "identity";
}

Encoding best_of(std::string_view accepted) {
  Encoding best = Encoding::identity;
  while (!accepted.empty()) {
    const auto comma = accepted.find(',');
    std::string_view one = accepted.substr(0, comma);
    accepted.remove_prefix(comma == std::string_view::npos ? accepted.size() : comma + 1);
    while (!one.empty() && one.front() == ' ')
      one.remove_prefix(1);
    while (!one.empty() && one.back() == ' ')
      one.remove_suffix(1);
    const auto encoding = parse_encoding(one);
    if (encoding == Encoding::gzip)
      return Encoding::gzip;
    if (encoding == Encoding::deflate)
      best = Encoding::deflate;
  }
  return best;
}

std::string compress(Encoding encoding, std::string_view bytes) {
  if (encoding == Encoding::identity)
    return std::string(bytes);
  z_stream stream{};
  if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, bits(encoding), 8, Z_DEFAULT_STRATEGY) != Z_OK)
    throw std::bad_alloc();
  std::string out(deflateBound(&stream, static_cast<uLong>(bytes.size())), '\0');
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

std::optional<Status> decompress(Encoding encoding, std::string_view bytes, std::size_t most,
                                 std::string& to) {
  to.clear();
  if (encoding == Encoding::identity) {
    to = bytes;
    return std::nullopt;
  }
  z_stream stream{};
  if (inflateInit2(&stream, bits(encoding)) != Z_OK)
    throw std::bad_alloc();
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::array<char, 16384> piece;
  int state = Z_OK;
  std::optional<Status> fault;
  while (state == Z_OK && !fault) {
    stream.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream.avail_out = piece.size();
    state = inflate(&stream, Z_NO_FLUSH);
    const std::size_t made = piece.size() - stream.avail_out;
    if (to.size() + made > most)
      fault = Status::resource_exhausted;
    else
      to.append(piece.data(), made);
    if (state == Z_BUF_ERROR || (state == Z_OK && made == 0 && stream.avail_in == 0))
      break;  // it has no end
  }
  if (!fault && (state != Z_STREAM_END || stream.avail_in > 0))
    fault = Status::internal;
  inflateEnd(&stream);
  if (fault)
    to.clear();
  return fault;
}

}  // namespace lemonroute::grpc
