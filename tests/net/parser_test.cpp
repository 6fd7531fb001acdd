// Bad-input tables for each parser, and what the same parsers accept.
#undef NDEBUG
#include <array>
#include <cassert>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "config/platform.h"
#include "grpc/message.h"
#include "http/event_stream.h"
#include "http/message.h"

namespace {

using namespace lemonroute;
using std::string;
using namespace std::string_literals;

struct BufferFree {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using Buffer = std::unique_ptr<evbuffer, BufferFree>;

// Fed in pieces of `step` bytes: where the bytes are cut must not matter.
http::HeadScan scan(const string& text, http::Kind kind, std::size_t step, evbuffer* buffer) {
  std::size_t scanned = 0;
  http::HeadScan result;
  for (std::size_t at = 0; at < text.size() && result.state == http::Scan::more; at += step) {
    evbuffer_add(buffer, text.data() + at, std::min(step, text.size() - at));
    result = http::scan_head(buffer, kind, scanned);
  }
  return result;
}

struct BadHead {
  http::Kind kind;
  string text;
  int fault;
};

void heads() {
  const auto q = http::Kind::request, a = http::Kind::answer;
  const std::vector<BadHead> bad{
      {q, "\r\n\r\n", 400},
      {q, "GET\r\n\r\n", 400},
      {q, "GET /\r\n\r\n", 400},
      {q, "GET / HTTP/2.0\r\n\r\n", 400},
      {q, "GET / http/1.1\r\n\r\n", 400},
      {q, "G@T / HTTP/1.1\r\n\r\n", 400},
      {q, "GET /a b HTTP/1.1\r\n\r\n", 400},
      {q, "GET /\x01 HTTP/1.1\r\n\r\n", 400},
      {q, "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
      {q, "GET / HTTP/1.1\r\n: empty\r\n\r\n", 400},
      {q, "GET / HTTP/1.1\r\nA : space\r\n\r\n", 400},
      {q, "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", 400},
      {q, "GET / HTTP/1.1\r\nA: b\nB: c\r\n\r\n", 400},
      {q, string("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24), 400},
      {q, "GET / HTTP/1.1\r\nA: " + string(17000, 'x') + "\r\n\r\n", 431},
      {q, string(17000, 'x'), 431},
      {a, "HTTP/1.1\r\n\r\n", 400},
      {a, "HTTP/1.1 2x0 OK\r\n\r\n", 400},
      {a, "HTTP/1.1 20\r\n\r\n", 400},
      {a, "HTTP/1.1 2000 OK\r\n\r\n", 400},
      {a, "HTTP/1.1 099 OK\r\n\r\n", 400},
      {a, "HTCP/1.1 200 OK\r\n\r\n", 400},
      {a, "noise without an end", 400},
      {a, "HTTP/2", 400},
  };
  for (const auto& row : bad)
    for (const std::size_t step : {std::size_t(1), std::size_t(7), row.text.size()}) {
      const Buffer buffer(evbuffer_new());
      const auto result = scan(row.text, row.kind, step, buffer.get());
      assert(result.state == http::Scan::fault && static_cast<int>(result.fault) == row.fault);
    }
  string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 65; ++i)
    many += "A: b\r\n";
  const Buffer crowded(evbuffer_new());
  assert(scan(many + "\r\n", q, 100, crowded.get()).fault == http::Fault::head_too_large);

  for (const std::size_t step : {1, 3, 500}) {
    const Buffer buffer(evbuffer_new());
    const auto good =
        scan("POST /x?y HTTP/1.1\r\nReq-Id: 7\r\nempty:\r\nconnection: Keep-Alive, Close\r\n\r\n", q, step,
             buffer.get());
    assert(good.state == http::Scan::head && good.head.method == "POST" && good.head.target == "/x?y");
    assert(good.head.field("REQ-ID") == "7" && good.head.has("Empty") && good.head.closes());
  }
}

// The whole body or the fault's status, in pieces.
string body_of(const string& head_text, const string& bytes, std::size_t step) {
  http::Head head;
  assert(http::parse_head(head_text, http::Kind::request, head) == http::Fault::none);
  http::Fault fault = http::Fault::none;
  auto body = http::Body::of_request(head, fault);
  if (!body)
    return std::to_string(static_cast<int>(fault));
  const Buffer buffer(evbuffer_new());
  string text;
  for (std::size_t at = 0; at <= bytes.size(); at += step) {
    evbuffer_add(buffer.get(), bytes.data() + at, std::min(step, bytes.size() - at));
    const auto state = body->take(buffer.get(), [&](std::string_view piece) {
      text += piece;
      return true;
    });
    if (state == http::Body::State::fault)
      return std::to_string(static_cast<int>(body->fault()));
    if (state == http::Body::State::whole)
      return "whole " + text;
  }
  return "more " + text;
}

void bodies() {
  const string post = "POST / HTTP/1.1\r\n", chunked = post + "Transfer-Encoding: chunked";
  const std::vector<std::array<string, 3>> table{
      {post, "", "whole "},
      {post + "Content-Length: 3", "abc", "whole abc"},
      {post + "Content-Length: 3", "ab", "more ab"},
      {post + "Content-Length: 3\r\nContent-Length: 3", "abc", "whole abc"},
      {post + "Content-Length: 3\r\nContent-Length: 4", "abc", "400"},
      {post + "Content-Length: -3", "abc", "400"},
      {post + "Content-Length: 3, 3", "abc", "400"},
      {post + "Content-Length: 0x3", "abc", "400"},
      {post + "Content-Length: 99999999999999999999", "", "400"},
      {post + "Content-Length: 262145", "", "413"},
      {post + "Transfer-Encoding: gzip", "", "400"},
      {chunked + "\r\nContent-Length: 3", "abc", "400"},
      {chunked, "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: v\r\n\r\n", "whole abcd"},
      {chunked, "3\r\nabcd\r\n", "400"},
      {chunked, "\r\n", "400"},
      {chunked, "-1\r\n", "400"},
      {chunked, "g\r\n", "400"},
      {chunked, "fffffffffffffffff\r\n", "400"},
      {chunked, "ffffffffffffffff\r\n", "413"},
      {chunked, string(300, '0'), "400"},
      {chunked, "0\r\n" + string(200, 'T') + ": v\r\n", "more "},
  };
  for (const auto& [head, bytes, expected] : table)
    for (const std::size_t step : {std::size_t(1), std::size_t(5), bytes.size() + 1})
      assert(body_of(head, bytes, step) == expected);
}

// A chunk of an answer may not claim more than can be meant, however long the answer is.
void answer_chunks() {
  http::Head head;
  assert(http::parse_head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", http::Kind::answer, head) ==
         http::Fault::none);
  for (const auto& [size, state] :
       {std::pair{"100000\r\n", http::Body::State::more}, std::pair{"100001\r\n", http::Body::State::fault},
        std::pair{"b2d05e00\r\n", http::Body::State::fault}}) {
    const Buffer buffer(evbuffer_new());
    evbuffer_add(buffer.get(), size, std::string_view(size).size());
    auto body = http::Body::of_answer(head);
    assert(body && body->take(buffer.get(), [](std::string_view) { return true; }) == state);
  }
}

void streams() {
  const string text =
      ": note\r\ndata: a\n\ndata:b\ndata: c\n\nevent: x\ndata\n\n\ndata: [DONE]\n\n: Srv-Load: x0=1\n\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    http::EventStream stream;
    string events, comments;
    stream.on_event = [&](std::string_view data) {
      return events.append("<").append(data).append(">"), true;
    };
    stream.on_comment = [&](std::string_view note) { return comments.append(note).append(";"), true; };
    for (std::size_t at = 0; at < text.size(); at += step)
      assert(stream.feed(std::string_view(text).substr(at, step)));
    assert(events == "<a><b\nc><><[DONE]>" && comments == "note;Srv-Load: x0=1;");
  }
  http::EventStream endless;
  endless.on_event = endless.on_comment = [](std::string_view) { return true; };
  assert(!endless.feed("data: " + string(http::most_body + 1, 'x')));
  for (const char* bad : {"1f\n", "data: a\n\n\r\n20\r\ndata: b\n\n", "dat: a\n"}) {
    http::EventStream stream;
    stream.on_event = stream.on_comment = [](std::string_view) { return true; };
    assert(!stream.feed(bad));
  }
}

void messages() {
  using grpc::Status;
  const auto feed = [](const string& bytes) {
    grpc::MessageReader reader;
    std::optional<Status> fault;
    for (std::size_t at = 0; at < bytes.size() && !fault; ++at)
      fault = reader.feed(bytes.substr(at, 1), [](std::string_view) {});
    return fault;
  };
  assert(!feed(grpc::frame("abc") + grpc::frame("")));
  assert(feed(string("\1\0\0\0\1x", 6)) == Status::internal);  // compressed, and no encoding was named
  assert(feed(string("\2\0\0\0\1x", 6)) == Status::internal);
  assert(feed("\0\xff\xff\xff\xff"s.replace(0, 1, 1, '\0')) == Status::resource_exhausted);
  using namespace std::chrono_literals;
  assert(grpc::parse_timeout("250m") == 250ms && grpc::parse_timeout("99999999S") == 99999999s);
  assert(grpc::parse_timeout("1500n") == 1us && grpc::parse_timeout("2H") == 2h);
  for (const char* bad : {"", "m", "1", "123456789m", "-1m", "1.5S", "1 m", "1x"})
    assert(!grpc::parse_timeout(bad));
  assert(grpc::timeout_text(250ms) == "250000u" && grpc::timeout_text(200s) == "200000m");
}

void lists() {
  const string good = R"({"instanceId":"s","hostPort":"127.0.0.1:5","lifecycle":"active","startedAtMs":5})";
  const auto whole = [](const string& node) {
    return R"({"generation":1,"reset":true,"instances":[)" + node + "]}";
  };
  const auto list = discovery::parse_list_text(whole(good));
  assert(list.version == 1 && list.whole && list.nodes.at(0).started_at == std::chrono::milliseconds(5));
  assert(discovery::parse_list_text(whole(R"({"instanceId":"s","lifecycle":"left"})")).nodes.size() == 1);
  for (const string& bad :
       {string(""), string("[]"), string("{"), string("{}"), whole("{}"), whole("7"),
        whole(R"({"instanceId":"","hostPort":"127.0.0.1:5","lifecycle":"active"})"),
        whole(R"({"instanceId":"s","hostPort":"127.0.0.1:5","lifecycle":"odd"})"),
        whole(R"({"instanceId":"s","hostPort":"nowhere","lifecycle":"active"})"),
        whole(R"({"instanceId":"s","hostPort":"127.0.0.1","lifecycle":"active"})"),
        whole(R"({"instanceId":5,"hostPort":"127.0.0.1:5","lifecycle":"active"})"),
        whole(R"({"instanceId":"s","hostPort":"127.0.0.1:5","lifecycle":"active","cell":"x"})")})
    try {
      discovery::parse_list_text(bad);
      assert(!"a bad list was taken");
    } catch (const discovery::ListError&) {
    }
}

void platform() {
  const auto flat = config::flatten(nlohmann::json::parse(
      R"({"lanes":[{"name":"a b","slo-us":1500000}],"kinds":["x","y"],"accounts":[],"limits":{"cancel":true}})"));
  for (const char* line : {"lanes.count=1\n", "lanes.0.name=a_b\n", "lanes.0.slo-us=1500000\n", "kinds=x,y\n",
                           "accounts=\n", "limits.cancel=true\n"})
    assert(flat.find(line) != string::npos);
  for (const char* bad :
       {"", "[]", "{}", R"({"settings":{}})", R"({"settings":[]})", R"({"limits":5,"settings":{}})"})
    try {
      config::parse_platform(bad);
      assert(!"a bad configuration was taken");
    } catch (const config::ConfigError& error) {
      assert(string(error.what()).find('\n') == string::npos);  // one clear line
    }
}

}  // namespace

int main() {
  heads();
  bodies();
  answer_chunks();
  streams();
  messages();
  lists();
  platform();
  std::cout << "parsers: all checks passed\n";
}
