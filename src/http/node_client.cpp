#include "http/node_client.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/log.h"
#include "http/event_stream.h"

namespace lemonroute::http {
namespace {

constexpr std::size_t most_answer = 4096;  // of an answer that is no stream

std::string seconds_text(Micros span) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(span).count();
  return text.str();
}

// The count of kept tokens that the body of a read, or the usage event of a stream, states.
std::uint32_t kept_tokens(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object())
    return 0;
  const nlohmann::json* at = &json;
  if (const auto usage = json.find("usage"); usage != json.end() && usage->is_object()) {
    const auto details = usage->find("prompt_tokens_details");
    if (details == usage->end() || !details->is_object())
      return 0;
    at = &*details;
  }
  const auto kept = at->find("cached_tokens");
  return kept != at->end() && kept->is_number_unsigned() ? kept->get<std::uint32_t>() : 0;
}

// Whether a status says that the request itself is at fault, and not the node or the moment.
bool blames_request(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 410 && status != 425 && status != 429;
}

// Whether a node has let go of a state. Each instance answers 204; where it has none of that id, another
// status below 500 says the same. Guards the state against a 5xx, by which a node, or what stands before it,
// tells that the call was not carried out: it is made again, and a second one does no harm.
bool let_go(Ending how, int status) {
  return how == Ending::whole && status < 500;
}

class AttemptCall : public Call, Listener {
 public:
  AttemptCall(Client& client, const Node& node, const Prompt& prompt, Micros within, AttemptHandler& attempt)
      : attempt_(attempt) {
    set_up();
    std::ostringstream head;
    head << "POST " << prompt.target << " HTTP/1.1\r\nHost: " << node.address << "\r\nReq-Id: " << prompt.id
         << "\r\nReq-Deadline: " << seconds_text(within) << "\r\n"
         << prompt.extra_headers
         << "Content-Type: application/json\r\nContent-Length: " << prompt.body->size() << "\r\n\r\n";
    exchange_ = client.start(node.address, head.str(), prompt.body, *this);
  }
  // Goes on with a stream that another process began, after one of its events.
  AttemptCall(Client& client, const Node& node, const TransferredConnection& connection,
              AttemptHandler& attempt)
      : attempt_(attempt), status_(200), streams_(true), events_(1) {
    set_up();
    result_.outcome = Outcome::ok;
    exchange_ = client.adopt(node.address, connection, *this);
  }
  void set_reading_paused(bool on) override { exchange_->hold_back(on); }
  bool not_sent() const override { return exchange_ && exchange_->unsent(); }
  std::optional<TransferredConnection> transferable_connection() override {
    return streams_ && events_ > 0 && !done_seen_ && stream_.between() ? exchange_->passable() : std::nullopt;
  }
  void on_transferred() override { exchange_->passed(); }

 private:
  void set_up() {
    stream_.on_event = [this](std::string_view data) { return event(data); };
    stream_.on_comment = [this](std::string_view text) {
      constexpr std::string_view name = "Srv-Load:";
      if (same_name(text.substr(0, name.size()), name))
        result_.load_report = trim(text.substr(name.size()));
      return true;
    };
  }
  void written() override { attempt_.on_request_written(); }
  void head(const Head& head) override {
    status_ = head.status;
    result_.load_report = head.field("Srv-Load");
    const bool declined = head.field("Srv-Declined") == "1";
    if (status_ == 200 && head.field("Content-Type").starts_with("text/event-stream")) {
      streams_ = true;
      result_.outcome = Outcome::ok;
    } else if (status_ == 202) {
      result_.outcome = Outcome::prefill_done;
    } else if (declined && (status_ == 503 || status_ == 504 || status_ == 410)) {
      result_.outcome = Outcome::rejected_over_capacity;
      result_.cached_tokens = status_ == 410 ? 1 : 0;
    } else {
      result_.outcome = Outcome::error;
      result_.bad_request = blames_request(status_);
    }
    result_.detail = "status " + std::to_string(status_);
    // Guards against an answer whose status is clear and whose body never ends: it held the request up for as
    // long as the attempt may take.
    if (!streams_)
      exchange_->ends_soon();
  }

  void body(std::string_view piece) override {
    if (!streams_) {
      if (text_.size() + piece.size() <= most_answer)
        text_ += piece;
      return;
    }
    if (events_ > 0)
      attempt_.on_progress();
    if (!stream_.feed(piece))
      done(events_ ? Outcome::reset : Outcome::error, "the event stream is malformed" + after());
  }

  bool event(std::string_view data) {
    // The end mark belongs to this wire; the front that serves the client has its own.
    done_seen_ = data == "[DONE]";
    if (done_seen_)
      return true;
    if (data.find("\"usage\"") != std::string_view::npos)
      result_.cached_tokens = kept_tokens(data);
    // Guards the age of reports: what the head told is as old as the stream by the time the attempt ends.
    if (events_++ == 0)
      result_.load_report.clear();
    attempt_.on_data(data);
    return true;
  }

  void ended(Ending how) override {
    switch (how) {
      case Ending::not_sent:
        return done(Outcome::connect_failed, "no connection");
      case Ending::broken:
        return done(Outcome::reset, "the connection broke");
      case Ending::malformed:
        return done(events_ ? Outcome::reset : Outcome::error, "the answer is malformed" + after());
      case Ending::whole:
        break;
    }
    if (result_.outcome == Outcome::prefill_done)
      result_.cached_tokens = kept_tokens(text_);
    if (streams_ && !events_)
      return done(Outcome::error, "the stream is empty");
    if (streams_ && !done_seen_)
      return done(Outcome::reset, "the stream has no end");
    attempt_.on_done(result_);
  }

  std::string after() const { return events_ ? " after " + std::to_string(events_) + " events" : ""; }

  void done(Outcome outcome, std::string detail) {
    result_.outcome = outcome;
    result_.detail = std::move(detail);
    result_.cached_tokens = 0;
    attempt_.on_done(result_);  // this call is gone after it
  }

  AttemptHandler& attempt_;
  AttemptResult result_;
  int status_ = 0;
  bool streams_ = false, done_seen_ = false;
  std::size_t events_ = 0;
  std::string text_;
  EventStream stream_;
  std::unique_ptr<Exchange> exchange_;
};

// A call whose answer matters only by its status.
class SimpleCall : public Call, Listener {
 public:
  using Done = std::function<void(Ending, int status, std::string load)>;
  SimpleCall(Client& client, const Node& node, std::string_view line, Done done) : done_(std::move(done)) {
    exchange_ = client.start(
        node.address, std::string(line) + " HTTP/1.1\r\nHost: " + node.address + "\r\n\r\n", {}, *this);
  }

 private:
  void head(const Head& head) override {
    status_ = head.status;
    load_ = head.field("Srv-Load");
    exchange_->ends_soon();
  }
  void body(std::string_view piece) override {
    if (text_.size() + piece.size() <= most_answer)
      text_ += piece;
  }
  void ended(Ending how) override {
    const auto done = std::move(done_);  // letting go of the call must not end the function that runs
    done(how, status_, load_.empty() ? text_ : load_);
  }

  Done done_;
  int status_ = 0;
  std::string load_, text_;
  std::unique_ptr<Exchange> exchange_;
};

}  // namespace

std::unique_ptr<Call> NodeClient::start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                                AttemptHandler& attempt) {
  return std::make_unique<AttemptCall>(client_, node, prompt, within, attempt);
}

std::unique_ptr<Call> NodeClient::adopt_stream(const Node& node, const TransferredConnection& connection,
                                               AttemptHandler& attempt) {
  return std::make_unique<AttemptCall>(client_, node, connection, attempt);
}

std::unique_ptr<Call> NodeClient::release_reservation(const Node& node, const std::string& id,
                                                      std::function<void(bool)> done) {
  return std::make_unique<SimpleCall>(
      client_, node, "DELETE /state/" + id,
      [done = std::move(done)](Ending how, int status, const std::string&) { done(let_go(how, status)); });
}

std::unique_ptr<Call> NodeClient::probe(const Node& node, std::function<void(const AttemptResult&)> done) {
  return std::make_unique<SimpleCall>(
      client_, node, "GET /load", [done = std::move(done)](Ending how, int status, std::string load) {
        AttemptResult result;
        result.load_report = std::move(load);
        result.outcome = how == Ending::not_sent                 ? Outcome::connect_failed
                         : how == Ending::broken                 ? Outcome::reset
                         : how == Ending::whole && status == 200 ? Outcome::ok
                                                                 : Outcome::error;
        done(result);
      });
}

}  // namespace lemonroute::http
