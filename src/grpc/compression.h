// Message compression of gRPC (its compression page), on zlib.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "grpc/message.h"

namespace lemonroute::grpc {

constexpr std::string_view accepted_encodings = "identity,deflate,gzip";

// The value of grpc-encoding; nothing for one that is not spoken here. "" is identity.
std::optional<Encoding> parse_encoding(std::string_view name);
std::string_view name_of(Encoding encoding);
// The best that a grpc-accept-encoding list allows.
Encoding best_of(std::string_view accepted);

std::string compress(Encoding encoding, std::string_view bytes);
// At most `most` bytes are ever made, however much is behind `bytes`: resource_exhausted then. internal: it
// is no such stream, has no end, or something follows its end.
std::optional<Status> decompress(Encoding encoding, std::string_view bytes, std::size_t most,
                                 std::string& to);

}  // namespace lemonroute::grpc
