#include "grpc/node_client.h"

#include <charconv>

#include "proto/lemonroute.pb.h"

namespace lemonroute::grpc {
namespace {

enum class Ending { whole, not_sent, broken, malformed };

// One call to a node. Letting go of it resets the stream, which gives the call up.
class NodeCall : public Call, StreamEvents {
 public:
  NodeCall(Session& session, std::string_view authority, std::string_view method, std::string framed,
           Headers more)
      : session_(&session) {
    Headers headers{{":method", "POST"},
                    {":scheme", "http"},
                    {":path", "/lemonroute.v1.Node/" + std::string(method)},
                    {":authority", std::string(authority)},
                    {"content-type", "application/grpc"},
                    {"te", "trailers"}};
    headers.insert(headers.end(), more.begin(), more.end());
    id_ = session.request(headers, std::move(framed), *this);
  }
  ~NodeCall() override {
    if (!session_) return;
    session_->reset(id_, NGHTTP2_CANCEL);
    // Guards against a connection that has gone silent: unlike HTTP/1.1, giving a call up leaves it open, and
    // every later call would wait on it in vain.
    session_->check_alive();
  }
  void hold_back(bool on) override {
    if (session_) session_->hold_back(id_, on);
  }

 protected:
  struct End {
    Ending how;
    int status;       // of gRPC
    bool declined;    // before it ran
    std::string load;
  };
  virtual bool message(std::string_view bytes) = 0;  // false: it can't be read
  virtual void ended(const End& end) = 0;  // this call may be gone after it
  void forget_load() { end_.load.clear(); }

 private:
  void headers(const Headers& headers) override {
    if (const auto load = find(headers, "srv-load"); !load.empty()) end_.load = load;
    end_.declined = end_.declined || find(headers, "srv-declined") == "1";
    const auto text = find(headers, "grpc-status");
    int status = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), status).ec == std::errc() && !text.empty())
      end_.status = status;
    has_status_ = has_status_ || !text.empty();
  }
  void data(std::string_view piece) override {
    // Guards against a stream that goes on after a message that can't be read: it is over there and then.
    const auto fault = reader_.feed(piece, [this](std::string_view bytes) { malformed_ |= !message(bytes); });
    if (!fault && !malformed_) return;
    std::exchange(session_, nullptr)->reset(id_, NGHTTP2_CANCEL);
    end_.how = Ending::malformed;
    ended(end_);
  }
  void closed(std::uint32_t code, bool sent) override {
    session_ = nullptr;
    if (has_status_) end_.how = Ending::whole;
    else if (!sent) end_.how = Ending::not_sent;
    else end_.how = code == 0 ? Ending::malformed : Ending::broken;
    ended(end_);
  }

  Session* session_;
  std::int32_t id_ = 0;
  bool malformed_ = false, has_status_ = false;
  MessageReader reader_;
  End end_{Ending::broken, 2, false, {}};
};

class RunCall : public NodeCall {
 public:
  RunCall(Session& session, const Node& node, const Prompt& prompt, Micros within, Attempt& attempt)
      : NodeCall(session, node.address, "Run", frame(request(prompt)),
                 {{"grpc-timeout", timeout_text(within)}, {"req-id", prompt.id}}),
        attempt_(attempt) {}

 private:
  void written() override { attempt_.written(); }
  static v1::RunRequest request(const Prompt& prompt) {
    v1::RunRequest request;
    request.set_id(prompt.id);
    request.set_target(prompt.target);
    request.set_body(*prompt.body);
    return request;
  }
  bool message(std::string_view bytes) override {
    v1::RunEvent event;
    if (!event.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    if (event.has_read()) {
      read_ = true;
      result_.kept = event.read().cached_tokens();
    } else if (event.kind_case() == v1::RunEvent::kData) {
      // Guards the age of reports: what the head told is as old as the stream by the time the attempt ends.
      if (!std::exchange(events_, true)) forget_load();
      attempt_.event(event.data());
    }
    return true;
  }
  void ended(const End& end) override {
    result_.load = end.load;
    result_.detail = "status " + std::to_string(end.status);
    const auto status = static_cast<Status>(end.status);
    if (end.how == Ending::not_sent) result_.outcome = Outcome::connect_failed;
    else if (end.how == Ending::broken) result_.outcome = Outcome::reset;
    else if (end.how == Ending::malformed) result_.outcome = events_ ? Outcome::reset : Outcome::error;
    else if (status == Status::ok && read_) result_.outcome = Outcome::read;
    else if (status == Status::ok && events_) result_.outcome = Outcome::ok;
    else if (events_) result_.outcome = Outcome::reset;
    else if (end.declined && status == Status::unavailable) result_.outcome = Outcome::full;
    else if (end.declined && status == Status::failed_precondition) {
      result_.outcome = Outcome::full;
      result_.kept = 1;
    } else {
      result_.outcome = Outcome::error;
      result_.unfit = status == Status::invalid_argument;
    }
    attempt_.done(result_);
  }

  Attempt& attempt_;
  Result result_;
  bool read_ = false, events_ = false;
};

class SimpleCall : public NodeCall {
 public:
  using Done = std::function<void(const Result&)>;
  SimpleCall(Session& session, const Node& node, std::string_view method, std::string framed, Done done)
      : NodeCall(session, node.address, method, std::move(framed), {}), done_(std::move(done)) {}

 private:
  bool message(std::string_view bytes) override {
    v1::LoadReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    result_.load = reply.report();
    return true;
  }
  void ended(const End& end) override {
    if (end.how == Ending::not_sent) result_.outcome = Outcome::connect_failed;
    else if (end.how == Ending::broken) result_.outcome = Outcome::reset;
    else result_.outcome = end.how == Ending::whole && end.status == 0 ? Outcome::ok : Outcome::error;
    const auto done = std::move(done_);
    const Result result = std::move(result_);
    done(result);
  }

  Done done_;
  Result result_;
};

}  // namespace

Session& NodeClient::session(const std::string& address) {
  Session*& current = current_[address];
  if (!current || !current->usable()) {
    std::unique_ptr<Session> made(new Session(loop_, address, *this, limits_));
    current = made.get();
    all_[current] = std::move(made);
  }
  return *current;
}

void NodeClient::closed(Session& session) {
  for (auto& [address, current] : current_)
    if (current == &session) current = nullptr;
  const auto found = all_.find(&session);
  if (found == all_.end()) return;
  loop_.dispose(std::move(found->second));
  all_.erase(found);
}

std::unique_ptr<Call> NodeClient::begin(const Node& node, const Prompt& prompt, Micros within,
                                        Attempt& attempt) {
  return std::make_unique<RunCall>(session(node.address), node, prompt, within, attempt);
}

std::unique_ptr<Call> NodeClient::release(const Node& node, const std::string& id,
                                          std::function<void(bool)> done) {
  v1::ReleaseRequest request;
  request.set_id(id);
  return std::make_unique<SimpleCall>(session(node.address), node, "Release", frame(request),
                                      [done = std::move(done)](const Result& result) {
                                        done(result.outcome == Outcome::ok);
                                      });
}

std::unique_ptr<Call> NodeClient::probe(const Node& node, std::function<void(const Result&)> done) {
  return std::make_unique<SimpleCall>(session(node.address), node, "Load", frame(v1::LoadRequest()),
                                      std::move(done));
}

void NodeClient::hang_up(const Node& node) {
  const auto found = current_.find(node.address);
  if (found != current_.end() && found->second && found->second->quiet()) found->second->go_away();
}

}  // namespace lemonroute::grpc
