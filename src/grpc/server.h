// A gRPC server on the loop: connections and calls. What the methods do is up to the services.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "grpc/session.h"
#include "net/admission.h"

namespace lemonroute::grpc {

class ServerCall;

// A method's side of one call. It is destroyed once the call is over, whichever side ended it.
class Method {
 public:
  virtual ~Method() = default;
  virtual void message(std::string_view bytes) = 0;  // the request, whole
  // A method that takes many messages gets each as it comes, and is told when there are no more.
  virtual bool streams() const { return false; }
  virtual void half_closed() {}
  virtual void drained() {}  // more may be sent
};

class Service {
 public:
  virtual ~Service() = default;
  // The method at `path`, or nothing if it is not this service's.
  virtual std::unique_ptr<Method> open(std::string_view path, const Headers& headers, ServerCall& call) = 0;
};

// The transport's side of one call, for the method to answer through.
class ServerCall : StreamEvents {
 public:
  // `reads`, `writes`: what messages may be compressed by, each way.
  ServerCall(net::Loop& loop, Session& session, std::int32_t id, Encoding reads, Encoding writes);
  bool send(const std::string& framed);  // false: hold the rest back until Method::drained
  template <class Message>
  requires requires(const Message& message) { message.SerializeAsString(); }
  bool send_message(const Message& message) {
    return send(frame(std::string_view(message.SerializeAsString()), writes_));
  }
  void finish(Status status, std::string_view text, const Headers& more = {});  // the call is over; once
  /// Returns whether the client's connection has ended, also if that has not been handled yet.
  bool client_has_closed() const { return session_.peer_has_closed(); }
  /// The bound on what the process holds for its clients.
  net::MemoryBudget& memory() { return loop_.memory(); }

 private:
  friend class Server;
  void headers(const Headers&) override {}
  void data(std::string_view piece) override;
  void half_closed() override;
  void drained() override;
  void charge_memory();  // reports what is held to the budget of all clients
  void evict();          // an incomplete request, whose memory is needed
  Headers head() const;
  void closed(std::uint32_t code, bool sent) override;

  net::Loop& loop_;
  net::MemoryBudget::Account account_;
  Session& session_;
  std::int32_t id_;
  Encoding writes_;
  bool responded_ = false, has_message_ = false, two_ = false, over_ = false;
  std::string message_;
  MessageReader reader_;
  std::unique_ptr<Method> method_;
  std::function<void()> on_over_;
};

class Server : SessionOwner {
 public:
  // `shared`: another process may listen there as well.
  Server(net::Loop& loop, const std::string& listen, std::size_t most_connections, bool shared = false,
         Session::Limits limits = {});
  ~Server() override;
  void add(Service& service) { services_.push_back(&service); }
  std::uint16_t port() const { return listener_->port(); }
  void limit(std::size_t connections) { admission_.limit(connections); }
  void stop_accepting();  // calls that are open go on
  const AbuseCounts& abuses() const { return abuses_; }
  bool idle() const { return visits_.empty(); }

 private:
  StreamEvents* opened(Session& session, std::int32_t id, const Headers& headers) override;
  void closed(Session& session) override;
  void overdone(Session& session, Abuse abuse, bool connection) override;

  // A connection and how many of its calls are open.
  struct Visit : net::Admission::Peer {
    explicit Visit(net::Admission& admission) : admission(admission) {}
    // An answer whose end has not left, since its client reads slowly, is sent first.
    void dismiss() override {
      if (!session->has_unsent_answers())
        return session->close();
      admission.busy(*this);
      session->end_after_answers();
    }
    net::Admission& admission;
    std::unique_ptr<Session> session;
    std::size_t calls = 0;
  };

  net::Loop& loop_;
  Session::Limits limits_;
  std::minstd_rand random_{std::random_device{}()};  // only spreads the ends of connections
  AbuseCounts abuses_;
  net::Admission admission_;
  std::vector<Service*> services_;
  std::map<ServerCall*, std::unique_ptr<ServerCall>> calls_;
  std::map<Session*, std::unique_ptr<Visit>> visits_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace lemonroute::grpc
