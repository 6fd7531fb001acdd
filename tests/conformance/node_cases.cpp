// A scripted node against our node client. Rule 2 rests on what is told here: which attempts have certainly
// not run.
#include <memory>

#include "grpc/compression.h"
#include "grpc/node_client.h"
#include "peer.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::conformance {
namespace {

struct Door {
  Door() {
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 64) != 0)
      abort();
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  ~Door() { close(fd); }
  int fd;
  std::uint16_t port;
};

struct Recorder : AttemptHandler {
  void on_request_written() override { sent = true; }
  void on_data(std::string_view data) override { text += data; }
  void on_done(AttemptResult with) override {
    result = with;
    over = true;
    call.reset();
  }
  bool sent = false, over = false;
  string text;
  AttemptResult result;
  std::unique_ptr<Call> call;
};

string word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::prefill_done:
      return "read";
    case Outcome::rejected_over_capacity:
      return "full";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "never ran";
    default:
      return "other";
  }
}

struct Bed {
  explicit Bed(grpc::Session::Limits limits = {}, grpc::Pool::Limits pool = {}) : client(loop, limits, pool) {
    node.id = 1;
    node.name = "n";
    node.address = "127.0.0.1:" + std::to_string(door.port);
  }
  net::Loop loop;
  Door door;
  grpc::NodeClient client;
  Node node;
  std::vector<std::unique_ptr<Peer>> peers;  // one for each connection
  int calls = 0;

  std::unique_ptr<Recorder> begin() {
    auto recorder = std::make_unique<Recorder>();
    recorder->call = client.start_attempt(
        node, {"q" + std::to_string(++calls), "/v1/chat/completions", std::make_shared<string>("{}")},
        std::chrono::seconds(3), *recorder);
    return recorder;
  }
  // The next connection that is made, its preface taken.
  Peer* accept(std::string_view settings = {}) {
    int fd = -1;
    for (int i = 0; i < 4000 && fd < 0; ++i) {
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      fd = ::accept(door.fd, nullptr, nullptr);
    }
    if (fd < 0)
      return nullptr;
    peers.push_back(std::make_unique<Peer>(loop, fd));
    Peer& peer = *peers.back();
    if (!peer.preface_in())
      return nullptr;
    peer.send(frame(SETTINGS, NONE, 0, settings));
    peer.until([&] { return peer.find(SETTINGS, 0) != nullptr; });
    peer.send(frame(SETTINGS, ACK, 0, ""));
    peer.settle();
    return &peer;
  }
  // A call with its request whole at the node.
  Peer* asked(Recorder& recorder, std::uint32_t stream = 1) {
    Peer* peer = peers.empty() ? accept() : peers.back().get();
    if (!peer || !peer->until([&] { return peer->over(stream); }))
      return nullptr;
    peer->until([&] { return recorder.sent; });
    return peer;
  }
  string outcome(Recorder& recorder) {
    Peer* peer = peers.empty() ? nullptr : peers.back().get();
    for (int i = 0; i < 8000 && !recorder.over; ++i) {
      if (peer)
        peer->turn();
      else
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      if (i > 200)
        usleep(250);
    }
    return recorder.over ? word(recorder.result.outcome) : "nothing";
  }
};

string expect(const string& got, const string& wanted) {
  return got == wanted ? "" : "expected '" + wanted + "', got '" + got + "'";
}

string head(Peer& peer, std::uint32_t stream, const Headers& more = {}, std::uint8_t flags = END_HEADERS) {
  Headers all{{":status", "200"}, {"content-type", "application/grpc"}};
  all.insert(all.end(), more.begin(), more.end());
  return frame(HEADERS, flags, stream, peer.block(all));
}
string tail(Peer& peer, std::uint32_t stream, const string& status, const Headers& more = {}) {
  Headers all{{"grpc-status", status}};
  all.insert(all.end(), more.begin(), more.end());
  return frame(HEADERS, END_HEADERS | END_STREAM, stream, peer.block(all));
}
string event(const string& text) {
  v1::RunEvent one;
  one.set_data(text);
  return one.SerializeAsString();
}
string read(std::uint32_t kept) {
  v1::RunEvent one;
  one.mutable_read()->set_cached_tokens(kept);
  return one.SerializeAsString();
}
string data(std::uint32_t stream, const string& message, std::uint8_t flags = NONE) {
  return frame(DATA, flags, stream, grpc::frame(message));
}

class List {
 public:
  std::vector<Case> all;
  // The whole request is at the node, which answers with these bytes (and closes, if so said).
  void answer(string section, string what, std::function<string(Peer&)> bytes, string outcome,
              bool closes = false) {
    all.push_back({std::move(section), std::move(what), [bytes, outcome, closes] {
                     Bed bed;
                     auto one = bed.begin();
                     Peer* peer = bed.asked(*one);
                     if (!peer)
                       return string("the request did not come");
                     peer->send(bytes(*peer));
                     if (closes)
                       peer->drop();
                     return expect(bed.outcome(*one), outcome);
                   }});
  }
  void add(string section, string what, std::function<string()> run) {
    all.push_back({std::move(section), std::move(what), std::move(run)});
  }
};

}  // namespace

std::vector<Case> node_cases() {
  List list;
  // What an answer means.
  list.answer(
      "gRPC status", "a read", [](Peer& p) { return head(p, 1) + data(1, read(64)) + tail(p, 1, "0"); },
      "read");
  list.answer(
      "gRPC status", "a stream to its end",
      [](Peer& p) { return head(p, 1) + data(1, event("a")) + data(1, event("b")) + tail(p, 1, "0"); }, "ok");
  list.answer(
      "gRPC status", "OK with neither read nor event", [](Peer& p) { return head(p, 1) + tail(p, 1, "0"); },
      "error");
  list.answer(
      "gRPC status", "declined before it ran",
      [](Peer& p) {
        return head(p, 1) + tail(p, 1, "14", {{"srv-declined", "1"}});
      },
      "full");
  list.answer(
      "gRPC status", "declined, trailers only",
      [](Peer& p) {
        return head(p, 1, {{"grpc-status", "14"}, {"srv-declined", "1"}}, END_HEADERS | END_STREAM);
      },
      "full");
  list.answer(
      "gRPC status", "no state",
      [](Peer& p) {
        return head(p, 1) + tail(p, 1, "9", {{"srv-declined", "1"}});
      },
      "full");
  for (int status = 1; status <= 16; ++status)
    list.answer(
        "gRPC status", "status " + std::to_string(status) + " of a node that may have run it",
        [status](Peer& p) { return head(p, 1) + tail(p, 1, std::to_string(status)); }, "error");
  list.answer(
      "gRPC status", "a status that is none", [](Peer& p) { return head(p, 1) + tail(p, 1, "x"); }, "error");
  list.answer(
      "gRPC status", "a failure after an event",
      [](Peer& p) { return head(p, 1) + data(1, event("a")) + tail(p, 1, "13"); }, "reset");
  list.answer(
      "gRPC status", "an end without a status",
      [](Peer& p) { return head(p, 1) + frame(DATA, END_STREAM, 1, ""); }, "error");
  list.answer(
      "gRPC status", "an end without a status after an event",
      [](Peer& p) { return head(p, 1) + data(1, event("a"), END_STREAM); }, "reset");
  list.answer(
      "gRPC http", "HTTP 503 without gRPC",
      [](Peer& p) {
        return frame(HEADERS, END_HEADERS | END_STREAM, 1, p.block({{":status", "503"}}));
      },
      "error");
  list.answer(
      "RFC9113 8.1", "an interim answer before the real one",
      [](Peer& p) {
        return frame(HEADERS, END_HEADERS, 1, p.block({{":status", "103"}})) + head(p, 1) + data(1, read(1)) +
               tail(p, 1, "0");
      },
      "read");
  // Messages.
  list.answer(
      "gRPC messages", "an event cut into frames of a byte",
      [](Peer& p) {
        string bytes = head(p, 1);
        for (const char c : grpc::frame(event("abc")))
          bytes += frame(DATA, NONE, 1, string(1, c));
        return bytes + tail(p, 1, "0");
      },
      "ok");
  list.answer(
      "gRPC messages", "many events in one frame",
      [](Peer& p) {
        string bytes;
        for (int i = 0; i < 100; ++i)
          bytes += grpc::frame(event("x"));
        return head(p, 1) + frame(DATA, NONE, 1, bytes) + tail(p, 1, "0");
      },
      "ok");
  list.answer(
      "gRPC messages", "an event that can't be read",
      [](Peer& p) { return head(p, 1) + data(1, "\xff\xff\xff"); }, "error");
  list.answer(
      "gRPC messages", "one after a good event",
      [](Peer& p) { return head(p, 1) + data(1, event("a")) + data(1, "\xff\xff\xff"); }, "reset");
  list.answer(
      "gRPC messages", "4 GiB announced",
      [](Peer& p) { return head(p, 1) + frame(DATA, NONE, 1, string("\0\xff\xff\xff\xff", 5)); }, "error");
  list.answer(
      "gRPC compression", "an event in gzip",
      [](Peer& p) {
        const string bytes = grpc::compress(grpc::Encoding::gzip, event(string(3000, 'a')));
        return head(p, 1, {{"grpc-encoding", "gzip"}}) +
               frame(DATA, NONE, 1,
                     string(1, '\1') + number(static_cast<std::uint32_t>(bytes.size())) + bytes) +
               tail(p, 1, "0");
      },
      "ok");
  list.answer(
      "gRPC compression", "a bomb",
      [](Peer& p) {
        const string bytes = grpc::compress(grpc::Encoding::gzip, string(2 * 1024 * 1024, '\0'));
        return head(p, 1, {{"grpc-encoding", "gzip"}}) +
               frame(DATA, NONE, 1,
                     string(1, '\1') + number(static_cast<std::uint32_t>(bytes.size())) + bytes);
      },
      "error");
  list.answer(
      "gRPC compression", "the flag without an encoding",
      [](Peer& p) { return head(p, 1) + frame(DATA, NONE, 1, string("\1\0\0\0\1x", 6)); }, "error");
  list.answer(
      "gRPC compression", "an encoding that was not offered",
      [](Peer& p) {
        return head(p, 1, {{"grpc-encoding", "br"}}) + frame(DATA, NONE, 1, string("\1\0\0\0\1x", 6));
      },
      "error");
  // What ends a stream or a connection: has it run?
  for (std::uint32_t code = 0; code <= 13; ++code)
    list.answer(
        "RFC9113 7",
        "RST_STREAM with code " + std::to_string(code) +
            (code == REFUSED_STREAM ? ": certainly not handled" : ": may have run"),
        [code](Peer&) { return frame(RST_STREAM, NONE, 1, number(code)); },
        code == REFUSED_STREAM ? "never ran"
        : code == NO_ERROR     ? "error"
                               : "reset");
  list.answer(
      "RFC9113 7", "RST_STREAM with a code that is not known",
      [](Peer&) { return frame(RST_STREAM, NONE, 1, number(0xdead)); }, "reset");
  list.answer(
      "RFC9113 8.7", "REFUSED_STREAM after an event has run",
      [](Peer& p) {
        return head(p, 1) + data(1, event("a")) + frame(RST_STREAM, NONE, 1, number(REFUSED_STREAM));
      },
      "reset");
  list.answer(
      "RFC9113 6.8", "GOAWAY whose last stream is before it: certainly not handled",
      [](Peer&) { return frame(GOAWAY, NONE, 0, number(0) + number(0)); }, "never ran");
  list.answer(
      "RFC9113 6.8", "GOAWAY that names it, and an answer",
      [](Peer& p) {
        return frame(GOAWAY, NONE, 0, number(1) + number(0)) + head(p, 1) + data(1, read(1)) +
               tail(p, 1, "0");
      },
      "read");
  list.answer(
      "RFC9113 6.8", "GOAWAY that names it, then the end: may have run",
      [](Peer&) { return frame(GOAWAY, NONE, 0, number(1) + number(0)); }, "reset", true);
  list.answer(
      "RFC9113 6.8", "GOAWAY in two steps, the second before it",
      [](Peer&) {
        return frame(GOAWAY, NONE, 0, number(0x7fffffff) + number(0)) +
               frame(GOAWAY, NONE, 0, number(0) + number(0));
      },
      "never ran");
  list.answer(
      "RFC9113 5.4", "the connection ends before an answer: may have run", [](Peer&) { return string(); },
      "reset", true);
  list.answer(
      "RFC9113 5.4", "it ends after an event", [](Peer& p) { return head(p, 1) + data(1, event("a")); },
      "reset", true);
  list.answer(
      "RFC9113 4.2", "a frame beyond the size allowed",
      [](Peer& p) { return head(p, 1) + frame(DATA, NONE, 1, string(16385, 'x')); }, "reset");
  list.answer(
      "RFC9113 4.3", "a header block that can't be decoded",
      [](Peer&) { return frame(HEADERS, END_HEADERS, 1, string("\xff\xff\xff\xff\xff\xff", 6)); }, "reset");
  list.answer(
      "RFC9113 8.4", "PUSH_PROMISE, which was switched off",
      [](Peer& p) {
        return frame(PUSH_PROMISE, END_HEADERS, 1, number(2) + p.block(Headers{{":method", "GET"}}));
      },
      "reset");
  list.answer(
      "RFC9113 5.1.1", "an answer on a stream that was never opened", [](Peer& p) { return head(p, 7); },
      "reset");
  list.answer(
      "RFC9113 8.1.1", "an answer without :status",
      [](Peer& p) {
        return frame(HEADERS, END_HEADERS, 1, p.block(Headers{{"x", "1"}}));
      },
      "reset");
  list.answer(
      "RFC9113 8.1.1", "DATA before the head of an answer", [](Peer&) { return frame(DATA, NONE, 1, "x"); },
      "reset");
  list.answer(
      "RFC9113 10.5.1", "a header list over the limit",
      [](Peer& p) {
        return head(p, 1, {{"x", string(15000, 'x')}, {"y", string(1500, 'y')}});
      },
      "reset");

  list.add("RFC9113 3.4", "a node that speaks no HTTP/2", [] {
    Bed bed;
    auto one = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    Bed other;
    auto two = other.begin();
    int fd = -1;
    for (int i = 0; i < 4000 && fd < 0; ++i) {
      event_base_loop(other.loop.base(), EVLOOP_NONBLOCK);
      fd = ::accept(other.door.fd, nullptr, nullptr);
    }
    other.peers.push_back(std::make_unique<Peer>(other.loop, fd));
    other.peers.back()->raw = true;
    other.peers.back()->send("HTTP/1.1 400 Bad Request\r\n\r\n");
    const auto got = other.outcome(*two);
    return got == "reset" || got == "never ran" ? string() : "got " + got;
  });
  list.add("RFC9113 5.4", "a connection that is refused", [] {
    Bed bed;
    close(bed.door.fd);
    bed.door.fd = socket(AF_INET, SOCK_STREAM, 0);
    auto one = bed.begin();
    return expect(bed.outcome(*one), "never ran");
  });
  list.add("gRPC deadlines", "the node is told what is left", [] {
    Bed bed;
    auto one = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    const auto span = grpc::parse_timeout(peer->field(1, "grpc-timeout"));
    return span && *span <= std::chrono::seconds(3) && *span > std::chrono::milliseconds(2900)
               ? string()
               : "grpc-timeout is '" + peer->field(1, "grpc-timeout") + "'";
  });
  list.add("gRPC request", "the head is whole", [] {
    Bed bed;
    auto one = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    for (const auto& [name, value] : Headers{{":method", "POST"},
                                             {":scheme", "http"},
                                             {":path", "/lemonroute.v1.Node/Run"},
                                             {"content-type", "application/grpc"},
                                             {"te", "trailers"},
                                             {"grpc-accept-encoding", "identity,deflate,gzip"},
                                             {"req-id", "q1"}})
      if (peer->field(1, name) != value)
        return name + " is '" + peer->field(1, name) + "'";
    return string();
  });
  list.add("gRPC cancellation", "giving a call up resets its stream and no other", [] {
    Bed bed;
    auto one = bed.begin(), two = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    peer->until([&] { return peer->over(3); });
    one->call.reset();
    peer->until([&] { return peer->find(RST_STREAM, 1) != nullptr; });
    const auto* reset = peer->find(RST_STREAM, 1);
    if (!reset || peer->code(*reset) != CANCEL)
      return string("no RST_STREAM with CANCEL");
    peer->send(head(*peer, 3) + data(3, read(1)) + tail(*peer, 3, "0"));
    return expect(bed.outcome(*two), "read");
  });
  list.add("RFC9113 5.1.2", "no more streams than the node allows", [] {
    Bed bed;
    std::vector<std::unique_ptr<Recorder>> all;
    all.push_back(bed.begin());
    Peer* peer = bed.accept(setting(3, 2));
    if (!peer)
      return string("no connection");
    for (int i = 0; i < 5; ++i)
      all.push_back(bed.begin());
    peer->settle();
    std::size_t open = 0;
    for (std::uint32_t stream = 1; stream < 20; stream += 2)
      open += peer->find(HEADERS, stream) != nullptr;
    return open <= 2 ? string() : std::to_string(open) + " streams";
  });
  list.add("node connections", "more are opened where a proven node allows few streams", [] {
    Bed bed;
    auto first = bed.begin();
    Peer* peer = bed.accept(setting(3, 2));
    if (!peer || !peer->until([&] { return peer->over(1); }))
      return string("the request did not come");
    peer->send(head(*peer, 1) + data(1, read(1)) + tail(*peer, 1, "0"));
    if (const auto wrong = expect(bed.outcome(*first), "read"); !wrong.empty())
      return wrong;
    std::vector<std::unique_ptr<Recorder>> all;
    for (int i = 0; i < 8; ++i) {
      all.push_back(bed.begin());
      if (bed.client.connections() > bed.peers.size())
        bed.accept(setting(3, 2));
      for (auto& one : bed.peers)
        one->settle();
    }
    return bed.client.connections() >= 3 && bed.client.connections() <= 4
               ? string()
               : std::to_string(bed.client.connections()) + " connections";
  });
  list.add("node connections", "calls that no connection has a place for have never run", [] {
    grpc::Pool::Limits pool;
    pool.connections = 1;
    pool.waiting = 2;
    pool.unheard = 1;
    Bed bed({}, pool);
    std::vector<std::unique_ptr<Recorder>> all;
    for (int i = 0; i < 4; ++i)
      all.push_back(bed.begin());
    return expect(bed.outcome(*all.back()), "never ran");
  });
  list.add("RFC9113 6.5.3", "a limit that shrinks under way: new calls wait, old ones go on", [] {
    Bed bed;
    auto one = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    peer->send(frame(SETTINGS, NONE, 0, setting(3, 1)));
    peer->settle();
    auto two = bed.begin();
    peer->settle();
    if (peer->find(HEADERS, 3))
      return string("a second stream is opened");
    peer->send(head(*peer, 1) + data(1, read(1)) + tail(*peer, 1, "0"));
    if (const auto wrong = expect(bed.outcome(*one), "read"); !wrong.empty())
      return wrong;
    return peer->until([&] { return peer->over(3); }) ? string() : string("the second is not sent then");
  });
  list.add("RFC9113 6.8", "after GOAWAY new calls go over another connection", [] {
    Bed bed;
    auto one = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    peer->send(frame(GOAWAY, NONE, 0, number(1) + number(0)));
    peer->settle();
    auto two = bed.begin();
    Peer* second = bed.accept();
    if (!second)
      return "no second connection of " + std::to_string(bed.client.connections()) + " over " +
             std::to_string(two->over) + word(two->result.outcome);
    if (!second->until([&] { return second->over(1); }))
      return "nothing on the second: " + std::to_string(second->seen.size()) + " frames" +
             (second->closed ? ", closed" : "");
    peer->send(head(*peer, 1) + data(1, read(1)) + tail(*peer, 1, "0"));
    return expect(bed.outcome(*one), "read");
  });
  list.add("RFC9113 6.7", "a connection that answers no PING is given up", [] {
    grpc::Session::Limits limits;
    limits.ping_timeout = std::chrono::milliseconds(200);
    Bed bed(limits);
    auto one = bed.begin(), two = bed.begin();
    Peer* peer = bed.asked(*one);
    if (!peer)
      return string("the request did not come");
    one->call.reset();
    return expect(bed.outcome(*two), "reset");
  });
  list.add("RFC9113 6.9", "a slow client's stream is held back alone", [] {
    Bed bed;
    auto slow = bed.begin(), quick = bed.begin();
    Peer* peer = bed.asked(*slow);
    if (!peer)
      return string("the request did not come");
    peer->until([&] { return peer->over(3); });
    peer->send(head(*peer, 1) + data(1, event("a")));
    peer->until([&] { return !slow->text.empty(); });
    slow->call->set_reading_paused(true);
    std::size_t given = 0;
    for (int i = 0; i < 3; ++i)
      peer->send(data(1, event(string(16000, 'x'))));
    peer->settle();
    for (const auto& one : peer->seen)
      if (one.type == WINDOW_UPDATE && one.stream == 1)
        given += peer->code(one);
    if (given > 20)
      return "its window is given back: " + std::to_string(given);
    peer->send(head(*peer, 3) + data(3, event("b")) + tail(*peer, 3, "0"));
    return expect(bed.outcome(*quick), "ok");
  });
  return std::move(list.all);
}

}  // namespace lemonroute::conformance
