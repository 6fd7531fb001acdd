// The gRPC front: Drafting.Generate on the core.
#pragma once

#include "core/router.h"
#include "grpc/server.h"

namespace lemonroute::grpc {

class Front : public Service {
 public:
  explicit Front(Router& router) : router_(router) {}
  std::unique_ptr<Method> open(std::string_view path, const Headers& headers, ServerCall& call) override;

 private:
  Router& router_;
};

}  // namespace lemonroute::grpc
