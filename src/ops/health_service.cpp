#include "ops/health_service.h"

#include "proto/health.pb.h"

namespace lemonroute::ops {
namespace {

namespace health = ::grpc::health::v1;

health::HealthCheckResponse answer(health::HealthCheckResponse::ServingStatus status) {
  health::HealthCheckResponse response;
  response.set_status(status);
  return response;
}
health::HealthCheckResponse answer(State state) {
  return answer(state == State::up ? health::HealthCheckResponse::SERVING
                                   : health::HealthCheckResponse::NOT_SERVING);
}

class HealthMethod : public grpc::Method {
 public:
  HealthMethod(Status& status, grpc::ServerCall& call, bool watch)
      : status_(status), call_(call), watch_(watch) {}

 private:
  void message(std::string_view bytes) override {
    health::HealthCheckRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return call_.finish(grpc::Status::invalid_argument, "the message can't be read");
    // "" asks for the server as a whole.
    const bool known = request.service().empty() || request.service() == "lemonroute.v1.Drafting";
    if (!watch_) {
      if (!known)
        return call_.finish(grpc::Status::not_found, "no such service");
      call_.send_message(answer(status_.state()));
      return call_.finish(grpc::Status::ok, "");
    }
    // A watch of an unknown service stays open: the service may come later.
    if (!known)
      call_.send_message(answer(health::HealthCheckResponse::SERVICE_UNKNOWN));
    report(status_.state(), known);
    if (status_.state() != State::draining)
      handle_ = status_.watch([this, known](State state) { report(state, known); });
  }
  // A watch ends with the report that the server drains: one left open would keep the process from ending.
  void report(State state, bool known) {
    if (known)
      call_.send_message(answer(state));
    if (state == State::draining)
      call_.finish(grpc::Status::unavailable, "draining");
  }

  Status& status_;
  grpc::ServerCall& call_;
  bool watch_;
  Status::Handle handle_;
};

}  // namespace

std::unique_ptr<grpc::Method> HealthService::open(std::string_view path, const grpc::Headers&,
                                                  grpc::ServerCall& call) {
  constexpr std::string_view service = "/grpc.health.v1.Health/";
  if (!path.starts_with(service))
    return nullptr;
  const auto method = path.substr(service.size());
  if (method != "Check" && method != "Watch")
    return nullptr;
  return std::make_unique<HealthMethod>(status_, call, method == "Watch");
}

}  // namespace lemonroute::ops
