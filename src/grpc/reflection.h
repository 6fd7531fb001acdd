// Server reflection: common tools list the services and their messages by it, without our .proto files.
#pragma once

#include "grpc/server.h"

namespace lemonroute::grpc {

class Reflection : public Service {
 public:
  std::unique_ptr<Method> open(std::string_view path, const Headers& headers, ServerCall& call) override;
};

}  // namespace lemonroute::grpc
