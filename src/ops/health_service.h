// grpc.health.v1: Check and Watch.
#pragma once

#include "grpc/server.h"
#include "ops/status.h"

namespace lemonroute::ops {

class HealthService : public grpc::Service {
 public:
  explicit HealthService(Status& status) : status_(status) {}
  std::unique_ptr<grpc::Method> open(std::string_view path, const grpc::Headers& headers,
                                     grpc::ServerCall& call) override;

 private:
  Status& status_;
};

}  // namespace lemonroute::ops
