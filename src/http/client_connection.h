// One connection of a client: its requests in, their answers out, and how it ends.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/router.h"
#include "http/body_buffer.h"
#include "http/message.h"
#include "net/admission.h"
#include "net/connection.h"
#include "net/memory_budget.h"

namespace lemonroute::http {

class Front;

class ClientConnection : net::Connection::Handler, public net::Admission::Peer, public lemonroute::Client {
 public:
  ClientConnection(Front& front, evutil_socket_t fd);
  ClientConnection(Front& front,
                   const TransferredConnection& adopted);  // a stream that another process began to answer
  ~ClientConnection() override;
  bool go_on(const TransferredStream& stream);  // with what was adopted; false: it is none of the core's

  // Nothing of a request has come, not to the kernel either: what is on its way may still be read and
  // answered.
  bool between_requests() { return state_ == State::head && connection_.silent(); }
  bool at_rest() { return asked_ && between_requests(); }
  void dismiss() override;
  // Ends the connection once all that was answered has left. What the peer sends from now on is never looked
  // at.
  void half_close();
  void close();  // at once, with whatever it holds

 private:
  enum class State { head, body, waiting, streaming, ending, lingering, half_closed, closed };
  bool leaving() const { return state_ == State::lingering || state_ == State::half_closed; }

  // ---- what comes in ----
  void on_readable() override;
  void on_drained() override;
  void on_closed() override;
  void on_timer();
  void read_head();
  void begin_request();
  void read_body();
  void charge_memory();    // reports what is held to the budget of all clients
  void release_request();  // the bytes of a request that is over
  void evict_request();    // an incomplete request, whose memory is needed

  // ---- what goes out ----
  bool has_disconnected() const override { return connection_.peer_has_closed(); }
  void on_disconnected() override;
  bool on_data(std::string_view data) override;
  void finish() override;
  void reject(Micros stay_away) override;
  void fail(FailureReason why) override;
  void abort_stream() override;
  std::optional<TransferredConnection> transferable_connection() override;
  void on_transferred() override;
  bool ends_connection() const;
  void answer(int status, std::string_view field = {});
  void answer_and_close(int status);
  void complete(bool closes);
  void end_after_answer();
  void begin_ending(Micros within);
  void finish_ending();
  bool leaves_on();
  void drop_input();
  void read_ahead();
  void overdone();

  Front& front_;
  State state_ = State::head;
  RequestId id_ = 0;
  ClientRequest client_request_;
  int status_ = 0;
  bool keep_ = true, closes_ = false, in_request_ = false, asked_ = false, whole_ = false, held_back_ = false;
  std::size_t dropped_ = 0;  // bytes read and never looked at
  Micros left_for_{};        // since our end was told
  std::size_t scanned_ = 0;
  Body body_;
  BodyBuffer received_;
  net::Timer timer_;
  net::Connection connection_;
  net::MemoryBudget::Account memory_;
};

}  // namespace lemonroute::http
