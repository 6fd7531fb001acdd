// Header lists in the form that nghttp2 takes them.
#pragma once

#include <nghttp2/nghttp2.h>

#include <vector>

#include "grpc/message.h"

namespace lemonroute::grpc {

// Points into `headers`, which must outlive it.
inline std::vector<nghttp2_nv> to_nv(const Headers& headers) {
  std::vector<nghttp2_nv> nv;
  for (const auto& [name, value] : headers)
    nv.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                  reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
                  NGHTTP2_NV_FLAG_NONE});
  return nv;
}

}  // namespace lemonroute::grpc
