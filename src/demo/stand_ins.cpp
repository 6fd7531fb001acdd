#include "demo/stand_ins.h"

#include <sys/socket.h>

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http/message.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::demo {
namespace {

using nlohmann::json;

const std::vector<std::string> words{"Si ", "certifica ", "che ",  "quanto ", "segue ",
                                     "è ",  "conforme ",  "agli ", "atti."};

std::string chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

// Takes whole requests off a connection, one at a time.
class Server : public net::Connection::Handler {
 public:
  Server(net::Loop& loop, evutil_socket_t fd) : fd_(fd), connection(loop, fd, *this) {}
  std::string method, target, id;
  virtual void whole() = 0;  // a request is there
  virtual void gone() = 0;   // the last call

  void reset() {  // as the kernel does for a process that died
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

 private:
  void on_readable() override {
    evbuffer* input = connection.input();
    const auto scan = http::scan_head(input, http::Kind::request, scanned_);
    if (scan.state != http::Scan::head)
      return;
    const auto length = scan.head.field("Content-Length");
    const std::size_t size = scan.length + (length.empty() ? 0 : std::stoul(std::string(length)));
    if (evbuffer_get_length(input) < size)
      return;
    method = scan.head.method;
    target = scan.head.target;
    id = scan.head.field("Req-Id");
    evbuffer_drain(input, size);
    scanned_ = 0;
    whole();
  }
  void on_closed() override { gone(); }
  evutil_socket_t fd_;
  std::size_t scanned_ = 0;

 public:
  net::Connection connection;
};

template <class T>
void erase(net::Loop& loop, std::vector<std::unique_ptr<T>>& from, T& one) {
  const auto at = std::find_if(from.begin(), from.end(), [&](auto& other) { return other.get() == &one; });
  if (at == from.end())
    return;
  loop.dispose(std::move(*at));
  from.erase(at);
}

}  // namespace

// ---- Nodes
// --------------------------------------------------------------------------------------------------

struct Node::Visit : Server {
  Visit(Node& of, evutil_socket_t fd) : Server(of.loop_, fd), node(of), timer(of.loop_, [this] { next(); }) {}
  void whole() override { node.request(*this); }
  void gone() override {
    end();
    node.drop(*this);
  }
  void end() {  // of the attempt, if one is out here
    timer.stop();
    if (!open)
      return;
    open = false;
    node.fleet_.over(id, node.name_);
  }
  void next() {
    if (node.reader_) {
      node.fleet_.held[id] = node.name_;
      node.fleet_.holds(id, node.name_);
      end();
      return answer("202 Accepted", "{\"cached_tokens\":0}");
    }
    if (word == 0) {
      if (const auto held = node.fleet_.held.find(id); held != node.fleet_.held.end()) {
        node.fleet_.freed(id, held->second);  // fetched from there
        node.fleet_.held.erase(held);
      }
      connection.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    if (word < words.size()) {
      const json event{{"choices", json::array({{{"index", 0}, {"delta", {{"content", words[word++]}}}}})}};
      connection.write(chunk("data: " + event.dump() + "\n\n"));
      return timer.start(node.token_time);
    }
    connection.write(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    end();
  }
  void answer(const std::string& status, const std::string& body, const std::string& fields = "") {
    connection.write("HTTP/1.1 " + status + "\r\n" + fields +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Node& node;
  bool open = false;
  std::size_t word = 0;
  net::Timer timer;
};

Node::Node(net::Loop& loop, Fleet& fleet, std::string name, bool reader)
    : loop_(loop),
      fleet_(fleet),
      name_(std::move(name)),
      reader_(reader),
      listener_(
          std::make_unique<net::Listener>(loop, "127.0.0.1:0", [this](evutil_socket_t fd) { accept(fd); })) {
  port_ = listener_->port();
}
Node::~Node() = default;

void Node::accept(evutil_socket_t fd) {
  visits_.push_back(std::make_unique<Visit>(*this, fd));
}
void Node::drop(Visit& visit) {
  erase(loop_, visits_, visit);
}

void Node::request(Visit& visit) {
  if (visit.method == "DELETE") {
    const std::string request = visit.target.substr(std::min<std::size_t>(7, visit.target.size()));
    if (const auto held = fleet_.held.find(request); held != fleet_.held.end() && held->second == name_) {
      fleet_.held.erase(held);
      fleet_.freed(request, name_);
    }
    visit.connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    return;
  }
  if (visit.method != "POST")
    return visit.answer("404 Not Found", "");
  fleet_.begun(visit.id, name_);
  visit.open = true;
  visit.word = 0;
  if (!reader_ && !fleet_.held.count(visit.id)) {
    visit.end();
    return visit.answer("410 Gone", "", "Srv-Declined: 1\r\n");
  }
  visit.timer.start(reader_ ? read_time : first_time);
}

void Node::crash() {
  listener_.reset();
  for (auto& visit : visits_) {
    visit->reset();
    visit->end();
    loop_.dispose(std::move(visit));
  }
  visits_.clear();
  for (auto it = fleet_.held.begin(); it != fleet_.held.end();) {
    if (it->second != name_) {
      ++it;
      continue;
    }
    fleet_.freed(it->first, name_);
    it = fleet_.held.erase(it);
  }
}

// ---- Discovery
// ----------------------------------------------------------------------------------------------

struct Discovery::Visit : Server {
  Visit(Discovery& of, evutil_socket_t fd)
      : Server(of.loop_, fd), agent(of), timer(of.loop_, [this] { agent.answer(*this); }) {}
  void whole() override {
    const auto index = http::query_value(target, "index"), wait = http::query_value(target, "wait");
    known = index ? static_cast<std::uint32_t>(std::stoul(*index)) : 0;
    if (index && known == agent.generation_ && wait) {
      waits = true;
      timer.start(milliseconds(std::stoul(*wait)));
    } else {
      agent.answer(*this);
    }
  }
  void gone() override { erase(agent.loop_, agent.visits_, *this); }
  Discovery& agent;
  std::uint32_t known = 0;
  bool waits = false;
  net::Timer timer;
};

Discovery::Discovery(net::Loop& loop)
    : loop_(loop), listener_(std::make_unique<net::Listener>(loop, "127.0.0.1:0", [this](evutil_socket_t fd) {
        visits_.push_back(std::make_unique<Visit>(*this, fd));
      })) {}
Discovery::~Discovery() = default;
std::string Discovery::address() const {
  return "127.0.0.1:" + std::to_string(listener_->port());
}

void Discovery::tell(const Node& node, const char* lifecycle) {
  const json entry{{"instanceId", node.name()},
                   {"hostPort", node.address()},
                   {"zone", "a"},
                   {"cell", 1},
                   {"weight", 1.0},
                   {"machineType", node.reader() ? "reader" : "writer"},
                   {"lifecycle", lifecycle},
                   {"startedAtMs", 0}};
  entries_[node.name()] = {entry.dump(), std::string(lifecycle) == "left", ++generation_};
  for (auto& visit : visits_)
    if (visit->waits)
      answer(*visit);
}

void Discovery::answer(Visit& visit) {
  visit.timer.stop();
  visit.waits = false;
  std::string list;
  for (const auto& [name, entry] : entries_)
    if (visit.known ? entry.since > visit.known : !entry.left)
      list += (list.empty() ? "" : ",") + entry.json;
  const std::string body = "{\"generation\":" + std::to_string(generation_) +
                           ",\"reset\":" + (visit.known ? "false" : "true") + ",\"instances\":[" + list +
                           "]}";
  visit.connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                         body);
}

// ---- Clients
// ------------------------------------------------------------------------------------------------

namespace {

std::string seconds_text(std::chrono::microseconds span) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(span).count();
  return text.str();
}
std::string body_of(const Question& question) {
  return json{{"model", question.kind},
              {"stream", true},
              {"messages", json::array({{{"role", "user"}, {"content", question.session}}})}}
      .dump();
}
// The text within one event of a chat completion's stream; empty for any other.
std::string text_of(std::string_view data) {
  const auto event = json::parse(data, nullptr, false);
  if (!event.is_object() || !event.contains("choices") || event["choices"].empty())
    return {};
  return event["choices"][0].value("/delta/content"_json_pointer, "");
}

class HttpClient : public Client, http::Listener {
 public:
  HttpClient(http::Client& pool, const std::string& address, const Question& question, Heard heard)
      : heard_(std::move(heard)) {
    stream_.on_event = [this](std::string_view data) {
      if (data == "[DONE]")
        done_ = true;
      else if (const auto text = text_of(data); !text.empty())
        heard_.event(text);
      return true;
    };
    auto body = std::make_shared<const std::string>(body_of(question));
    std::string extra = "prompt_len=" + std::to_string(question.tokens) + ",max_out=40";
    if (!question.opening.empty())
      extra += ",prefix=" + question.opening + ",prefix_len=" + std::to_string(question.shared);
    exchange_ =
        pool.start(address,
                   "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address + "\r\nReq-Id: " + question.id +
                       "\r\nReq-Kind: " + question.kind + "\r\nReq-Key: " + question.session +
                       "\r\nReq-Deadline: " + seconds_text(question.patience) + "\r\nReq-Extra: " + extra +
                       "\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n",
                   body, *this);
  }

 private:
  void head(const http::Head& head) override { status_ = head.status; }
  void body(std::string_view piece) override {
    if (status_ == 200)
      stream_.feed(piece);
  }
  void ended(http::Ending how) override {
    const bool whole = how == http::Ending::whole;
    heard_.ended(status_ == 200                                ? (whole && done_ ? "served" : "cut")
                 : whole && (status_ == 429 || status_ == 503) ? "refused"
                                                               : "failed");
  }
  Heard heard_;
  http::EventStream stream_;
  int status_ = 0;
  bool done_ = false;
  std::unique_ptr<http::Exchange> exchange_;
};

class GrpcClient : public Client, public grpc::SessionOwner, public grpc::StreamEvents {
 public:
  GrpcClient(net::Loop& loop, const std::string& address, const Question& question, Heard heard)
      : loop_(loop), heard_(std::move(heard)) {
    session_ = std::make_unique<grpc::Session>(loop, address, *this, grpc::Session::Limits{});
    v1::GenerateRequest request;
    request.set_id(question.id);
    request.set_kind(question.kind);
    request.set_session(question.session);
    request.set_prompt_tokens(static_cast<std::uint32_t>(question.tokens));
    request.set_prefix(question.opening);
    request.set_prefix_tokens(static_cast<std::uint32_t>(question.shared));
    request.set_max_output(40);
    request.set_body(body_of(question));
    session_->request({{":method", "POST"},
                       {":scheme", "http"},
                       {":path", "/lemonroute.v1.Drafting/Generate"},
                       {":authority", address},
                       {"content-type", "application/grpc"},
                       {"te", "trailers"},
                       {"grpc-timeout", grpc::timeout_text(question.patience)}},
                      grpc::frame(request), *this);
  }

 private:
  void headers(const grpc::Headers& headers) override {
    if (const auto status = grpc::find(headers, "grpc-status"); !status.empty())
      status_ = status;
  }
  void data(std::string_view piece) override {
    reader_.feed(piece, [this](std::string_view bytes) {
      v1::GenerateEvent event;
      if (!event.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
      if (const auto text = text_of(event.data()); !text.empty())
        heard_.event(text);
    });
  }
  void closed(std::uint32_t, bool) override {
    heard_.ended(status_ == "0"                       ? "served"
                 : status_ == "14"                    ? "refused"
                 : status_ == "10" || status_.empty() ? "cut"
                                                      : "failed");
  }
  void closed(grpc::Session&) override { loop_.dispose(std::move(session_)); }
  net::Loop& loop_;
  Heard heard_;
  std::string status_;
  grpc::MessageReader reader_;
  std::unique_ptr<grpc::Session> session_;
};

}  // namespace

std::unique_ptr<Client> ask_http(net::Loop&, http::Client& pool, const std::string& address,
                                 const Question& question, Heard heard) {
  return std::make_unique<HttpClient>(pool, address, question, std::move(heard));
}
std::unique_ptr<Client> ask_grpc(net::Loop& loop, const std::string& address, const Question& question,
                                 Heard heard) {
  return std::make_unique<GrpcClient>(loop, address, question, std::move(heard));
}

}  // namespace lemonroute::demo
