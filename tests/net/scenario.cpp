// Plays a scenario: scripted clients, nodes and discovery around a real core with its fronts, on loopback.
//
//   scenario CLIENT_WIRE NODE_WIRE FILE        a wire is http or grpc
//
// Each line of a file is PEER VERB WORDS, with the verbs send, expect, close and wait:
//   nodes r1 w1                    the nodes of the scenario; r.. read, w.. write
//   c1 send request q1 2s          a client asks, with the deadline given
//   r1 expect run q1               the next thing that the peer sees, word for word
//   r1 send read 64                the prompt has been read
//   w1 send event hello            then: send end, declined, lost, error, unfit, junk, spoilt
//   c1 expect event hello          likewise: end, refused 500ms, failed timed_out, cut, rejected
//   nodes r1 w1~                   w1 is behind a relay
//   relay w1 swallow 20            of what goes to w1 20 bytes arrive, on each connection; then: hold, cut,
//   carry c1 close                       the client goes; a node breaks the attempt off r* expect run q1
//   whichever of r.. it is r1 expect nothing              all is quiet c1 send nothing 5 connects, so many
//   times, and stays silent front limit 2                  the fronts have so many places; front send drain,
//   front send handover, front close front send pass                streams are given away, over a socket;
//   the same fronts take them m1 send call GET /ready        a caller at the management listener, one call a
//   connection; sees status 200 m1 send bytes TEXT             as raw, each byte on its own core wait 2s
//   moves the core's clock on core send retune altro 2       new settings: the one class altro, 2 attempts
//   list send leaving r1           tells the core of a change; with peer d, discovery itself answers in raw
//   c1 send raw TEXT bytes as they are: \r \n, and $r1 is a node's address; {N} repeats
// The time of the core is the scenario's alone; the wall clock only bounds how long a step may hang.
#undef NDEBUG
#include <unistd.h>

#include <cassert>
#include <cmath>
#include <deque>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "cutting_relay.h"
#include "discovery/watch.h"
#include "grpc/front.h"
#include "grpc/node_client.h"
#include "http/front.h"
#include "http/node_client.h"
#include "ops/handover.h"
#include "ops/management.h"
#include "proto/lemonroute.pb.h"

namespace {

using namespace lemonroute;
using std::string;
using Words = std::vector<string>;

struct ManualClock : Clock {
  Micros at = std::chrono::hours(1);
  Micros now() const override { return at; }
};

string join(const Words& words, std::size_t from) {
  string text;
  for (; from < words.size(); ++from)
    text += (text.empty() ? "" : " ") + words[from];
  return text;
}

struct Peer {
  virtual ~Peer() = default;
  virtual void send(const Words& words) = 0;
  virtual void close() = 0;
  virtual bool busy() const { return true; }  // has an attempt to answer
  std::deque<string> seen;
  string raw;  // what came in, for `expect raw`
};

// ---- Clients ----------------------------------------------------------------------------------------------

class HttpClient : public Peer, net::Connection::Handler {
 public:
  HttpClient(net::Loop& loop, string address) : loop_(loop), address_(std::move(address)) {}
  void send(const Words& words) override {
    if (!connection_)
      connection_.reset(new net::Connection(loop_, net::SocketAddress(address_), *this));
    for (int more = words[0] == "nothing" && words.size() > 1 ? std::stoi(words[1]) - 1 : 0; more > 0;
         --more) {
      more_.push_back(std::make_unique<HttpClient>(loop_, address_));
      more_.back()->send({"nothing"});
    }
    if (words[0] == "nothing")
      return;
    if (words[0] == "raw")
      return connection_->write(string_view_of(words[1]));
    if (words[0] == "call")
      return connection_->write(join(words, 1) + " HTTP/1.1\r\nHost: m\r\n\r\n");
    if (words[0] == "bytes") {
      for (const char& c : words[1]) {
        connection_->write({&c, 1});
        for (int i = 0; i < 3; ++i)
          event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
      }
      return;
    }
    const string body = "{\"messages\":[]}";
    connection_->write("POST /v1/chat/completions HTTP/1.1\r\nReq-Id: " + words[1] +
                       "\r\nReq-Kind: " + (words.size() > 3 ? words[3] : "estratto") +
                       "\r\nReq-Deadline: " + words[2].substr(0, words[2].size() - 1) +
                       "\r\nReq-Key: 7f\r\nReq-Extra: prompt_len=100" +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void close() override { connection_.reset(); }

 private:
  static std::string_view string_view_of(const string& s) { return s; }
  void on_readable() override {
    evbuffer* input = connection_->input();
    const std::size_t size = evbuffer_get_length(input);
    const string got(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
    evbuffer_drain(input, size);
    raw += got;
    text_ += got;
    while (answer()) {
    }
  }
  bool answer() {
    const auto head = text_.find("\r\n\r\n");
    if (head == string::npos)
      return false;
    const string top = text_.substr(0, head);
    if (top.find("chunked") != string::npos) {
      in_stream_ = true;
      const auto size_end = text_.find("\r\n", head + 4);
      if (size_end == string::npos)
        return false;
      const auto size = std::stoul(text_.substr(head + 4, size_end - head - 4), nullptr, 16);
      if (text_.size() < size_end + 4 + size)
        return false;
      const string data = text_.substr(size_end + 2, size);
      text_.erase(head + 4, size_end + size - head);
      if (size == 0) {
        in_stream_ = false;
        text_.erase(0, head + 4);
        seen.push_back("end");
      } else if (data != "data: [DONE]\n\n") {
        seen.push_back("event " + data.substr(6, data.size() - 8));
      }
      return true;
    }
    const auto length = top.find("Content-Length: ");
    const auto body = length == string::npos ? 0 : std::stoul(top.substr(length + 16));
    if (text_.size() < head + 4 + body)
      return false;
    const string status = top.substr(9, 3);
    const auto after = top.find("Retry-After: ");
    if (status == "429" && after != string::npos)
      seen.push_back("refused " + std::to_string(std::lround(1000 * std::stod(top.substr(after + 13)))) +
                     "ms");
    else if (status == "429")
      seen.push_back("refused");
    else if (status == "504")
      seen.push_back("failed timed_out");
    else if (status == "502")
      seen.push_back("failed gave_up");
    else
      seen.push_back(status == "400" ? "rejected" : "status " + status);
    text_.erase(0, head + 4 + body);
    return true;
  }
  void on_closed() override {
    seen.push_back(in_stream_ ? "cut" : "closed");
    in_stream_ = false;
    loop_.dispose(std::move(connection_));
  }
  net::Loop& loop_;
  string address_, text_;
  bool in_stream_ = false;
  std::vector<std::unique_ptr<HttpClient>> more_;
  std::unique_ptr<net::Connection> connection_;
};

class GrpcClient : public Peer, grpc::SessionOwner, grpc::StreamEvents {
 public:
  GrpcClient(net::Loop& loop, string address) : loop_(loop), address_(std::move(address)) {}
  void send(const Words& words) override {
    if (!session_)
      session_.reset(new grpc::Session(loop_, address_, *this, grpc::Session::Limits{}));
    v1::GenerateRequest request;
    request.set_id(words[1]);
    request.set_kind(words.size() > 3 ? words[3] : "estratto");
    request.set_prompt_tokens(100);
    request.set_session("7f");
    request.set_body("{\"messages\":[]}");
    status_ = pushback_ = "";
    string timeout = words[2];
    timeout.back() = 'S';
    stream_ = session_->request({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":path", "/lemonroute.v1.Drafting/Generate"},
                                 {":authority", address_},
                                 {"content-type", "application/grpc"},
                                 {"grpc-timeout", timeout}},
                                grpc::frame(request), *this);
  }
  void close() override { session_->reset(stream_, NGHTTP2_CANCEL); }

 private:
  void headers(const grpc::Headers& headers) override {
    status_ = grpc::find(headers, "grpc-status");
    pushback_ = grpc::find(headers, "grpc-retry-pushback-ms");
  }
  void data(std::string_view piece) override {
    reader_.feed(piece, [this](std::string_view bytes) {
      v1::GenerateEvent event;
      assert(event.ParseFromString(string(bytes)));
      seen.push_back("event " + event.data());
    });
  }
  void closed(std::uint32_t, bool) override {
    const std::map<string, string> words{{"0", "end"},      {"3", "rejected"}, {"4", "failed timed_out"},
                                         {"6", "rejected"}, {"10", "cut"},     {"13", "failed gave_up"},
                                         {"14", "refused"}};
    const auto word = words.find(status_);
    seen.push_back((word == words.end() ? "status " + status_ : word->second) +
                   (pushback_.empty() ? "" : " " + pushback_ + "ms"));
  }
  void closed(grpc::Session&) override { loop_.dispose(std::move(session_)); }
  net::Loop& loop_;
  string address_, status_, pushback_;
  std::int32_t stream_ = 0;
  grpc::MessageReader reader_;
  std::unique_ptr<grpc::Session> session_;
};

// ---- Nodes ------------------------------------------------------------------------------------------------

class HttpNode : public Peer {
 public:
  explicit HttpNode(net::Loop& loop)
      : loop_(loop), listener_(loop, "127.0.0.1:0", [this](evutil_socket_t fd) {
          visits_.push_back(std::make_unique<Visit>(*this, fd));
        }) {}
  std::uint16_t port() const { return listener_.port(); }
  bool busy() const override { return open_ != nullptr; }
  void close() override { drop(*open_); }
  void send(const Words& words) override {
    if (words[0] == "raw")
      return raw_send(words[1]);
    const string& what = words[0];
    if (what == "read")
      return whole("202 Accepted", "", "{\"cached_tokens\":" + words[1] + "}");
    if (what == "declined")
      return whole("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
    if (what == "lost")
      return whole("410 Gone", "Srv-Declined: 1\r\n", "");
    if (what == "error")
      return whole("500 Internal Server Error", "", "");
    if (what == "unfit")
      return whole("400 Bad Request", "", "");
    if (what == "junk")
      return raw_send("no HTTP at all\r\n\r\n");
    if (what == "spoilt") {
      if (!open_->streaming)
        chunk(": opened\n");
      return raw_send("zz\r\n");
    }
    if (what == "event")
      return chunk("data: " + join(words, 1) + "\n\n");
    assert(what == "end");
    chunk("data: [DONE]\n\n");
    open_->connection.write("0\r\n\r\n");
    open_ = nullptr;
  }

 private:
  struct Visit : net::Connection::Handler {
    Visit(HttpNode& of, evutil_socket_t fd) : node(of), connection(of.loop_, fd, *this) {}
    void on_readable() override { node.readable(*this); }
    void on_closed() override {
      if (node.open_ == this)
        node.seen.push_back("gone " + id);
      node.drop(*this);
    }
    HttpNode& node;
    std::size_t scanned = 0;
    string id;
    bool streaming = false;
    net::Connection connection;
  };
  void readable(Visit& visit) {
    evbuffer* input = visit.connection.input();
    const auto copied =
        string(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
    const auto scan = http::scan_head(input, http::Kind::request, visit.scanned);
    if (scan.state != http::Scan::head)
      return;
    const auto length = scan.head.field("Content-Length");
    const std::size_t whole = scan.length + (length.empty() ? 0 : std::stoul(string(length)));
    if (evbuffer_get_length(input) < whole)
      return;
    raw += copied;
    if (scan.head.method == "DELETE") {
      seen.push_back("release " + string(scan.head.target.substr(7)));
      visit.connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    } else if (scan.head.method == "POST") {
      assert(!open_);  // never two attempts out at once
      open_ = &visit;
      visit.id = scan.head.field("Req-Id");
      visit.streaming = false;
      seen.push_back("run " + visit.id);
    } else {
      open_ = &visit;
    }
    evbuffer_drain(input, whole);
  }
  void raw_send(const string& text) {
    open_->connection.write(text);
    open_ = nullptr;
  }
  void whole(const string& status, const string& fields, const string& body) {
    raw_send("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body);
  }
  void chunk(const string& data) {
    std::ostringstream text;
    if (!std::exchange(open_->streaming, true))
      text << "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    open_->connection.write(text.str());
  }
  void drop(Visit& visit) {
    if (open_ == &visit)
      open_ = nullptr;
    for (auto& one : visits_)
      if (one.get() == &visit)
        loop_.dispose(std::move(one));
    std::erase(visits_, nullptr);
  }
  net::Loop& loop_;
  std::vector<std::unique_ptr<Visit>> visits_;
  Visit* open_ = nullptr;
  net::Listener listener_;
};

class GrpcNode : public Peer, grpc::Service {
 public:
  explicit GrpcNode(net::Loop& loop) : server_(loop, "127.0.0.1:0", 8) { server_.add(*this); }
  std::uint16_t port() const { return server_.port(); }
  bool busy() const override { return open_ != nullptr; }
  void close() override { over(grpc::Status::internal, {}); }
  void send(const Words& words) override {
    v1::RunEvent event;
    const string& what = words[0];
    if (what == "read")
      event.mutable_read()->set_cached_tokens(static_cast<std::uint32_t>(std::stoul(words[1])));
    else if (what == "event")
      event.set_data(join(words, 1));
    if (what == "read" || what == "event")
      open_->call.send(grpc::frame(event));
    if (what == "read" || what == "end")
      over(grpc::Status::ok, {});
    if (what == "declined")
      over(grpc::Status::unavailable, {{"srv-declined", "1"}});
    if (what == "lost")
      over(grpc::Status::failed_precondition, {{"srv-declined", "1"}});
    if (what == "spoilt") {
      open_->call.send(string("\0\xff\xff\xff\xff", 5));
      open_ = nullptr;
    }
    if (what == "unfit")
      over(grpc::Status::invalid_argument, {});
    if (what == "error" || what == "junk")
      over(grpc::Status::internal, {});
  }

 private:
  struct Run : grpc::Method {
    Run(GrpcNode& of, grpc::ServerCall& by, bool runs) : node(of), call(by), is_run(runs) {}
    ~Run() override {
      if (node.open_ == this)
        node.seen.push_back("gone " + id);
      if (node.open_ == this)
        node.open_ = nullptr;
    }
    void message(std::string_view bytes) override {
      v1::RunRequest request;  // of a release, too, the first field is the id
      assert(request.ParseFromString(string(bytes)));
      id = request.id();
      node.seen.push_back((is_run ? "run " : "release ") + id);
      if (!is_run)
        return call.send(grpc::frame(v1::ReleaseReply())), call.finish(grpc::Status::ok, "");
      assert(!node.open_);  // never two attempts out at once
      node.open_ = this;
    }
    GrpcNode& node;
    grpc::ServerCall& call;
    bool is_run;
    string id;
  };
  std::unique_ptr<grpc::Method> open(std::string_view path, const grpc::Headers&,
                                     grpc::ServerCall& call) override {
    return std::make_unique<Run>(*this, call, path.ends_with("/Run"));
  }
  void over(grpc::Status status, const grpc::Headers& more) {
    Run& run = *std::exchange(open_, nullptr);
    run.call.finish(status, "", more);
  }
  Run* open_ = nullptr;
  grpc::Server server_;
};

// ---- The scenario -----------------------------------------------------------------------------------------

Settings settings() {
  Settings s;
  ClassSettings c;
  c.name = "estratto";
  c.latency_objective = std::chrono::milliseconds(1500);
  c.deadline = std::chrono::milliseconds(7500);
  c.inter_token_objective = std::chrono::milliseconds(70);
  c.streaming = true;
  s.classes = {c};
  s.role_by_kind = {Role::prefill, Role::decode};
  s.kv_cache_tokens_by_kind = {200000, 150000};
  s.max_attempts = 6;
  s.cancellation_allowed = s.retry_after_allowed = true;
  s.max_retry_after = std::chrono::milliseconds(500);
  s.slow_start_duration = std::chrono::seconds(13);
  s.overload_window = std::chrono::seconds(1);
  s.min_batch_interval = std::chrono::milliseconds(2);
  s.connect_timeout = std::chrono::milliseconds(250);
  return s;
}

class Scenario {
 public:
  Scenario(bool grpc_clients, bool grpc_nodes) : grpc_clients_(grpc_clients), grpc_nodes_(grpc_nodes) {
    grpc_front_ = std::make_unique<grpc::Front>(*core_);
    serve(8);
  }
  void serve(std::size_t places) {
    front_ = std::make_unique<http::Front>(loop_, *core_, http::Front::Options{{"127.0.0.1:0"}, places});
    grpc_server_ = std::make_unique<grpc::Server>(loop_, "127.0.0.1:0", places);
    grpc_server_->add(*grpc_front_);
  }

  void line(const string& text) {
    std::istringstream in(text);
    Words words;
    for (string word; in >> word;)
      words.push_back(word);
    if (words.empty() || words[0][0] == '#')
      return;
    if (words[0] == "nodes")
      return declare(Words(words.begin() + 1, words.end()));
    const string verb = words.at(1);
    const Words rest(words.begin() + 2, words.end());
    if (verb == "wait")
      return wait(rest.at(0));
    if (words[0] == "list")
      return change(rest);
    if (words[0] == "relay")
      return relay(rest.at(0), rest.size() > 1 ? std::stoul(rest[1]) : 0, words.at(1));
    if (words[0] == "core" && rest.at(0) == "release")
      return release_within(rest.at(1));
    if (words[0] == "core")
      return retune(rest.at(1), std::stoul(rest.at(2)));
    if (words[0] == "front" && verb == "limit")
      return serve(std::stoul(rest.at(0)));
    if (words[0] == "front")
      return drain(verb == "close" ? verb : rest.at(0));
    if (verb == "expect")
      return expect(words[0], text, rest);
    Peer& to = peer(words[0], true);
    if (verb == "close")
      return to.close();
    assert(verb == "send");
    if (rest[0] != "raw" && rest[0] != "bytes")
      return to.send(rest);
    to.send({rest[0], unescape(text.substr(text.find(" " + rest[0] + " ") + rest[0].size() + 2))});
  }
  void finish() {
    unlink(handover_path().c_str());
    settle();
    for (const auto& [name, peer] : peers_)
      if (!peer->seen.empty() && peer->seen.front() != "closed")
        std::cerr << name << " also saw: " << peer->seen.front() << "\n", std::abort();
  }

 private:
  static Micros span(const string& text) { return Micros(std::llround(std::stod(text) * 1e6)); }

  void declare(const Words& names) {
    std::vector<Router::ListedNode> list;
    for (string name : names) {
      const bool relayed = name.back() == '~';
      if (relayed)
        name.pop_back();
      if (name == "d") {
        auto node = std::make_unique<HttpNode>(loop_);
        watch_ = std::make_unique<discovery::Watch>(loop_, local(node->port()), *core_);
        peers_[name] = std::move(node);
        watch_->start();
        continue;
      }
      std::uint16_t port = 0;
      const auto add = [&](auto node) {
        port = node->port();
        peers_[name] = std::move(node);
      };
      if (grpc_nodes_)
        add(std::make_unique<GrpcNode>(loop_));
      else
        add(std::make_unique<HttpNode>(loop_));
      if (relayed) {
        relays_[name] = std::make_unique<test::CuttingRelay>(loop_, local(port));
        port = relays_[name]->port();
      }
      Router::ListedNode listed;
      listed.name = name;
      listed.address = addresses_[name] = local(port);
      listed.zone = "a";
      listed.kind = name[0] == 'r' ? "lettura" : "scrittura";
      listed_[name] = listed;
      list.push_back(listed);
    }
    if (!watch_)
      core_->update_endpoints(EndpointListKind::full, 1, list);
  }
  static string local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  void change(const Words& words) {
    auto& listed = listed_.at(words.at(1));
    listed.state = words[0] == "ready"     ? EndpointState::ready
                   : words[0] == "leaving" ? EndpointState::draining
                                           : EndpointState::removed;
    core_->update_endpoints(EndpointListKind::incremental, ++version_, {listed});
  }
  void relay(const string& how, std::size_t bytes, const string& node) {
    using Then = test::CuttingRelay::Then;
    const Then then = how == "swallow" ? Then::swallow
                      : how == "hold"  ? Then::hold
                      : how == "cut"   ? Then::cut
                                       : Then::carry;
    assert(then != Then::carry || how == "carry");
    settle();
    relays_.at(node)->after(bytes, then);
  }
  void release_within(const string& time) {
    Settings now = settings();
    now.reservation_release_timeout = span(time);
    core_->update_settings(now, {"a"}, {"lettura", "scrittura"});
  }
  void retune(const string& kind, std::size_t attempts) {
    Settings now = settings();
    now.classes[0].name = kind;
    now.max_attempts = static_cast<std::uint32_t>(attempts);
    std::swap(now.role_by_kind[0], now.role_by_kind[1]);
    core_->update_settings(now, {"a"}, {"scrittura", "lettura"});  // the kinds trade places
  }
  void drain(const string& verb) {
    if (verb == "close") {
      front_->stop_accepting();
      grpc_server_->stop_accepting();
    } else if (verb == "pass") {
      settle();
      core_->transfer_streams(
          [](const TransferredStream& stream) { return ops::Handover::send(handover_path(), stream); });
    } else if (verb == "handover") {
      settle();
      front_->hand_over();
      grpc_server_->stop_accepting();
      status_.drain();
    } else {
      front_->drain();
      status_.drain();
    }
  }
  void wait(const string& text) {
    settle();
    const Micros until = clock_.at + span(text);
    for (auto due = core_->next_timer(); due && *due <= until; due = core_->next_timer()) {
      clock_.at = std::max(clock_.at, *due);
      core_->run_timers();
      settle();
    }
    clock_.at = until;
    settle();
  }
  // Loopback hands bytes on at once, so a few rounds without waiting see everything that is under way.
  void settle() {
    for (int i = 0; i < 60; ++i)
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
  }

  Peer& peer(const string& name, bool busy) {
    if (name.back() == '*') {
      for (auto& [other, one] : peers_)
        if (other[0] == name[0] && (busy ? one->busy() : !one->seen.empty()))
          return *one;
      for (auto& [other, one] : peers_)
        if (other[0] == name[0])
          return *one;
    }
    auto& one = peers_[name];
    if (!one && name[0] == 'm')
      one = std::make_unique<HttpClient>(loop_, local(management_.port()));
    else if (!one && grpc_clients_)
      one = std::make_unique<GrpcClient>(loop_, local(grpc_server_->port()));
    else if (!one)
      one = std::make_unique<HttpClient>(loop_, local(front_->port()));
    return *one;
  }

  void expect(const string& name, const string& text, const Words& words) {
    if (words[0] == "nothing") {
      settle();
      assert(peer(name, false).seen.empty());
      return;
    }
    net::Timer hang(loop_, [&] {
      std::cerr << "nothing came: " << text << "\n";
      std::abort();
    });
    hang.start(std::chrono::seconds(20));
    if (words[0] == "raw") {
      const string wanted = unescape(text.substr(text.find(" raw ") + 5));
      for (;;) {
        Peer& one = peer(name, false);
        const auto at = one.raw.find(wanted);
        if (at != string::npos) {
          one.raw.erase(0, at + wanted.size());
          one.seen.clear();
          return;
        }
        loop_.run_once();
      }
    }
    while (peer(name, false).seen.empty())
      loop_.run_once();
    Peer& one = peer(name, false);
    const string got = one.seen.front();
    one.seen.pop_front();
    if (got != join(words, 0))
      std::cerr << text << "\n  but saw: " << got << "\n";
    assert(got == join(words, 0));
  }

  string unescape(const string& text) const {
    string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '\\' && i + 1 < text.size()) {
        const char c = text[++i];
        out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
      } else if (text[i] == '{' && i > 0 && isdigit(static_cast<unsigned char>(text[i + 1]))) {
        const auto end = text.find('}', i);
        out.append(std::stoul(text.substr(i + 1, end - i - 1)) - 1, text[i - 1]);
        i = end;
      } else if (text[i] == '$') {
        const string name = text.substr(i + 1, 2);
        out += addresses_.at(name);
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  bool grpc_clients_, grpc_nodes_;
  std::uint32_t version_ = 1;
  net::Loop loop_;
  ManualClock clock_;
  std::unique_ptr<NodeTransport> make_nodes() {
    if (grpc_nodes_)
      return std::make_unique<grpc::NodeClient>(loop_, grpc::Session::Limits{});
    return std::make_unique<http::NodeClient>(loop_, http::ClientLimits{});
  }
  std::unique_ptr<NodeTransport> nodes_ = make_nodes();
  std::unique_ptr<Router> core_ =
      std::make_unique<Router>(settings(), Words{"a"}, Words{"lettura", "scrittura"}, 1, clock_, *nodes_);
  ops::Status status_{*core_};
  ops::Management management_{loop_, "127.0.0.1:0", *core_, status_, [] { return ops::Reloads{}; }};
  static string handover_path() { return "scenario." + std::to_string(getpid()) + ".streams"; }
  std::unique_ptr<http::Front> front_;
  ops::Handover handover_{
      loop_, handover_path(), [this](const TransferredStream& stream) { front_->adopt(stream); },
      [this](const HandoverState& handover_state) { core_->apply_handover_state(handover_state); }};
  std::unique_ptr<grpc::Front> grpc_front_;
  std::unique_ptr<grpc::Server> grpc_server_;
  std::unique_ptr<discovery::Watch> watch_;
  std::map<string, std::unique_ptr<test::CuttingRelay>> relays_;  // by the node behind
  std::map<string, std::unique_ptr<Peer>> peers_;
  std::map<string, string> addresses_;
  std::map<string, Router::ListedNode> listed_;
};

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 4);
  logging::set_level(logging::Level::debug);
  Scenario scenario(string(argv[1]) == "grpc", string(argv[2]) == "grpc");
  std::ifstream file(argv[3]);
  assert(file);
  string text;
  for (int number = 1; std::getline(file, text); ++number) {
    std::clog << argv[3] << ":" << number << ": " << text << std::endl;
    scenario.line(text);
  }
  scenario.finish();
}
