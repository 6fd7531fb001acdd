// What a client of the gRPC front says, frame by frame.
#pragma once

#include "crossings/grpc/stand_in_node.h"
#include "grpc/front.h"
#include "grpc/server.h"
#include "net/core_bed.h"

namespace lemonroute::crossings {

inline string call_head(Peer& peer, std::uint32_t stream, const Headers& more = {},
                        const string& path = "/lemonroute.v1.Drafting/Generate") {
  Headers all{{":method", "POST"}, {":scheme", "http"}, {":path", path},
              {":authority", "x"}, {"te", "trailers"},  {"content-type", "application/grpc"}};
  all.insert(all.end(), more.begin(), more.end());
  return frame(HEADERS, END_HEADERS, stream, peer.block(all));
}
inline string call_message(const string& id) {
  v1::GenerateRequest request;
  request.set_id(id);
  request.set_kind("k");
  request.set_prompt_tokens(100);
  request.set_body("{}");
  return grpc::frame(request.SerializeAsString());
}
inline string call(Peer& peer, std::uint32_t stream, const string& id) {
  return call_head(peer, stream) + frame(DATA, END_STREAM, stream, call_message(id));
}
// The whole events of an answer that have come.
inline std::vector<string> events_of(const Peer& peer, std::uint32_t stream) {
  std::vector<string> texts;
  grpc::MessageReader reader;
  reader.feed(peer.body(stream), [&](std::string_view bytes) {
    v1::GenerateEvent one;
    if (one.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      texts.push_back(one.data());
  });
  return texts;
}
inline bool hello(Peer& peer, const string& settings = {}) {
  peer.send(preface + frame(SETTINGS, NONE, 0, settings));
  if (!peer.until([&] { return peer.find(SETTINGS, 0) != nullptr; }))
    return false;
  peer.send(frame(SETTINGS, ACK, 0, ""));
  return true;
}

}  // namespace lemonroute::crossings
