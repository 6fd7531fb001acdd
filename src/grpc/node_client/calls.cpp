#include "grpc/node_client/calls.h"

#include <charconv>

#include "grpc/compression.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::grpc {
namespace {

enum class Ending { whole, not_sent, broken, malformed };

// One call to a node. Letting go of it resets the stream, which gives the call up.
class NodeCall : public Call, StreamEvents {
 public:
  NodeCall(Session& session, std::string_view authority, std::string_view method, std::string framed,
           Headers more, CallOver over, std::optional<Guard::Clock::time_point> deadline = {})
      : session_(&session), over_(std::move(over)) {
    Headers headers{{":method", "POST"},
                    {":scheme", "http"},
                    {":path", "/lemonroute.v1.Node/" + std::string(method)},
                    {":authority", std::string(authority)},
                    {"content-type", "application/grpc"},
                    {"te", "trailers"},
                    {"grpc-accept-encoding", std::string(accepted_encodings)}};
    headers.insert(headers.end(), more.begin(), more.end());
    id_ = session.request(headers, std::move(framed), *this, deadline);
  }
  ~NodeCall() override {
    leave();
    if (!session_)
      return;
    session_->reset(id_, NGHTTP2_CANCEL);
    // Guards against a connection that has gone silent: unlike HTTP/1.1, giving a call up leaves it open, and
    // every later call would wait on it in vain.
    session_->check_alive();
  }
  void set_reading_paused(bool on) override {
    if (session_)
      session_->hold_back(id_, on);
  }
  bool not_sent() const override { return session_ && session_->unsent(id_); }

 protected:
  struct End {
    Ending how;
    int status;     // of gRPC
    bool declined;  // before it ran
    std::string load;
  };
  virtual void progress() {}                         // a part of a message has come
  virtual bool message(std::string_view bytes) = 0;  // false: it can't be read
  virtual void ended(const End& end) = 0;            // this call may be gone after it
  void forget_load() { end_.load.clear(); }

 private:
  void leave() {
    if (const auto over = std::exchange(over_, {}))
      over(answered_);
  }
  void headers(const Headers& headers) override {
    answered_ = true;
    if (const auto name = find(headers, "grpc-encoding"); !name.empty())
      reader_->encoding(parse_encoding(name).value_or(Encoding::identity));
    if (const auto load = find(headers, "srv-load"); !load.empty())
      end_.load = load;
    end_.declined = end_.declined || find(headers, "srv-declined") == "1";
    const auto text = find(headers, "grpc-status");
    int status = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), status).ec == std::errc() && !text.empty())
      end_.status = status;
    has_status_ = has_status_ || !text.empty();
  }
  void data(std::string_view piece) override {
    // Guards against a stream that goes on after a message that can't be read: it is over there and then.
    // Danger: whoever is told of an event may let go of this call, with more events behind it in the piece.
    const std::shared_ptr<MessageReader> reader = reader_;
    const std::weak_ptr<bool> here = here_;
    progress();
    bool readable = true;
    const auto fault = reader->feed(piece, [&](std::string_view bytes) {
      if (readable && !here.expired())
        readable = message(bytes);
    });
    if (here.expired() || (!fault && readable))
      return;
    std::exchange(session_, nullptr)->reset(id_, NGHTTP2_CANCEL);
    end_.how = Ending::malformed;
    leave();
    ended(end_);
  }
  void closed(std::uint32_t code, bool sent) override {
    session_ = nullptr;
    if (has_status_)
      end_.how = Ending::whole;
    // Whatever the code says: of one that was answered it can't be true that it was not handled.
    else if (!sent && !answered_)
      end_.how = Ending::not_sent;
    else
      end_.how = code == 0 ? Ending::malformed : Ending::broken;
    leave();
    ended(end_);
  }

  Session* session_;
  std::int32_t id_ = 0;
  bool has_status_ = false, answered_ = false;
  CallOver over_;
  std::shared_ptr<MessageReader> reader_ = std::make_shared<MessageReader>();
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // goes with this call
  End end_{Ending::broken, 2, false, {}};
};

class RunCall : public NodeCall {
 public:
  RunCall(Session& session, const Node& node, const Prompt& prompt, Micros within, AttemptHandler& attempt,
          CallOver over)
      : NodeCall(session, node.address, "Run", frame(request(prompt)), {{"req-id", prompt.id}},
                 std::move(over), Guard::Clock::now() + within),
        attempt_(attempt) {}

 private:
  void written() override { attempt_.on_request_written(); }
  static v1::RunRequest request(const Prompt& prompt) {
    v1::RunRequest request;
    request.set_id(prompt.id);
    request.set_target(prompt.target);
    request.set_body(*prompt.body);
    return request;
  }
  void progress() override {
    if (events_)
      attempt_.on_progress();
  }
  bool message(std::string_view bytes) override {
    v1::RunEvent event;
    if (!event.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return false;
    if (event.has_read()) {
      read_ = true;
      result_.cached_tokens = event.read().cached_tokens();
    } else if (event.kind_case() == v1::RunEvent::kData) {
      // Guards the age of reports: what the head told is as old as the stream by the time the attempt ends.
      if (!std::exchange(events_, true))
        forget_load();
      attempt_.on_data(event.data());
    }
    return true;
  }
  void ended(const End& end) override {
    result_.load_report = end.load;
    result_.detail = "status " + std::to_string(end.status);
    const auto status = static_cast<Status>(end.status);
    if (end.how == Ending::not_sent)
      result_.outcome = Outcome::connect_failed;
    else if (end.how == Ending::broken || (events_ && (end.how == Ending::malformed || status != Status::ok)))
      result_.outcome = Outcome::reset;
    else if (end.how == Ending::malformed)
      result_.outcome = Outcome::error;
    else if (status == Status::ok && read_)
      result_.outcome = Outcome::prefill_done;
    else if (status == Status::ok && events_)
      result_.outcome = Outcome::ok;
    else if (end.declined && status == Status::unavailable)
      result_.outcome = Outcome::rejected_over_capacity;
    else if (end.declined && status == Status::failed_precondition) {
      result_.outcome = Outcome::rejected_over_capacity;
      result_.cached_tokens = 1;
    } else {
      result_.outcome = Outcome::error;
      result_.bad_request = status == Status::invalid_argument;
    }
    attempt_.on_done(result_);
  }

  AttemptHandler& attempt_;
  AttemptResult result_;
  bool read_ = false, events_ = false;
};

class SimpleCall : public NodeCall {
 public:
  using Done = std::function<void(const AttemptResult&)>;
  SimpleCall(Session& session, const Node& node, std::string_view method, std::string framed, Done done,
             CallOver over)
      : NodeCall(session, node.address, method, std::move(framed), {}, std::move(over)),
        done_(std::move(done)) {}

 private:
  bool message(std::string_view bytes) override {
    v1::LoadReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return false;
    result_.load_report = reply.report();
    return true;
  }
  void ended(const End& end) override {
    if (end.how == Ending::not_sent)
      result_.outcome = Outcome::connect_failed;
    else if (end.how == Ending::broken)
      result_.outcome = Outcome::reset;
    else
      result_.outcome = end.how == Ending::whole && end.status == 0 ? Outcome::ok : Outcome::error;
    const auto done = std::move(done_);
    const AttemptResult result = std::move(result_);
    done(result);
  }

  Done done_;
  AttemptResult result_;
};

class UnsentCall : public Call {
 public:
  UnsentCall(net::Loop& loop, std::function<void()> told)
      : told_(std::make_shared<std::function<void()>>(std::move(told))) {
    loop.defer([weak = std::weak_ptr(told_)] {
      if (const auto told = weak.lock())
        (*told)();
    });
  }
  bool not_sent() const override { return true; }

 private:
  std::shared_ptr<std::function<void()>> told_;
};

}  // namespace

std::unique_ptr<Call> run_call(Session& session, const Node& node, const Prompt& prompt, Micros within,
                               AttemptHandler& attempt, CallOver over) {
  return std::make_unique<RunCall>(session, node, prompt, within, attempt, std::move(over));
}
std::unique_ptr<Call> simple_call(Session& session, const Node& node, std::string_view method,
                                  std::string framed, std::function<void(const AttemptResult&)> done,
                                  CallOver over) {
  return std::make_unique<SimpleCall>(session, node, method, std::move(framed), std::move(done),
                                      std::move(over));
}
std::unique_ptr<Call> unsent_call(net::Loop& loop, std::function<void()> told) {
  return std::make_unique<UnsentCall>(loop, std::move(told));
}

}  // namespace lemonroute::grpc
