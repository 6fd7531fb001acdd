// The gRPC front: Drafting.Generate on the core.
#pragma once

#include "core/conductor.h"
#include "grpc/server.h"

namespace lemonroute::grpc {

class Front : public Service {
 public:
  explicit Front(Conductor& conductor) : conductor_(conductor) {}
  std::unique_ptr<Method> open(std::string_view path, const Headers& headers, ServerCall& call) override;

 private:
  Conductor& conductor_;
};

}  // namespace lemonroute::grpc
