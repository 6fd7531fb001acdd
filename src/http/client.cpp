#include "http/client.h"

namespace lemonroute::http {

class PooledConnection : net::Connection::Handler {
 public:
  PooledConnection(Client& owner, const std::string& address)
      : owner_(owner),
        address_(address),
        timer_(owner.loop_, [this] { on_timer(); }),
        connection_(owner.loop_, net::SocketAddress(address), *this, owner.limits_.purpose) {}

  void start(Exchange& exchange, Listener& listener, std::string_view head,
             std::shared_ptr<const std::string> body) {
    exchange_ = &exchange;
    listener_ = &listener;
    exchange.connection_ = this;
    has_head_ = written_ = false;
    if (!connected_)
      timer_.start(connection_.started() ? owner_.limits_.connect_timeout : microseconds(0));
    else
      timer_.stop();
    if (!connection_.started())
      return;
    connection_.write(head);
    if (body)
      connection_.write(std::move(body));
    // Danger: whatever comes between the look at a connection that rested and the first byte on it is taken
    // for the answer. So that byte doesn't wait for the loop.
    if (connected_)
      connection_.push();
  }
  PooledConnection(Client& owner, const std::string& address, const TransferredConnection& adopted)
      : owner_(owner),
        address_(address),
        timer_(owner.loop_, [this] { on_timer(); }),
        connected_(true),
        has_head_(true),
        closes_(adopted.close_after_response),
        written_(true),
        body_(Body::going_on()),
        connection_(owner.loop_, adopted.fd, *this) {}
  void go_on(Exchange& exchange, Listener& listener) {
    exchange_ = &exchange;
    listener_ = &listener;
    exchange.connection_ = this;
  }
  std::optional<TransferredConnection> passable() {
    const bool between = has_head_ && body_.between_chunks() && connection_.at_rest();
    return between ? std::optional(TransferredConnection{connection_.descriptor(), closes_}) : std::nullopt;
  }
  void passed() {
    connection_.read(false);  // what comes from now on is for the other process
    exchange_ = nullptr;
    owner_.discard(*this);
  }
  void rest() { timer_.start(owner_.limits_.idle); }
  void drop_exchange() {
    exchange_ = nullptr;
    if (connection_.started())
      connection_.end_sending();  // gives the request up before anything else is sent
    owner_.discard(*this);
  }
  void hold_back(bool on) { connection_.read(!on); }
  void ends_soon() { timer_.start(owner_.limits_.head); }
  bool unsent() const { return !connected_; }
  const std::string& address() const { return address_; }
  bool silent() const { return connection_.silent(); }

 private:
  void on_connected() override {
    connected_ = true;
    timer_.stop();
  }
  // Once an exchange: all of it was handed to the connection at its start.
  void on_drained() override {
    if (exchange_ && !std::exchange(written_, true))
      listener_->written();
  }
  // Connecting took too long, or the head of an answer, or it was idle long enough.
  void on_timer() { end(connected_ && exchange_ ? Ending::malformed : Ending::not_sent); }

  void on_readable() override {
    if (!exchange_)
      return end(Ending::malformed);  // nobody asked
    if (connection_.unsent() == 0)
      on_drained();  // may not have been told yet
    if (!exchange_)
      return;
    if (!has_head_ && !take_head())
      return;
    if (!exchange_)
      return;
    const auto state = body_.take(connection_.input(), [this](std::string_view piece) {
      listener_->body(piece);
      return exchange_ != nullptr;
    });
    if (!exchange_)
      return;
    if (state == Body::State::fault)
      return end(Ending::malformed);
    if (state == Body::State::whole)
      finish();
  }

  bool take_head() {
    for (;;) {
      const HeadScan scan = scan_head(connection_.input(), Kind::answer, scanned_);
      if (scan.state == Scan::more) {
        if (!timer_.pending() && evbuffer_get_length(connection_.input()) > 0)
          timer_.start(owner_.limits_.head);
        return false;
      }
      timer_.stop();
      std::optional<Body> body;
      if (scan.state == Scan::head)
        body = Body::of_answer(scan.head);
      if (!body) {
        end(Ending::malformed);
        return false;
      }
      if (scan.head.status >= 200) {
        body_ = *body;
        closes_ = scan.head.closes() || body_.until_close();
        has_head_ = true;
        listener_->head(scan.head);
        if (exchange_)
          evbuffer_drain(connection_.input(), scan.length);
        return true;
      }
      evbuffer_drain(connection_.input(), scan.length);  // an interim answer
    }
  }

  void on_closed() override {
    if (exchange_ && has_head_ && body_.until_close())
      return end(Ending::whole);
    // Bytes that never left prove that the node has not run the request; but not against an answer that has
    // begun.
    end(!connected_ || (connection_.unsent() > 0 && !has_head_) ? Ending::not_sent : Ending::broken);
  }

  // The answer is whole; the connection can serve again if both sides are through with this exchange.
  void finish() {
    timer_.stop();
    const bool reusable =
        !closes_ && connection_.unsent() == 0 && evbuffer_get_length(connection_.input()) == 0;
    Listener& listener = *listener_;
    exchange_->connection_ = nullptr;
    exchange_ = nullptr;
    if (reusable) {
      connection_.read(true);
      owner_.idle(*this);
    } else {
      owner_.discard(*this);
    }
    listener.ended(Ending::whole);
  }

  void end(Ending how) {
    Listener* listener = exchange_ ? listener_ : nullptr;
    if (how == Ending::malformed)
      owner_.loop_.tally().count(net::Overdone::bad_answer);  // the core logs the attempt
    if (exchange_)
      exchange_->connection_ = nullptr;
    exchange_ = nullptr;
    timer_.stop();
    owner_.discard(*this);
    if (listener)
      listener->ended(how);
  }

  Client& owner_;
  std::string address_;
  net::Timer timer_;
  Exchange* exchange_ = nullptr;
  Listener* listener_ = nullptr;
  bool connected_ = false, has_head_ = false, closes_ = false, written_ = false;
  std::size_t scanned_ = 0;
  Body body_;
  net::Connection connection_;
};

Exchange::~Exchange() {
  if (connection_)
    connection_->drop_exchange();
}
void Exchange::hold_back(bool on) {
  if (connection_)
    connection_->hold_back(on);
}
void Exchange::ends_soon() {
  if (connection_)
    connection_->ends_soon();
}

bool Exchange::unsent() const {
  return connection_ && connection_->unsent();
}

std::optional<TransferredConnection> Exchange::passable() const {
  return connection_ ? connection_->passable() : std::nullopt;
}
void Exchange::passed() {
  if (connection_)
    std::exchange(connection_, nullptr)->passed();
}

Client::Client(net::Loop& loop, ClientLimits limits) : loop_(loop), limits_(limits), idle_(limits.rest) {}
Client::~Client() = default;

std::unique_ptr<Exchange> Client::start(const std::string& address, std::string_view head,
                                        std::shared_ptr<const std::string> body, Listener& listener) {
  PooledConnection* connection = take_idle(address);
  if (!connection) {
    auto made = std::make_unique<PooledConnection>(*this, address);
    connection = made.get();
    all_[connection] = std::move(made);
  }
  auto exchange = std::make_unique<Exchange>();
  connection->start(*exchange, listener, head, std::move(body));
  return exchange;
}

std::unique_ptr<Exchange> Client::adopt(const std::string& address, const TransferredConnection& connection,
                                        Listener& listener) {
  auto made = std::make_unique<PooledConnection>(*this, address, connection);
  auto exchange = std::make_unique<Exchange>();
  made->go_on(*exchange, listener);
  PooledConnection* const at = made.get();
  all_[at] = std::move(made);
  return exchange;
}

// Guards against a node that closed a connection, or sent a second answer on it, while it rested: what has
// come in but was not looked at yet would be lost with the request, or be taken for its answer.
PooledConnection* Client::take_idle(const std::string& address) {
  for (;;) {
    PooledConnection* const connection = idle_.take(address, std::chrono::steady_clock::now());
    if (!connection || connection->silent())
      return connection;
    discard(*connection);
  }
}

void Client::hang_up(const std::string& address) {
  for (auto* connection : idle_.all(address))
    discard(*connection);
}

void Client::idle(PooledConnection& connection) {
  idle_.put(connection.address(), connection, std::chrono::steady_clock::now());
  connection.rest();
  // Guards the process's descriptors: what rests here is what clients and calls can't have. The one at rest
  // the longest is the least missed.
  while (idle_.size() > limits_.idle_most)
    discard(*idle_.longest());
}

void Client::discard(PooledConnection& connection) {
  const auto found = all_.find(&connection);
  if (found == all_.end())
    return;
  idle_.remove(connection.address(), connection);
  loop_.dispose(std::move(found->second));
  all_.erase(found);
}

}  // namespace lemonroute::http
