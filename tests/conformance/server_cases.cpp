// A scripted client against our gRPC server: HTTP/2 frame by frame, then gRPC call by call.
#include <zlib.h>

#include <memory>

#include "core/router.h"
#include "grpc/compression.h"
#include "grpc/front.h"
#include "grpc/reflection.h"
#include "grpc/server.h"
#include "grpc/status_details.h"
#include "ops/health_service.h"
#include "peer.h"
#include "proto/health.pb.h"
#include "proto/lemonroute.pb.h"
#include "proto/reflection.pb.h"
#include "proto/rpc.pb.h"

namespace lemonroute::conformance {
namespace {

// Nodes that serve everything at once: what is tried here is the wire, not the fleet.
struct EagerNodes : NodeTransport {
  explicit EagerNodes(net::Loop& loop) : loop_(loop) {}
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros,
                                      AttemptHandler& attempt) override {
    auto alive = std::make_shared<bool>(true);
    ++begun;
    struct Watched : Call {
      std::shared_ptr<bool> alive;
      int* gone;
      ~Watched() override { *alive = false, ++*gone; }
    };
    auto watched = std::make_unique<Watched>();
    watched->alive = alive;
    watched->gone = &gone;
    const bool reader = node.name[0] == 'r';
    if (hold == (reader ? 1 : 2))
      return watched;
    loop_.defer([this, reader, &attempt, alive, id = prompt.id] {
      if (!*alive)
        return;
      if (outcome != Outcome::ok && (reader || hold == 0))
        return attempt.on_done({outcome, 0, {}, {}});
      if (reader)
        return attempt.on_done({Outcome::prefill_done, 0, {}, {}});
      for (int i = 0; i < events && *alive; ++i)
        attempt.on_data(text);
      if (*alive && hold != 3)
        attempt.on_done({Outcome::ok, 0, {}, {}});
    });
    return watched;
  }
  std::unique_ptr<Call> release_reservation(const Node&, const std::string&,
                                            std::function<void(bool)> done) override {
    struct Answered : Call {
      std::shared_ptr<std::function<void(bool)>> done;
    };
    auto call = std::make_unique<Answered>();
    call->done = std::make_shared<std::function<void(bool)>>(std::move(done));
    loop_.defer([weak = std::weak_ptr(call->done)] {
      if (const auto done = weak.lock())
        (*done)(true);
    });
    return call;
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
  net::Loop& loop_;
  Outcome outcome = Outcome::ok;
  int hold = 0;  // 1: readers never answer, 2: writers never, 3: streams never end
  int events = 2, begun = 0, gone = 0;
  std::string text = "hello";
};

Settings settings() {
  Settings s;
  ClassSettings c;
  c.name = "k";
  c.latency_objective = std::chrono::seconds(2);
  c.deadline = std::chrono::seconds(6);
  s.classes = {c};
  s.role_by_kind = {Role::prefill, Role::decode};
  s.kv_cache_tokens_by_kind = {200000, 150000};
  s.max_attempts = 2;
  s.cancellation_allowed = s.retry_after_allowed = true;
  s.max_retry_after = std::chrono::seconds(1);
  s.slow_start_duration = Micros(1);
  s.overload_window = std::chrono::seconds(1);
  return s;
}

struct Bed {
  explicit Bed(grpc::Session::Limits limits = {}) : server(loop, "127.0.0.1:0", 16, false, limits) {
    core.update_endpoints(EndpointListKind::full, 1,
                          {{"r", "127.0.0.1:1", "a", "r", 0, EndpointState::ready, 1, Micros(0)},
                           {"w", "127.0.0.1:1", "a", "w", 0, EndpointState::ready, 1, Micros(0)}});
    server.add(front);
    server.add(health);
    server.add(reflection);
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
  }
  net::Loop loop;
  SystemClock clock;
  EagerNodes nodes{loop};
  Router core{settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  ops::Status status{core};
  grpc::Front front{core};
  ops::HealthService health{status};
  grpc::Reflection reflection;
  grpc::Server server;
  std::unique_ptr<Peer> peer;
  int calls = 0;

  Peer& hello(std::string_view with = {}) {
    peer->send(preface + frame(SETTINGS, NONE, 0, with));
    peer->until([&] { return peer->find(SETTINGS, 0) != nullptr; });
    peer->send(frame(SETTINGS, ACK, 0, ""));
    return *peer;
  }
  string generate(const string& kind = "k", const string& body = "{}") {
    v1::GenerateRequest request;
    request.set_id("q" + std::to_string(++calls) + "x" +
                   std::to_string(reinterpret_cast<std::uintptr_t>(this) % 100000));
    request.set_kind(kind);
    request.set_prompt_tokens(100);
    request.set_body(body);
    return request.SerializeAsString();
  }
  static Headers head(const string& path = "/lemonroute.v1.Drafting/Generate", const Headers& more = {}) {
    Headers all{{":method", "POST"},
                {":scheme", "http"},
                {":path", path},
                {":authority", "x"},
                {"content-type", "application/grpc"},
                {"te", "trailers"}};
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }
  string open(std::uint32_t stream, const Headers& more = {}, std::uint8_t flags = END_HEADERS) {
    return frame(HEADERS, flags, stream, peer->block(head("/lemonroute.v1.Drafting/Generate", more)));
  }
  string body(std::uint32_t stream, const string& message, std::uint8_t flags = END_STREAM) {
    return frame(DATA, flags, stream, grpc::frame(message));
  }
  bool over(std::uint32_t stream) {
    return peer->until([&] { return peer->over(stream) || peer->closed; }) && peer->over(stream);
  }
  // A whole call; its grpc-status, or what came instead.
  string call(std::uint32_t stream, const Headers& more = {}) {
    peer->send(open(stream, more) + body(stream, generate()));
    return status_of(stream);
  }
  string status_of(std::uint32_t stream) {
    if (!over(stream))
      return peer->closed ? "closed" : "nothing";
    if (const auto* reset = peer->find(RST_STREAM, stream);
        reset && peer->field(stream, "grpc-status").empty())
      return "reset " + std::to_string(peer->code(*reset));
    const string status = peer->field(stream, "grpc-status");
    return status.empty() ? "http " + peer->field(stream, ":status") : status;
  }

  string expect(const string& got, const string& wanted) {
    return got == wanted ? "" : "expected " + wanted + ", got " + got;
  }
  // The connection ends with GOAWAY and one of these codes.
  string connection_error(std::initializer_list<std::uint32_t> codes) {
    peer->until([&] { return peer->closed; });
    const Seen* away = nullptr;
    for (const auto& one : peer->seen)
      if (one.type == GOAWAY)
        away = &one;
    if (!away)
      return peer->closed ? "closed without GOAWAY" : "the connection goes on";
    for (const auto code : codes)
      if (peer->code(*away) == code)
        return peer->closed ? "" : "GOAWAY, but the connection stays open";
    return "GOAWAY with code " + std::to_string(peer->code(*away));
  }
  // The stream is reset with one of these codes (an error of the whole connection will do as well: RFC
  // 9113, 5.4.2), and after a reset the connection serves another call.
  string stream_error(std::uint32_t stream, std::initializer_list<std::uint32_t> codes) {
    peer->until([&] { return peer->find(RST_STREAM, stream) || peer->closed; });
    const auto* reset = peer->find(RST_STREAM, stream);
    if (!reset)
      return connection_error(codes);
    bool fits = false;
    for (const auto code : codes)
      fits |= peer->code(*reset) == code;
    if (!fits)
      return "reset with code " + std::to_string(peer->code(*reset));
    return alive(stream + 20);
  }
  string alive(std::uint32_t stream) { return expect(call(stream), "0"); }
  // And a client that keeps to the rules is served beside it.
  string neighbour() {
    Bed* self = this;
    auto bad = std::exchange(peer, std::make_unique<Peer>(loop, Peer::dial(server.port())));
    self->hello();
    const auto wrong = alive(1);
    peer = std::move(bad);
    return wrong.empty() ? "" : "a neighbour is not served: " + wrong;
  }
};

class List {
 public:
  std::vector<Case> all;
  void add(string section, string what, std::function<string(Bed&)> run, grpc::Session::Limits limits = {}) {
    all.push_back({std::move(section), std::move(what), [run = std::move(run), limits] {
                     Bed bed(limits);
                     return run(bed);
                   }});
  }
  // After a handshake, these bytes.
  void connection(string section, string what, std::function<string(Bed&)> bytes,
                  std::initializer_list<std::uint32_t> codes) {
    add(std::move(section), std::move(what), [bytes, codes = std::vector<std::uint32_t>(codes)](Bed& bed) {
      bed.hello().send(bytes(bed));
      string wrong;
      bed.peer->until([&] { return bed.peer->closed; });
      for (const auto code : codes)
        if ((wrong = bed.connection_error({code})).empty())
          break;
      return wrong.empty() ? bed.neighbour() : wrong;
    });
  }
  void stream(string section, string what, std::function<string(Bed&)> bytes,
              std::initializer_list<std::uint32_t> codes) {
    add(std::move(section), std::move(what), [bytes, codes = std::vector<std::uint32_t>(codes)](Bed& bed) {
      bed.hello().send(bytes(bed));
      string wrong;
      for (const auto code : codes) {
        wrong = bed.stream_error(1, {code});
        if (wrong.empty())
          break;
      }
      return wrong;
    });
  }
  // The call on stream 1 that these bytes make ends with this status; the connection serves another one.
  void status(string section, string what, std::function<string(Bed&)> bytes, string status) {
    add(std::move(section), std::move(what), [bytes, status](Bed& bed) {
      bed.hello().send(bytes(bed));
      const auto wrong = bed.expect(bed.status_of(1), status);
      return wrong.empty() ? bed.alive(21) : wrong;
    });
  }
  // Nothing comes of it.
  void ignored(string section, string what, std::function<string(Bed&)> bytes) {
    add(std::move(section), std::move(what), [bytes](Bed& bed) {
      bed.hello().send(bytes(bed));
      return bed.alive(21);
    });
  }
};

void framing(List& list) {
  list.add("RFC9113 3.4", "a client that does not speak HTTP/2 is closed", [](Bed& bed) {
    bed.peer->raw = true;
    bed.peer->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    return bed.peer->until([&] { return bed.peer->closed; }) ? bed.neighbour() : string("it stays open");
  });
  list.add("RFC9113 3.4", "the preface may come byte by byte", [](Bed& bed) {
    for (const char c : preface + frame(SETTINGS, NONE, 0, "")) {
      bed.peer->send({&c, 1});
      bed.peer->turn();
    }
    return bed.alive(1);
  });
  list.add("RFC9113 3.4", "a preface without SETTINGS is an error", [](Bed& bed) {
    bed.peer->send(preface + frame(PING, NONE, 0, "12345678"));
    return bed.connection_error({PROTOCOL_ERROR});
  });
  list.add("RFC9113 3.4", "the server's first frame is SETTINGS", [](Bed& bed) {
    bed.hello();
    return !bed.peer->seen.empty() && bed.peer->seen[0].type == SETTINGS && !(bed.peer->seen[0].flags & ACK)
               ? string()
               : string("it is another one");
  });
  list.add("RFC9113 6.5.3", "SETTINGS are acknowledged", [](Bed& bed) {
    bed.hello();
    return bed.peer->until([&] {
      for (const auto& one : bed.peer->seen)
        if (one.type == SETTINGS && one.flags & ACK)
          return true;
      return false;
    })
               ? string()
               : string("no ACK came");
  });
  list.ignored("RFC9113 4.1", "a frame of unknown type is ignored",
               [](Bed&) { return frame(0xbb, 0xff, 0, "any"); });
  list.ignored("RFC9113 4.1", "and so is one on an open stream",
               [](Bed& bed) { return bed.open(1) + frame(0xbb, 0, 1, "any"); });
  list.ignored("RFC9113 4.1", "unknown flags are ignored",
               [](Bed&) { return frame(PING, 0xfe, 0, "12345678"); });
  list.ignored("RFC9113 4.1", "the reserved bit is ignored", [](Bed&) {
    string one = frame(PING, NONE, 0, "12345678");
    one[5] = static_cast<char>(0x80);
    return one;
  });
  for (const auto& [type, name] : {std::pair{DATA, "DATA"}, std::pair{HEADERS, "HEADERS"}})
    list.connection("RFC9113 4.2", string(name) + " beyond SETTINGS_MAX_FRAME_SIZE",
                    [type = type](Bed& bed) {
                      return (type == DATA ? bed.open(1) : string()) +
                             frame(type, type == HEADERS ? END_HEADERS : NONE, 1, string(16385, 'x'));
                    },
                    {FRAME_SIZE_ERROR});
  struct Size {
    Type type;
    const char* name;
    std::uint32_t stream;
    std::size_t length;
  };
  for (const auto& one : {Size{RST_STREAM, "RST_STREAM", 1, 3}, Size{RST_STREAM, "RST_STREAM", 1, 5},
                          Size{SETTINGS, "SETTINGS", 0, 5}, Size{PING, "PING", 0, 7},
                          Size{PING, "PING", 0, 9}, Size{WINDOW_UPDATE, "WINDOW_UPDATE", 0, 3},
                          Size{WINDOW_UPDATE, "WINDOW_UPDATE", 0, 5}, Size{GOAWAY, "GOAWAY", 0, 7}})
    list.connection("RFC9113 4.2", string(one.name) + " of " + std::to_string(one.length) + " bytes",
                    [one](Bed& bed) {
                      return (one.stream ? bed.open(1) : string()) +
                             frame(one.type, NONE, one.stream, string(one.length, '\0'));
                    },
                    {FRAME_SIZE_ERROR});
  list.stream("RFC9113 6.3", "PRIORITY of 4 bytes",
              [](Bed& bed) { return bed.open(1) + frame(PRIORITY, NONE, 1, "1234"); }, {FRAME_SIZE_ERROR});
  list.connection("RFC9113 6.5", "SETTINGS with ACK and a payload",
                  [](Bed&) { return frame(SETTINGS, ACK, 0, setting(3, 1)); }, {FRAME_SIZE_ERROR});
  list.connection("RFC9113 4.3", "a header block that can't be decoded",
                  [](Bed&) { return frame(HEADERS, END_HEADERS, 1, string("\xff\xff\xff\xff\xff\xff", 6)); },
                  {COMPRESSION_ERROR});
  list.connection("RFC7541 2.3.3", "an index beyond the tables",
                  [](Bed&) { return frame(HEADERS, END_HEADERS, 1, "\xfe"); }, {COMPRESSION_ERROR});
  list.connection("RFC7541 6.1", "index 0", [](Bed&) { return frame(HEADERS, END_HEADERS, 1, "\x80"); },
                  {COMPRESSION_ERROR});
  list.connection("RFC7541 4.2", "a table size beyond what was allowed",
                  [](Bed&) { return frame(HEADERS, END_HEADERS, 1, string("\x3f\xe1\xff\x3f", 4)); },
                  {COMPRESSION_ERROR});
  list.connection(
      "RFC7541 5.2", "Huffman padding longer than 7 bits",
      [](Bed&) { return frame(HEADERS, END_HEADERS, 1, string("\x00\x84\xff\xff\xff\xff\x01x", 8)); },
      {COMPRESSION_ERROR});
  // On the wrong stream.
  for (const auto& [type, name, payload] :
       {std::tuple{DATA, "DATA", string("x")}, std::tuple{HEADERS, "HEADERS", string("\x82")},
        std::tuple{PRIORITY, "PRIORITY", string(5, 'x')}, std::tuple{RST_STREAM, "RST_STREAM", number(8)},
        std::tuple{CONTINUATION, "CONTINUATION", string("\x82")}})
    list.connection("RFC9113 6", string(name) + " on stream 0",
                    [type = type, payload = payload](Bed&) { return frame(type, END_HEADERS, 0, payload); },
                    {PROTOCOL_ERROR});
  for (const auto& [type, name, payload] :
       {std::tuple{SETTINGS, "SETTINGS", setting(3, 1)}, std::tuple{PING, "PING", string("12345678")},
        std::tuple{GOAWAY, "GOAWAY", string(8, '\0')}})
    list.connection(
        "RFC9113 6", string(name) + " on a stream",
        [type = type, payload = payload](Bed& bed) { return bed.open(1) + frame(type, NONE, 1, payload); },
        {PROTOCOL_ERROR});
  list.connection(
      "RFC9113 6.6", "PUSH_PROMISE from a client",
      [](Bed& bed) { return bed.open(1) + frame(PUSH_PROMISE, END_HEADERS, 1, number(2) + "\x82"); },
      {PROTOCOL_ERROR});
  list.connection("RFC9113 6.10", "CONTINUATION without HEADERS",
                  [](Bed&) { return frame(CONTINUATION, END_HEADERS, 1, "\x82"); }, {PROTOCOL_ERROR});
  list.connection("RFC9113 6.10", "another frame within a header block",
                  [](Bed& bed) { return bed.open(1, {}, NONE) + frame(PING, NONE, 0, "12345678"); },
                  {PROTOCOL_ERROR});
  list.connection("RFC9113 6.10", "CONTINUATION of another stream",
                  [](Bed& bed) { return bed.open(1, {}, NONE) + frame(CONTINUATION, END_HEADERS, 3, ""); },
                  {PROTOCOL_ERROR});
  for (const auto type : {DATA, HEADERS})
    list.connection("RFC9113 6.1", string(type == DATA ? "DATA" : "HEADERS") + " padded beyond its length",
                    [type](Bed& bed) {
                      return (type == DATA ? bed.open(1) : string()) +
                             frame(type, PADDED | (type == HEADERS ? END_HEADERS : 0), 1,
                                   "\x05"
                                   "abcd");
                    },
                    {PROTOCOL_ERROR});
  list.status(
      "RFC9113 6.1", "padding is taken off",
      [](Bed& bed) {
        const string message = grpc::frame(bed.generate());
        return bed.open(1) + frame(DATA, PADDED | END_STREAM, 1, string("\x03") + message + string(3, '\0'));
      },
      "0");
  list.status(
      "RFC9113 6.2", "a header block in HEADERS and CONTINUATION",
      [](Bed& bed) {
        const string block = bed.peer->block(Bed::head());
        return frame(HEADERS, NONE, 1, block.substr(0, 10)) +
               frame(CONTINUATION, NONE, 1, block.substr(10, 10)) +
               frame(CONTINUATION, END_HEADERS, 1, block.substr(20)) + bed.body(1, bed.generate());
      },
      "0");
  list.status(
      "RFC9113 6.2", "HEADERS with priority fields",
      [](Bed& bed) {
        return frame(HEADERS, END_HEADERS | WITH_PRIORITY, 1,
                     number(0) + "\x10" + bed.peer->block(Bed::head())) +
               bed.body(1, bed.generate());
      },
      "0");
  list.stream("RFC9113 5.3.1", "a stream that depends on itself",
              [](Bed& bed) {
                return frame(HEADERS, END_HEADERS | WITH_PRIORITY, 1,
                             number(1) + "\x10" + bed.peer->block(Bed::head()));
              },
              {PROTOCOL_ERROR});
}

void states(List& list) {
  list.connection("RFC9113 5.1", "DATA on an idle stream", [](Bed&) { return frame(DATA, NONE, 1, "x"); },
                  {PROTOCOL_ERROR, STREAM_CLOSED});
  list.connection("RFC9113 5.1", "RST_STREAM on an idle stream",
                  [](Bed&) { return frame(RST_STREAM, NONE, 1, number(8)); }, {PROTOCOL_ERROR});
  list.connection("RFC9113 5.1", "WINDOW_UPDATE on an idle stream",
                  [](Bed&) { return frame(WINDOW_UPDATE, NONE, 1, number(8)); }, {PROTOCOL_ERROR});
  list.ignored("RFC9113 5.1", "PRIORITY on an idle stream",
               [](Bed&) { return frame(PRIORITY, NONE, 1, number(0) + "\x10"); });
  list.add("RFC9113 5.1", "DATA after the end of a request", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()) + frame(DATA, NONE, 1, "x"));
    bed.nodes.hold = 0;
    return bed.stream_error(1, {STREAM_CLOSED});
  });
  list.add("RFC9113 5.1", "HEADERS after the end of a request", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()) + bed.open(1));
    bed.nodes.hold = 0;
    return bed.stream_error(1, {STREAM_CLOSED});
  });
  list.add("RFC9113 5.1", "WINDOW_UPDATE after the end of a request", [](Bed& bed) {
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()) + frame(WINDOW_UPDATE, NONE, 1, number(100)));
    return bed.expect(bed.status_of(1), "0");
  });
  list.connection("RFC9113 5.1.1", "an even stream id", [](Bed& bed) { return bed.open(2); },
                  {PROTOCOL_ERROR});
  list.connection("RFC9113 5.1.1", "a stream id that goes back",
                  [](Bed& bed) { return bed.open(5) + bed.open(3); }, {PROTOCOL_ERROR, STREAM_CLOSED});
  list.add("RFC9113 5.1.2", "more streams than allowed are refused", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello();
    string bytes;
    for (std::uint32_t i = 0; i < 129; ++i)
      bytes += bed.open(1 + 2 * i) + bed.body(1 + 2 * i, bed.generate());
    bed.peer->send(bytes);
    bed.peer->until([&] { return bed.peer->find(RST_STREAM, 257) || bed.peer->closed; });
    // nghttp2 takes it for an error of the connection, which RFC 9113, 5.4.2 leaves open to it.
    if (bed.peer->closed)
      return bed.connection_error({PROTOCOL_ERROR});
    const auto* reset = bed.peer->find(RST_STREAM, 257);
    if (!reset)
      return "the 129th is not refused; open: " + std::to_string(bed.core.open_request_count()) +
             ", begun: " + std::to_string(bed.nodes.begun) + (bed.peer->closed ? ", closed" : "");
    if (bed.peer->code(*reset) != REFUSED_STREAM)
      return "code " + std::to_string(bed.peer->code(*reset));
    return bed.expect(std::to_string(bed.core.open_request_count()), "128");
  });
  list.add("RFC9113 6.4", "RST_STREAM ends the call, and what was done for it", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
    bed.peer->until([&] { return bed.nodes.begun == 1; });
    bed.peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
    bed.peer->until([&] { return bed.nodes.gone == 1; });
    if (bed.nodes.gone != 1 || bed.core.open_request_count() != 0)
      return string("the attempt goes on");
    bed.nodes.hold = 0;
    return bed.alive(3);
  });
  for (const int hold : {2, 3})
    list.add(
        "gRPC cancellation",
        hold == 2 ? "a call cancelled between reader and writer's first event"
                  : "a call cancelled in the middle of its stream",
        [hold](Bed& bed) {
          bed.nodes.hold = hold;
          bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
          bed.peer->until([&] { return bed.nodes.begun == 2 && (hold == 2 || !bed.peer->body(1).empty()); });
          bed.peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
          bed.peer->until([&] { return bed.nodes.gone == 2 && bed.core.idle(); });
          if (bed.nodes.gone != 2 || !bed.core.idle())
            return string("something of it goes on");
          bed.nodes.hold = 0;
          return bed.alive(3);
        });
  list.add("gRPC cancellation", "a call cancelled before its message is whole reaches no node", [](Bed& bed) {
    bed.hello().send(bed.open(1) + frame(DATA, NONE, 1, grpc::frame(bed.generate()).substr(0, 8)) +
                     frame(RST_STREAM, NONE, 1, number(CANCEL)));
    const auto wrong = bed.alive(3);
    return wrong.empty() ? bed.expect(std::to_string(bed.nodes.begun), "2") : wrong;
  });
  list.add("gRPC cancellation", "a connection that breaks cancels its calls", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()) + bed.open(3) + bed.body(3, bed.generate()));
    bed.peer->until([&] { return bed.nodes.begun == 2; });
    bed.peer->drop();
    bed.peer->until([&] { return bed.nodes.gone == 2; });
    return bed.expect(std::to_string(bed.core.open_request_count()), "0");
  });
  // SETTINGS.
  list.connection("RFC9113 6.5.2", "ENABLE_PUSH of 2",
                  [](Bed&) { return frame(SETTINGS, NONE, 0, setting(2, 2)); }, {PROTOCOL_ERROR});
  list.connection("RFC9113 6.5.2", "INITIAL_WINDOW_SIZE beyond 2^31-1",
                  [](Bed&) { return frame(SETTINGS, NONE, 0, setting(4, 0x80000000u)); },
                  {FLOW_CONTROL_ERROR});
  list.connection("RFC9113 6.5.2", "MAX_FRAME_SIZE of 16383",
                  [](Bed&) { return frame(SETTINGS, NONE, 0, setting(5, 16383)); }, {PROTOCOL_ERROR});
  list.connection("RFC9113 6.5.2", "MAX_FRAME_SIZE of 2^24",
                  [](Bed&) { return frame(SETTINGS, NONE, 0, setting(5, 1u << 24)); }, {PROTOCOL_ERROR});
  list.ignored("RFC9113 6.5.2", "an unknown setting",
               [](Bed&) { return frame(SETTINGS, NONE, 0, setting(0xabc, 7)); });
  list.ignored("RFC9113 6.5", "the same setting twice",
               [](Bed&) { return frame(SETTINGS, NONE, 0, setting(3, 7) + setting(3, 8)); });
  list.ignored("RFC7541 4.2", "HEADER_TABLE_SIZE of 0",
               [](Bed&) { return frame(SETTINGS, NONE, 0, setting(1, 0)); });
  list.add("RFC9113 6.7", "PING is answered with its payload", [](Bed& bed) {
    bed.hello().send(frame(PING, NONE, 0, "abcdefgh"));
    const auto answered = [&] {
      for (const auto& one : bed.peer->seen)
        if (one.type == PING && one.flags & ACK && one.payload == "abcdefgh")
          return true;
      return false;
    };
    return bed.peer->until(answered) ? string() : string("no answer");
  });
  list.ignored("RFC9113 6.7", "an answer to no PING", [](Bed&) { return frame(PING, ACK, 0, "abcdefgh"); });
  // Flow control.
  list.connection("RFC9113 6.9", "WINDOW_UPDATE of 0 on the connection",
                  [](Bed&) { return frame(WINDOW_UPDATE, NONE, 0, number(0)); }, {PROTOCOL_ERROR});
  list.stream("RFC9113 6.9", "WINDOW_UPDATE of 0 on a stream",
              [](Bed& bed) { return bed.open(1) + frame(WINDOW_UPDATE, NONE, 1, number(0)); },
              {PROTOCOL_ERROR});
  list.connection("RFC9113 6.9.1", "a window of the connection beyond 2^31-1",
                  [](Bed&) { return frame(WINDOW_UPDATE, NONE, 0, number(0x7fffffff)); },
                  {FLOW_CONTROL_ERROR});
  list.stream("RFC9113 6.9.1", "a window of a stream beyond 2^31-1",
              [](Bed& bed) { return bed.open(1) + frame(WINDOW_UPDATE, NONE, 1, number(0x7fffffff)); },
              {FLOW_CONTROL_ERROR});
  list.add("RFC9113 6.9.2", "with a window of 0 nothing is sent until it opens", [](Bed& bed) {
    bed.hello(setting(4, 0)).send(bed.open(1) + bed.body(1, bed.generate()));
    bed.peer->until([&] { return bed.peer->find(HEADERS, 1) != nullptr; });
    bed.peer->settle();
    if (!bed.peer->body(1).empty())
      return string("DATA came");
    bed.peer->send(frame(WINDOW_UPDATE, NONE, 1, number(3)));
    bed.peer->until([&] { return bed.peer->body(1).size() == 3; });
    bed.peer->settle();
    if (bed.peer->body(1).size() != 3)
      return "bytes: " + std::to_string(bed.peer->body(1).size());
    bed.peer->send(frame(WINDOW_UPDATE, NONE, 1, number(1000)));
    return bed.expect(bed.status_of(1), "0");
  });
  list.add("RFC9113 6.9.2", "a window that SETTINGS shrink below what was sent", [](Bed& bed) {
    bed.nodes.hold = 3;
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
    bed.peer->until([&] { return bed.peer->body(1).size() > 0; });
    bed.nodes.hold = 0;
    bed.peer->send(frame(SETTINGS, NONE, 0, setting(4, 0)) + frame(SETTINGS, NONE, 0, setting(4, 65535)));
    return bed.alive(3);
  });
  list.add("RFC9113 6.8", "GOAWAY from a client: its open call is answered", [](Bed& bed) {
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()) +
                     frame(GOAWAY, NONE, 0, number(0) + number(0)));
    return bed.expect(bed.status_of(1), "0");
  });
  list.add("RFC9113 6.8", "GOAWAY in two steps: a call between them is served", [](Bed& bed) {
    bed.hello();
    if (const auto wrong = bed.alive(1); !wrong.empty())
      return wrong;
    bed.server.stop_accepting();
    bed.peer->until([&] { return bed.peer->find(GOAWAY, 0) != nullptr; });
    const auto* first = bed.peer->find(GOAWAY, 0);
    if (!first)
      return string("no GOAWAY");
    if (first->payload.substr(0, 4) != number(0x7fffffff))
      return string("the first one names a last stream");
    bed.peer->send(bed.open(3) + bed.body(3, bed.generate()));
    if (const auto wrong = bed.expect(bed.status_of(3), "0"); !wrong.empty())
      return wrong;
    for (const auto& one : std::vector<Seen>(bed.peer->seen))
      if (one.type == PING && !(one.flags & ACK))
        bed.peer->send(frame(PING, ACK, 0, one.payload));
    bed.peer->until([&] { return bed.peer->closed; });
    std::vector<Seen> all;
    for (const auto& one : bed.peer->seen)
      if (one.type == GOAWAY)
        all.push_back(one);
    if (all.size() != 2)
      return std::to_string(all.size()) + " GOAWAY";
    return bed.expect(std::to_string(static_cast<unsigned char>(all[1].payload[3])), "3");
  });
}

void requests(List& list) {
  const auto with = [](Headers headers) {
    return [headers](Bed& bed) {
      return frame(HEADERS, END_HEADERS, 1, bed.peer->block(headers)) + bed.body(1, bed.generate());
    };
  };
  const auto less = [](const string& name) {
    Headers headers = Bed::head();
    std::erase_if(headers, [&](auto& one) { return one.first == name; });
    return headers;
  };
  const auto more = [](const string& name, const string& value, bool first = false) {
    Headers headers = Bed::head();
    headers.insert(first ? headers.begin() : headers.end(), {name, value});
    return headers;
  };
  list.stream("RFC9113 8.2.1", "a field name in capitals", with(more("X-Upper", "1")), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.2.1", "a line break in a value", with(more("x", "a\r\nb")), {PROTOCOL_ERROR});
  for (const char* name : {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"})
    list.stream("RFC9113 8.2.2", string("the field ") + name, with(more(name, "x")), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.2.2", "TE other than trailers", with([&] {
                Headers headers = less("te");
                headers.emplace_back("te", "gzip");
                return headers;
              }()),
              {PROTOCOL_ERROR});
  for (const char* name : {":method", ":scheme", ":path"})
    list.stream("RFC9113 8.3.1", string("no ") + name, with(less(name)), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.3", "a pseudo field after others", with(more(":path", "/x")), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.3", ":method twice", with(more(":method", "POST", true)), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.3", "an unknown pseudo field", with(more(":odd", "x", true)), {PROTOCOL_ERROR});
  list.stream("RFC9113 8.3", "a pseudo field of answers", with(more(":status", "200", true)),
              {PROTOCOL_ERROR});
  list.stream("RFC9113 8.3.1", "an empty :path", with([&] {
                Headers headers = less(":path");
                headers.insert(headers.begin(), {":path", ""});
                return headers;
              }()),
              {PROTOCOL_ERROR});
  list.stream("RFC9113 8.1.1", "a content-length that is not met", with(more("content-length", "3")),
              {PROTOCOL_ERROR});
  list.stream("RFC9113 8.1", "trailers that do not end the request",
              [](Bed& bed) {
                return bed.open(1) + frame(DATA, NONE, 1, "x") +
                       frame(HEADERS, END_HEADERS, 1, bed.peer->block({{"x", "1"}}));
              },
              {PROTOCOL_ERROR});
  list.status(
      "RFC9113 8.1", "a request with trailers",
      [](Bed& bed) {
        return bed.open(1) + bed.body(1, bed.generate(), NONE) +
               frame(HEADERS, END_HEADERS | END_STREAM, 1, bed.peer->block({{"x", "1"}}));
      },
      "0");
  // gRPC over HTTP/2.
  list.status("gRPC request", "a method other than POST", with([&] {
                Headers headers = less(":method");
                headers.insert(headers.begin(), {":method", "GET"});
                return headers;
              }()),
              "http 405");
  for (const auto& [type, status] :
       {std::pair{"application/grpc", "0"}, std::pair{"application/grpc+proto", "0"},
        std::pair{"application/grpc;x=y", "0"}, std::pair{"text/plain", "http 415"},
        std::pair{"application/grpcx", "http 415"}, std::pair{"application/json", "http 415"}})
    list.status("gRPC content-type", type, with([&, type = type] {
                  Headers headers = less("content-type");
                  headers.emplace_back("content-type", type);
                  return headers;
                }()),
                status);
  list.status("gRPC content-type", "none at all", with(less("content-type")), "http 415");
  for (const char* path : {"/lemonroute.v1.Drafting/Other", "/other.Service/Generate", "/",
                           "/lemonroute.v1.Drafting/", "/lemonroute.v1.Drafting/Generate/x"})
    list.status(
        "gRPC unimplemented", path,
        [path](Bed& bed) {
          return frame(HEADERS, END_HEADERS, 1, bed.peer->block(Bed::head(path))) +
                 bed.body(1, bed.generate());
        },
        "12");
  for (const char* good : {"1H", "2M", "3S", "4000m", "5000000u", "99999999n", "00000001S"})
    list.status("gRPC grpc-timeout", string("'") + good + "' is a time", with(more("grpc-timeout", good)),
                "0");
  for (const char* bad : {"5", "S", "5x", "123456789S", "-1S", "1.5S", "5 S", "+5S", "5s"})
    list.status("gRPC grpc-timeout", string("'") + bad + "' is none", with(more("grpc-timeout", bad)), "3");
  list.add("gRPC grpc-timeout", "the deadline ends the call", [](Bed& bed) {
    bed.nodes.hold = 1;
    bed.hello().send(bed.open(1, {{"grpc-timeout", "1m"}}) + bed.body(1, bed.generate()));
    bed.peer->until([&] {
      bed.core.run_timers();
      return bed.peer->over(1);
    });
    return bed.expect(bed.status_of(1), "4");
  });
  // Messages.
  for (const std::size_t at : {1, 4, 5, 6, 20})
    list.status(
        "gRPC messages", "a message in two DATA frames, cut at " + std::to_string(at),
        [at](Bed& bed) {
          const string message = grpc::frame(bed.generate());
          return bed.open(1) + frame(DATA, NONE, 1, message.substr(0, at)) +
                 frame(DATA, END_STREAM, 1, message.substr(at));
        },
        "0");
  list.status(
      "gRPC messages", "a message in DATA frames of a byte each",
      [](Bed& bed) {
        const string message = grpc::frame(bed.generate());
        string bytes = bed.open(1);
        for (std::size_t i = 0; i < message.size(); ++i)
          bytes += frame(DATA, i + 1 == message.size() ? END_STREAM : NONE, 1, message.substr(i, 1));
        return bytes;
      },
      "0");
  list.status(
      "gRPC messages", "END_STREAM in an empty DATA frame of its own",
      [](Bed& bed) {
        return bed.open(1) + bed.body(1, bed.generate(), NONE) + frame(DATA, END_STREAM, 1, "");
      },
      "0");
  list.status(
      "gRPC messages", "two messages in one frame, where one is taken",
      [](Bed& bed) {
        return bed.open(1) +
               frame(DATA, END_STREAM, 1, grpc::frame(bed.generate()) + grpc::frame(bed.generate()));
      },
      "12");
  list.status(
      "gRPC messages", "no message", [](Bed& bed) { return bed.open(1, {}, END_HEADERS | END_STREAM); }, "3");
  list.status(
      "gRPC messages", "half a message",
      [](Bed& bed) {
        return bed.open(1) + frame(DATA, END_STREAM, 1, grpc::frame(bed.generate()).substr(0, 9));
      },
      "3");
  list.status(
      "gRPC messages", "a message of 4 GiB announced",
      [](Bed& bed) { return bed.open(1) + frame(DATA, NONE, 1, string("\0\xff\xff\xff\xff", 5)); }, "8");
  list.status(
      "gRPC messages", "a message of odd bytes",
      [](Bed& bed) { return bed.open(1) + bed.body(1, "\xff\xff\xff\xff"); }, "3");
  list.status(
      "gRPC messages", "an empty message", [](Bed& bed) { return bed.open(1) + bed.body(1, ""); }, "3");
  list.status(
      "gRPC messages", "a kind that is not known",
      [](Bed& bed) { return bed.open(1) + bed.body(1, bed.generate("z")); }, "3");
  list.status(
      "gRPC messages", "a body of 256 KiB and one byte",
      [](Bed& bed) {
        string message = grpc::frame(bed.generate("k", string(256 * 1024 + 1, 'x'))), bytes = bed.open(1);
        bed.peer->send(bytes);
        for (std::size_t at = 0; at < message.size(); at += 16384) {
          bed.peer->send(
              frame(DATA, at + 16384 >= message.size() ? END_STREAM : NONE, 1, message.substr(at, 16384)));
          bed.peer->turn();
        }
        return string();
      },
      "8");
  // Compression.
  const auto zip = [](grpc::Encoding encoding, const string& message) {
    const string bytes = grpc::compress(encoding, message);
    return string(1, '\1') + number(static_cast<std::uint32_t>(bytes.size())) + bytes;
  };
  for (const auto encoding : {grpc::Encoding::gzip, grpc::Encoding::deflate}) {
    const string name(grpc::name_of(encoding));
    list.status(
        "gRPC compression", "a message in " + name,
        [=](Bed& bed) {
          return bed.open(1, {{"grpc-encoding", name}}) +
                 frame(DATA, END_STREAM, 1, zip(encoding, bed.generate()));
        },
        "0");
    list.status(
        "gRPC compression", name + " named, the message sent as it is",
        [=](Bed& bed) {
          return bed.open(1, {{"grpc-encoding", name}}) + bed.body(1, bed.generate());
        },
        "0");
    list.status(
        "gRPC compression", "a bomb in " + name + " is refused",
        [=](Bed& bed) {
          return bed.open(1, {{"grpc-encoding", name}}) +
                 frame(DATA, END_STREAM, 1, zip(encoding, string(2 * 1024 * 1024, '\0')));
        },
        "8");
    list.status(
        "gRPC compression", "a cut stream of " + name,
        [=](Bed& bed) {
          const string bytes = grpc::compress(encoding, bed.generate());
          const string cut = bytes.substr(0, bytes.size() - 4);
          return bed.open(1, {{"grpc-encoding", name}}) +
                 frame(DATA, END_STREAM, 1,
                       string(1, '\1') + number(static_cast<std::uint32_t>(cut.size())) + cut);
        },
        "13");
    list.status(
        "gRPC compression", "no " + name + " at all",
        [=](Bed& bed) {
          return bed.open(1, {{"grpc-encoding", name}}) +
                 frame(DATA, END_STREAM, 1, string(1, '\1') + number(4) + "abcd");
        },
        "13");
    list.add(
        "gRPC compression", "answers in " + name + " where the client takes it and it pays", [=](Bed& bed) {
          bed.nodes.text = string(5000, 'a');
          bed.hello();
          if (const auto wrong = bed.expect(bed.call(1, {{"grpc-accept-encoding", "identity," + name}}), "0");
              !wrong.empty())
            return wrong;
          if (bed.peer->field(1, "grpc-encoding") != name)
            return "grpc-encoding is '" + bed.peer->field(1, "grpc-encoding") + "'";
          const string body = bed.peer->body(1);
          if (body.size() > 1000)
            return "the answer has " + std::to_string(body.size()) + " bytes";
          grpc::MessageReader reader;
          reader.encoding(encoding);
          string text;
          reader.feed(body, [&](std::string_view bytes) {
            v1::GenerateEvent event;
            if (event.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
              text += event.data();
          });
          return bed.expect(std::to_string(text.size()), "10000");
        });
  }
  list.status(
      "gRPC compression", "the compressed flag without an encoding",
      [=](Bed& bed) {
        return bed.open(1) + frame(DATA, END_STREAM, 1, zip(grpc::Encoding::gzip, bed.generate()));
      },
      "13");
  list.status(
      "gRPC compression", "a flag of 2",
      [](Bed& bed) { return bed.open(1) + frame(DATA, END_STREAM, 1, string("\2\0\0\0\1x", 6)); }, "13");
  list.add("gRPC compression", "an encoding that is not spoken: UNIMPLEMENTED, with those that are",
           [](Bed& bed) {
             bed.hello().send(bed.open(1, {{"grpc-encoding", "br"}}) + bed.body(1, bed.generate()));
             if (const auto wrong = bed.expect(bed.status_of(1), "12"); !wrong.empty())
               return wrong;
             return bed.expect(bed.peer->field(1, "grpc-accept-encoding"), "identity,deflate,gzip");
           });
  // Answers.
  list.add("gRPC answers", "headers, messages, trailers", [](Bed& bed) {
    bed.hello();
    if (const auto wrong = bed.alive(1); !wrong.empty())
      return wrong;
    if (bed.peer->field(1, ":status") != "200" || bed.peer->field(1, "content-type") != "application/grpc")
      return string("the head is odd");
    return bed.expect(std::to_string(bed.peer->body(1).size()), "24");
  });
  list.add("gRPC answers", "a refusal says when to come back, for programs too", [](Bed& bed) {
    bed.core.update_endpoints(EndpointListKind::full, 2, {});
    bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
    if (const auto wrong = bed.expect(bed.status_of(1), "14"); !wrong.empty())
      return wrong;
    const auto bytes = grpc::from_base64(bed.peer->field(1, "grpc-status-details-bin"));
    google::rpc::Status status;
    if (!bytes || !status.ParseFromString(*bytes) || status.code() != 14 || status.details_size() != 2)
      return string("no details");
    google::rpc::ErrorInfo info;
    google::rpc::RetryInfo retry;
    if (!status.details(0).UnpackTo(&info) || info.reason() != "REFUSED" || info.domain() != "lemonroute")
      return string("no ErrorInfo");
    if (!status.details(1).UnpackTo(&retry))
      return string("no RetryInfo");
    const auto ms = retry.retry_delay().seconds() * 1000 + retry.retry_delay().nanos() / 1000000;
    return bed.expect(bed.peer->field(1, "grpc-retry-pushback-ms"), std::to_string(ms));
  });
  for (const auto& [outcome, status] : {std::pair{Outcome::error, "13"}, std::pair{Outcome::reset, "13"}})
    list.add("gRPC answers", "nodes that fail", [outcome = outcome, status = string(status)](Bed& bed) {
      bed.nodes.outcome = outcome;
      bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
      const auto got = bed.status_of(1);
      return got == status || got == "14" ? string() : "got " + got;
    });
  // Health and reflection.
  const auto ask = [](Bed& bed, std::uint32_t stream, const string& path, const string& message,
                      std::uint8_t flags = END_STREAM) {
    bed.peer->send(frame(HEADERS, END_HEADERS, stream, bed.peer->block(Bed::head(path))) +
                   frame(DATA, flags, stream, grpc::frame(message)));
  };
  const auto first = [](Bed& bed, std::uint32_t stream) {
    bed.peer->until([&] { return !bed.peer->body(stream).empty() || bed.peer->over(stream); });
    string message;
    grpc::MessageReader reader;
    reader.feed(bed.peer->body(stream), [&](std::string_view bytes) {
      if (message.empty())
        message = bytes;
    });
    return message;
  };
  for (const auto& [service, status] :
       {std::pair{"", "0"}, std::pair{"lemonroute.v1.Drafting", "0"}, std::pair{"other", "5"}})
    list.add("gRPC health", string("Check of '") + service + "'",
             [=, service = string(service), status = string(status)](Bed& bed) {
               bed.hello();
               ::grpc::health::v1::HealthCheckRequest request;
               request.set_service(service);
               ask(bed, 1, "/grpc.health.v1.Health/Check", request.SerializeAsString());
               return bed.expect(bed.status_of(1), status);
             });
  list.add("gRPC health", "Watch tells of a drain and ends", [=](Bed& bed) {
    bed.hello();
    ask(bed, 1, "/grpc.health.v1.Health/Watch", "");
    ::grpc::health::v1::HealthCheckResponse response;
    if (!response.ParseFromString(first(bed, 1)) ||
        response.status() != ::grpc::health::v1::HealthCheckResponse::SERVING)
      return string("not SERVING at first");
    bed.status.drain();
    return bed.expect(bed.status_of(1), "14");
  });
  for (const char* path : {"/grpc.reflection.v1.ServerReflection/ServerReflectionInfo",
                           "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo"}) {
    const auto answer = [=](Bed& bed, const ::grpc::reflection::v1::ServerReflectionRequest& request) {
      ask(bed, 1, path, request.SerializeAsString());
      ::grpc::reflection::v1::ServerReflectionResponse response;
      response.ParseFromString(first(bed, 1));
      return response;
    };
    list.add("gRPC reflection",
             string("the services, by ") + (string(path).find("alpha") == string::npos ? "v1" : "v1alpha"),
             [=](Bed& bed) {
               bed.hello();
               ::grpc::reflection::v1::ServerReflectionRequest request;
               request.set_list_services("*");
               const auto response = answer(bed, request);
               return bed.expect(std::to_string(response.list_services_response().service_size()), "3");
             });
    list.add("gRPC reflection", "a symbol's file, with what it imports", [=](Bed& bed) {
      bed.hello();
      ::grpc::reflection::v1::ServerReflectionRequest request;
      request.set_file_containing_symbol("lemonroute.v1.Drafting");
      return answer(bed, request).file_descriptor_response().file_descriptor_proto_size() >= 1
                 ? string()
                 : string("no file");
    });
    list.add("gRPC reflection", "a symbol that is not there", [=](Bed& bed) {
      bed.hello();
      ::grpc::reflection::v1::ServerReflectionRequest request;
      request.set_file_containing_symbol("no.such.Symbol");
      return bed.expect(std::to_string(answer(bed, request).error_response().error_code()), "5");
    });
  }
  list.add("gRPC reflection", "many questions on one stream, each answered as it comes", [=](Bed& bed) {
    bed.hello();
    ::grpc::reflection::v1::ServerReflectionRequest request;
    request.set_list_services("*");
    const string message = request.SerializeAsString();
    ask(bed, 1, "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo", message, NONE);
    if (first(bed, 1).empty())
      return string("the first is not answered while the stream is open");
    bed.peer->send(frame(DATA, END_STREAM, 1, grpc::frame(message)));
    return bed.expect(bed.status_of(1), "0");
  });
}

void floods(List& list) {
  const auto flood = [&](string what, std::function<string(Bed&, int)> one, int times) {
    list.add("RFC9113 10.5", what + ": only that connection ends", [one, times](Bed& bed) {
      bed.hello();
      for (int i = 0; i < times && !bed.peer->closed; ++i)
        bed.peer->send(one(bed, i));
      const auto wrong = bed.connection_error({ENHANCE_YOUR_CALM});
      return wrong.empty() ? bed.neighbour() : wrong;
    });
  };
  flood(
      "a flood of PING", [](Bed&, int) { return frame(PING, NONE, 0, "12345678"); }, 1000);
  flood(
      "a flood of SETTINGS", [](Bed&, int) { return frame(SETTINGS, NONE, 0, ""); }, 1000);
  flood(
      "a flood of PRIORITY", [](Bed&, int) { return frame(PRIORITY, NONE, 1, number(0) + "\x10"); }, 2000);
  flood(
      "a flood of unknown frames", [](Bed&, int) { return frame(0xcc, NONE, 0, ""); }, 2000);
  flood(
      "a flood of empty DATA",
      [](Bed& bed, int i) { return (i == 0 ? bed.open(1) : string()) + frame(DATA, NONE, 1, ""); }, 2000);
  flood(
      "a flood of WINDOW_UPDATE", [](Bed&, int) { return frame(WINDOW_UPDATE, NONE, 0, number(1)); }, 5000);
  flood(
      "a flood of CONTINUATION",
      [](Bed& bed, int i) { return i == 0 ? bed.open(1, {}, NONE) : frame(CONTINUATION, NONE, 1, ""); }, 200);
  flood(
      "streams reset as soon as they are opened",
      [](Bed& bed, int i) {
        const auto stream = static_cast<std::uint32_t>(1 + 2 * i);
        return bed.open(stream) + frame(RST_STREAM, NONE, stream, number(CANCEL));
      },
      2000);
  list.add("RFC9113 10.5.1", "a header list over the limit ends its stream", [](Bed& bed) {
    bed.hello().send(bed.open(1, {{"x-large", string(15000, 'x')}, {"x-more", string(2400, 'y')}}));
    return bed.stream_error(1, {INTERNAL_ERROR, PROTOCOL_ERROR, ENHANCE_YOUR_CALM});
  });
  list.add("RFC9113 10.5.1", "header lists over the limit again and again end the connection", [](Bed& bed) {
    bed.hello();
    for (std::uint32_t i = 0; i < 10 && !bed.peer->closed; ++i)
      bed.peer->send(bed.open(1 + 2 * i, {{"x-large", string(15000, 'x')}, {"x-more", string(2400, 'y')}}));
    return bed.connection_error({ENHANCE_YOUR_CALM});
  });
  grpc::Session::Limits quick;
  quick.guard.request = std::chrono::milliseconds(100);
  quick.guard.taking = std::chrono::milliseconds(100);
  list.add(
      "RFC9113 10.5", "a request that does not end is given up",
      [](Bed& bed) {
        bed.hello().send(bed.open(1) + frame(DATA, NONE, 1, "\0"));
        return bed.stream_error(1, {CANCEL});
      },
      quick);
  list.add(
      "RFC9113 10.5", "an answer of which nothing is taken is given up, and what is done for it",
      [](Bed& bed) {
        bed.nodes.hold = 3;
        bed.nodes.events = 20;
        bed.nodes.text = string(5000, 'x');
        bed.hello(setting(4, 0)).send(bed.open(1) + bed.body(1, bed.generate()));
        bed.peer->until([&] { return bed.peer->find(RST_STREAM, 1) != nullptr; }, 12000);
        if (!bed.peer->find(RST_STREAM, 1))
          return string("it is kept");
        return bed.expect(std::to_string(bed.core.open_request_count()), "0");
      },
      quick);
  grpc::Session::Limits idle;
  idle.idle = std::chrono::milliseconds(100);
  list.add(
      "gRPC keep-alive", "a connection without calls is ended after its time",
      [](Bed& bed) {
        bed.hello();
        bed.peer->until([&] { return bed.peer->closed; }, 12000);
        return bed.connection_error({NO_ERROR});
      },
      idle);
  grpc::Session::Limits old;
  old.age = std::chrono::milliseconds(100);
  list.add(
      "gRPC keep-alive", "a connection that is too old finishes its calls",
      [](Bed& bed) {
        bed.nodes.hold = 1;
        bed.hello().send(bed.open(1) + bed.body(1, bed.generate()));
        bed.peer->until([&] { return bed.peer->find(GOAWAY, 0) != nullptr; }, 12000);
        if (!bed.peer->find(GOAWAY, 0))
          return string("it is not ended");
        if (bed.peer->over(1))
          return string("its call was cut");
        return string();
      },
      old);
}

}  // namespace

std::vector<Case> server_cases() {
  List list;
  framing(list);
  states(list);
  requests(list);
  floods(list);
  return std::move(list.all);
}

}  // namespace lemonroute::conformance
