#include "grpc/front.h"

#include "grpc/status_details.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::grpc {
namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::size_t most_body = 256 * 1024;

class Generate : public Method, Client {
 public:
  Generate(Router& router, ServerCall& call, std::string_view timeout)
      : router_(router), call_(call), timeout_(timeout) {}
  // The client has cancelled the call, or its connection is lost.
  ~Generate() override {
    if (taken_)
      router_.client_disconnected(id_);
  }

 private:
  void message(std::string_view bytes) override {
    v1::GenerateRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return call_.finish(Status::invalid_argument, "the message can't be read");
    if (!is_valid_request_id(request.id()))
      return call_.finish(Status::invalid_argument, "the id is missing or odd");
    if (request.body().size() > most_body)
      return call_.finish(Status::resource_exhausted, "the body is too large");
    ClientRequest client_request;
    if (!timeout_.empty()) {
      const auto budget = parse_timeout(timeout_);
      if (!budget)
        return call_.finish(Status::invalid_argument, "grpc-timeout can't be read");
      // Danger: a request that comes in pieces. Its client's time runs from its call on.
      const auto passed = std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - opened_);
      client_request.time_budget = std::max(*budget - passed, Micros(1));
    }
    client_request.prompt = {request.id(), std::string(chat_path),
                             net::budgeted_text(call_.memory(), std::move(*request.mutable_body()))};
    client_request.request_class = request.kind();
    client_request.tenant = request.tenant();
    client_request.session_key = key_from_text(request.session());
    client_request.shared_prefix_key = key_from_text(request.prefix());
    client_request.prompt_tokens = request.prompt_tokens();
    client_request.shared_prefix_tokens = request.prefix_tokens();
    client_request.max_output_tokens = request.max_output();
    client_request.is_retry = request.repeat();
    taken_ = true;  // the answer may come before take returns
    switch (router_.submit(client_request, *this, id_)) {
      case Router::SubmitResult::accepted:
        return;
      case Router::SubmitResult::unknown_class:
        taken_ = false;
        return call_.finish(Status::invalid_argument, "the kind is not known");
      case Router::SubmitResult::duplicate_id:
        taken_ = false;
        return call_.finish(Status::already_exists, "a request with this id is open");
      case Router::SubmitResult::shutting_down:
        return reject(Micros(0));
    }
  }
  void drained() override { router_.resume_stream(id_); }

  bool has_disconnected() const override { return call_.client_has_closed(); }
  void on_disconnected() override { end(Status::cancelled, "the client has gone"); }
  bool on_data(std::string_view data) override {
    v1::GenerateEvent event;
    event.set_data(std::string(data));
    return call_.send_message(event);
  }
  void finish() override { end(Status::ok, ""); }
  void reject(Micros stay_away) override {
    // A negative pushback would forbid to try again; without a hint none is sent.
    Headers pushback;
    if (stay_away > Micros(0))
      pushback.emplace_back("grpc-retry-pushback-ms",
                            std::to_string(std::chrono::ceil<std::chrono::milliseconds>(stay_away).count()));
    end(Status::unavailable, "refused, try again", "REFUSED", std::move(pushback), stay_away);
  }
  void fail(FailureReason why) override {
    if (why == FailureReason::timed_out)
      end(Status::deadline_exceeded, "no answer in time", "NO_ANSWER_IN_TIME");
    else if (why == FailureReason::bad_request)
      end(Status::invalid_argument, "no node can use the request", "UNFIT_FOR_NODES");
    else
      end(Status::internal, "the nodes failed", "NODES_FAILED");
  }
  void abort_stream() override { end(Status::aborted, "the stream broke", "STREAM_BROKE"); }
  void end(Status status, std::string_view text, std::string_view reason = {}, Headers more = {},
           Micros retry = {}) {
    taken_ = false;
    if (!reason.empty())
      more.push_back(status_details(status, text, reason, retry));
    call_.finish(status, text, more);
  }

  Router& router_;
  ServerCall& call_;
  std::string timeout_;
  const std::chrono::steady_clock::time_point opened_ = std::chrono::steady_clock::now();
  RequestId id_ = 0;
  bool taken_ = false;
};

}  // namespace

std::unique_ptr<Method> Front::open(std::string_view path, const Headers& headers, ServerCall& call) {
  if (path != "/lemonroute.v1.Drafting/Generate")
    return nullptr;
  return std::make_unique<Generate>(router_, call, find(headers, "grpc-timeout"));
}

}  // namespace lemonroute::grpc
