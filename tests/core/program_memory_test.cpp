// The program's memory stays below limits.memory_mb whatever its clients send, and usual clients are served
// meanwhile.
#include <malloc.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "conformance/peer.h"
#include "program_fixture.h"

#ifdef __SANITIZE_ADDRESS__
// Of the sanitizer's run-time library, whose header not every compiler installs.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace lemonroute::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t memory_mb = 16, bytes_per_mb = 1000 * 1000;
constexpr std::size_t client_count = 100;
constexpr std::size_t stated_body = 256 * 1024, sent_body = 168 * 1024, part_size = 8 * 1024;

// Bytes on the heap that are in use.
std::size_t heap_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  return mallinfo2().uordblks + mallinfo2().hblkhd;
#endif
}

struct ProgramMemory : ProgramFixture {
  ProgramMemory() {
    config::Operator settings;
    settings.grpc_listen = "127.0.0.1:0";
    start([](auto& file) { file["limits"]["memory_mb"] = memory_mb; }, settings);
    turn();
    before = heap_bytes();
  }
  ~ProgramMemory() override {
    for (const int fd : clients)
      close(fd);
  }
  void connect_clients() {
    while (clients.size() < client_count)
      clients.push_back(connect_client());
  }
  // Sends `size` bytes of a body, a part from each client in turn. Clients that have their answer may send no
  // more.
  void send_bodies(std::size_t size) {
    const std::string part(part_size, 'x');
    for (std::size_t sent = 0; sent < size; sent += part_size)
      for (const int fd : clients) {
        send(fd, part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        for (int rounds = 0; rounds < 3; ++rounds)
          turn();
        note_memory();
      }
  }
  void note_memory() { peak = std::max(peak, heap_bytes() - std::min(before, heap_bytes())); }
  void expect_usual_client_is_served() {
    const int usual = send_request("usual");
    const int node = accept_at_node(SteadyClock::now() + 5s);
    EXPECT_GE(node, 0);
    close(usual);
    close(node);
  }

  std::vector<int> clients;
  std::size_t before = 0, peak = 0;
};

// Guards against half bodies of hundreds of clients that take the process over its memory limit, so that the
// platform kills it.
TEST_F(ProgramMemory, HalfBodiesStayBelowTheLimit) {
  connect_clients();
  for (std::size_t i = 0; i < clients.size(); ++i)
    send_all(clients[i], head("bad" + std::to_string(i), stated_body));
  send_bodies(sent_body);
  EXPECT_LT(peak, memory_mb * bytes_per_mb);
  EXPECT_LE(loop.memory().held(), loop.memory().limit());
  expect_usual_client_is_served();
  const auto refused = std::count_if(clients.begin(), clients.end(), [](int fd) {
    const std::string answer = received(fd);
    return answer.starts_with("HTTP/1.1 503 ") && answer.find("Retry-After: ") != std::string::npos;
  });
  EXPECT_GT(refused, 0);
  EXPECT_LT(refused, static_cast<std::ptrdiff_t>(client_count));
}

// Guards against connections between requests that keep the body of their last one.
TEST_F(ProgramMemory, IdleConnectionsHoldNoBody) {
  connect_clients();
  constexpr std::size_t body = 25 * part_size;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    send_all(clients[i], head("q" + std::to_string(i), body, "unknown"));
    send_all(clients[i], std::string(body, 'x'));
    EXPECT_EQ(read_status(clients[i], SteadyClock::now() + 5s), "HTTP/1.1 400");
    note_memory();
  }
  EXPECT_LT(peak, memory_mb * bytes_per_mb);
  EXPECT_LT(loop.memory().held(), stated_body);
}

// Guards against header lists of very many short fields: each field takes far more memory than its text.
TEST_F(ProgramMemory, HeadersOfManyShortFieldsStayBelowTheLimit) {
  using namespace conformance;
  constexpr std::size_t peer_count = 5, over_the_limit = 1400, within_the_limit = 400;
  std::vector<std::unique_ptr<Peer>> peers;
  for (const std::size_t fields : {over_the_limit, within_the_limit})
    for (std::size_t i = 0; i < peer_count; ++i) {
      peers.push_back(std::make_unique<Peer>(loop, Peer::dial(program->grpc_port())));
      Peer& peer = *peers.back();
      peer.send(preface + frame(SETTINGS, NONE, 0, ""));
      Headers headers{{":method", "POST"},
                      {":scheme", "http"},
                      {":path", "/lemonroute.v1.Drafting/Generate"},
                      {":authority", "x"},
                      {"content-type", "application/grpc"},
                      {"te", "trailers"}};
      headers.resize(headers.size() + fields, {"a", "b"});
      for (std::size_t call = 0; call < client_count && !peer.closed; ++call) {
        peer.send(frame(HEADERS, END_HEADERS, static_cast<std::uint32_t>(2 * call + 1), peer.block(headers)));
        peer.turn();
        note_memory();
      }
    }
  EXPECT_LT(peak, memory_mb * bytes_per_mb);
  peers.clear();
  expect_usual_client_is_served();
}

// Guards against half messages of gRPC calls that take the process over its memory limit.
TEST_F(ProgramMemory, HalfMessagesStayBelowTheLimit) {
  using namespace conformance;
  Peer peer(loop, Peer::dial(program->grpc_port()));
  peer.send(preface + frame(SETTINGS, NONE, 0, ""));
  ASSERT_TRUE(peer.until([&] { return peer.find(SETTINGS, 0) != nullptr; }));
  peer.send(frame(SETTINGS, ACK, 0, ""));
  const auto stream_of = [](std::size_t call) { return static_cast<std::uint32_t>(2 * call + 1); };
  for (std::size_t call = 0; call < client_count; ++call)
    peer.send(frame(HEADERS, END_HEADERS, stream_of(call),
                    peer.block({{":method", "POST"},
                                {":scheme", "http"},
                                {":path", "/lemonroute.v1.Drafting/Generate"},
                                {":authority", "x"},
                                {"content-type", "application/grpc"},
                                {"te", "trailers"}})));
  const std::string prefix = string(1, '\0') + number(static_cast<std::uint32_t>(stated_body));
  const std::string part(part_size, 'x');
  for (std::size_t sent = 0; sent < sent_body; sent += part_size)
    for (std::size_t call = 0; call < client_count; ++call) {
      if (peer.find(HEADERS, stream_of(call)))
        continue;  // refused
      peer.send(frame(DATA, NONE, stream_of(call), (sent == 0 ? prefix : "") + part));
      peer.turn();
      note_memory();
    }
  EXPECT_LT(peak, memory_mb * bytes_per_mb);
  EXPECT_LE(loop.memory().held(), loop.memory().limit());
  std::size_t refused = 0;
  for (std::size_t call = 0; call < client_count; ++call)
    if (const Seen* answer = peer.find(HEADERS, stream_of(call))) {
      EXPECT_EQ(grpc::find(answer->headers, "grpc-status"), "14");  // UNAVAILABLE
      ++refused;
    }
  EXPECT_GT(refused, 0u);
  EXPECT_LT(refused, client_count);
}

}  // namespace
}  // namespace lemonroute::test
