// An HTTP/1.1 client with a pool of idle connections. Nothing is ever sent a second time here.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/types.h"
#include "http/idle_pool.h"
#include "http/message.h"
#include "net/connection.h"

namespace lemonroute::http {

using std::chrono::microseconds;

enum class Ending {
  whole,      // the answer came to its end
  not_sent,   // no connection, or it broke before the last byte of the request was written
  broken,     // it broke after that
  malformed,  // the answer is no HTTP
};

// What comes of one exchange. `ended` comes once, last, and never from within Client::start; whoever gets it
// may let go of the exchange there and then.
class Listener {
 public:
  virtual ~Listener() = default;
  virtual void written() {}  // the last byte of the request has gone to the kernel
  virtual void head(const Head& head) = 0;
  virtual void body(std::string_view piece) = 0;
  virtual void ended(Ending how) = 0;
};

struct ClientLimits {
  microseconds connect_timeout{std::chrono::milliseconds(250)};
  microseconds idle{std::chrono::seconds(8)};  // idle connections are retired after it
  std::size_t idle_most = 64;                  // of all addresses together
  // A connection is silent for so long before it carries another request, so that a second answer some
  // milliseconds behind a good one finds it at rest.
  microseconds rest{std::chrono::milliseconds(40)};
  microseconds head{
      std::chrono::seconds(1)};  // for a head to end that has begun, and an answer that is no stream
  net::Purpose purpose = net::Purpose::discovery;
};

class PooledConnection;

// One request and its answer. Letting go of it before the end closes the connection.
class Exchange {
 public:
  ~Exchange();
  void hold_back(bool on);  // stops or goes on reading the answer
  void ends_soon();  // its answer is no stream: it is malformed if it does not end as soon as a head has to
  bool unsent() const;  // its connection has not come up
  std::optional<TransferredConnection> passable()
      const;      // between two chunks of an answer, with nothing read ahead
  void passed();  // its connection is another process's now

 private:
  friend class PooledConnection;
  friend class Client;
  PooledConnection* connection_ = nullptr;
};

class Client {
 public:
  Client(net::Loop& loop, ClientLimits limits);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  std::unique_ptr<Exchange> start(const std::string& address, std::string_view head,
                                  std::shared_ptr<const std::string> body, Listener& listener);
  // An exchange that another process began; its answer goes on after a chunk.
  std::unique_ptr<Exchange> adopt(const std::string& address, const TransferredConnection& connection,
                                  Listener& listener);
  void hang_up(const std::string& address);
  void limit(microseconds connect_timeout, microseconds idle, std::size_t idle_most) {
    limits_.connect_timeout = connect_timeout;
    limits_.idle = idle;
    limits_.idle_most = idle_most;
  }

 private:
  friend class PooledConnection;
  void idle(PooledConnection& connection);
  void discard(PooledConnection& connection);
  PooledConnection* take_idle(const std::string& address);

  net::Loop& loop_;
  ClientLimits limits_;
  IdlePool<PooledConnection> idle_;
  std::map<PooledConnection*, std::unique_ptr<PooledConnection>> all_;
};

}  // namespace lemonroute::http
