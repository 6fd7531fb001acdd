#include "relay/streams.h"

#include <deque>

namespace lemonroute::rig {
namespace {

using Steady = std::chrono::steady_clock;

std::string drained(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace

class StreamRelay::Pipe {
 public:
  Pipe(StreamRelay& relay, evutil_socket_t fd)
      : relay_(relay),
        near_(*this, relay.loop_, fd),
        far_(*this, relay.loop_, net::SocketAddress(relay.to_)) {}
  void relinked() {
    near_.carry();
    far_.carry();
  }
  bool over() const { return over_; }

 private:
  // One end, and what has come in there and waits for the other end.
  struct End : net::Connection::Handler {
    template <class To>
    End(Pipe& of, net::Loop& loop, const To& to)
        : pipe(of), due(loop, [this] { carry(); }), connection(loop, to, *this) {
      connection.limit_input(1 << 20);
    }
    void on_readable() override { carry(); }
    void on_closed() override {
      ended = true;
      carry();
    }
    Faults& faults() { return pipe.faults(*this); }
    // A cut leaves bytes, and the end of the connection too, where they are.
    void carry() {
      if (faults().cut || pipe.over_)
        return;
      const auto now = Steady::now();
      if (const std::string bytes = drained(connection.input()); !bytes.empty())
        waiting.emplace_back(now + faults().slow, bytes);
      End& other = pipe.other(*this);
      for (; !waiting.empty() && waiting.front().first <= now; waiting.pop_front())
        other.connection.write(waiting.front().second);
      if (!waiting.empty())
        return due.start(std::chrono::duration_cast<Micros>(waiting.front().first - now) + Micros(1));
      if (!ended)
        return;
      other.connection.push();
      pipe.over_ = true;
      pipe.relay_.drop(pipe);
    }
    Pipe& pipe;
    bool ended = false;
    std::deque<std::pair<Steady::time_point, std::string>> waiting;
    net::Timer due;
    net::Connection connection;
  };
  End& other(End& one) { return &one == &near_ ? far_ : near_; }
  Faults& faults(End& from) {
    return (&from == &near_ ? relay_.links_.between(relay_.router_, relay_.device_)
                            : relay_.links_.between(relay_.device_, relay_.router_))
        .faults;
  }
  StreamRelay& relay_;
  bool over_ = false;
  End near_, far_;
};

StreamRelay::StreamRelay(net::Loop& loop, const std::string& host, Links& links, std::string router,
                         std::string device)
    : loop_(loop),
      links_(links),
      host_(host),
      router_(std::move(router)),
      device_(std::move(device)),
      listener_(std::make_unique<net::Listener>(loop, host + ":0", [this](evutil_socket_t fd) {
        pipes_.push_back(std::make_unique<Pipe>(*this, fd));
        if (pipes_.back()->over())
          drop(*pipes_.back());  // the device refused at once
      })) {}
StreamRelay::~StreamRelay() = default;

void StreamRelay::relinked() {
  std::vector<Pipe*> all;  // one of them may drop itself
  for (auto& pipe : pipes_)
    all.push_back(pipe.get());
  for (auto* pipe : all)
    pipe->relinked();
}

void StreamRelay::drop(Pipe& pipe) {
  for (auto at = pipes_.begin(); at != pipes_.end(); ++at)
    if (at->get() == &pipe) {
      loop_.dispose(std::move(*at));
      pipes_.erase(at);
      return;
    }
}

}  // namespace lemonroute::rig
