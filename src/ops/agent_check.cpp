#include "ops/agent_check.h"

namespace lemonroute::ops {
namespace {

constexpr std::chrono::seconds visit{2};
constexpr std::size_t most_visitors = 16;

}  // namespace

// The words are those of agent-check: "ready" and "drain" set the administrative state, "up" and "down" the
// operational one, so that a server that was drained comes back with the next report after its restart.
std::string agent_line(State state) {
  switch (state) {
    case State::up:
      return "ready up 100%\n";
    case State::draining:
      return "drain\n";
    case State::down:
      break;
  }
  return "ready down #no node is ready\n";
}

class AgentCheck::Visitor : net::Connection::Handler {
 public:
  Visitor(AgentCheck& owner, evutil_socket_t fd)
      : owner_(owner), timer_(owner.loop_, [this] { leave(); }), connection_(owner.loop_, fd, *this) {
    connection_.write(agent_line(owner.status_.state()));
    timer_.start(visit);
  }

 private:
  // An agent-send string may come in; it says nothing that is needed here.
  void on_readable() override {
    evbuffer_drain(connection_.input(), evbuffer_get_length(connection_.input()));
  }
  void on_drained() override { connection_.end_sending(); }
  void on_closed() override { leave(); }
  void leave() {
    const auto found = owner_.visitors_.find(this);
    if (found == owner_.visitors_.end())
      return;
    owner_.loop_.dispose(std::move(found->second));
    owner_.visitors_.erase(found);
  }
  AgentCheck& owner_;
  net::Timer timer_;
  net::Connection connection_;
};

AgentCheck::AgentCheck(net::Loop& loop, const std::string& listen, const Status& status, bool shared)
    : loop_(loop),
      status_(status),
      listener_(
          loop, listen,
          [this](evutil_socket_t fd) {
            if (visitors_.size() >= most_visitors) {
              evutil_closesocket(fd);
              return;
            }
            auto visitor = std::make_unique<Visitor>(*this, fd);
            visitors_[visitor.get()] = std::move(visitor);
          },
          shared) {}
AgentCheck::~AgentCheck() = default;

}  // namespace lemonroute::ops
