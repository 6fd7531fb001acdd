// Nodes that speak gRPC (service Node), over a few connections each. Which connection takes a call is Pool's
// decision.
#pragma once

#include <map>
#include <optional>

#include "core/types.h"
#include "grpc/pool.h"
#include "grpc/session.h"

namespace lemonroute::grpc {

class NodeClient : public NodeTransport, SessionOwner {
 public:
  NodeClient(net::Loop& loop, Session::Limits limits, Pool::Limits pool = {});
  ~NodeClient() override;
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                      AttemptHandler& attempt) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node& node, std::function<void(const AttemptResult&)> done) override;
  void close_idle_connections(const Node& node) override;
  void set_limits(const Limits& limits) override;
  std::size_t connections() const { return all_.size(); }

 private:
  struct Place {
    explicit Place(Pool::Limits limits) : pool(limits) {}
    Pool pool;
    std::map<Pool::Id, Session*> sessions;
  };
  struct Held {
    std::unique_ptr<Session> session;
    std::string address;
    Pool::Id id = 0;
  };
  struct Taken {
    Session* session;
    std::function<void(bool)> over;
  };
  struct Known {
    Pool* pool = nullptr;
    Pool::Id id = 0;
  };
  void connected(Session& session) override;
  void allowed(Session& session, std::uint32_t streams) override;
  void going(Session& session) override;
  void doubted(Session& session, bool on) override;
  void closed(Session& session) override;
  std::optional<Taken> take(const std::string& address);
  std::unique_ptr<Call> simple(const Node& node, std::string_view method, std::string framed,
                               std::function<void(const AttemptResult&)> done);
  void open(const std::string& address, Place& place, Pool::Id id);
  bool make_room();
  void retire();
  Known known(Session& session);

  net::Loop& loop_;
  Session::Limits limits_;
  Pool::Limits pool_limits_;
  std::size_t most_connections_ = 256;
  std::map<std::string, std::unique_ptr<Place>> places_;
  std::map<Session*, Held> all_;
  net::Timer retire_;
};

}  // namespace lemonroute::grpc
