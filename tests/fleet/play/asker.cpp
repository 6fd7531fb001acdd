#include "play/asker.h"

namespace lemonroute::rig {
namespace {

constexpr std::size_t most_answer = 4 * 1024 * 1024;

}  // namespace

class Asker::Call : public http::Listener {
 public:
  Call(Asker& owner, std::string address, const std::string& target, Answer answer)
      : owner_(owner), address_(std::move(address)), answer_(std::move(answer)) {
    exchange_ = owner_.client_.start(
        address_, "GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n", {}, *this);
  }

 private:
  void head(const http::Head& head) override { status_ = head.status; }
  void body(std::string_view piece) override {
    if (body_.size() + piece.size() <= most_answer)
      body_ += piece;
  }
  void ended(http::Ending how) override {
    owner_.forget(address_);  // this call lives until the loop is back
    answer_(how == http::Ending::whole ? status_ : 0, body_);
  }
  Asker& owner_;
  std::string address_, body_;
  Answer answer_;
  int status_ = 0;
  std::unique_ptr<http::Exchange> exchange_;
};

Asker::Asker(net::Loop& loop) : loop_(loop), client_(loop, {}) {}
Asker::~Asker() = default;

void Asker::ask(const std::string& address, const std::string& target, Answer answer) {
  calls_[address] = std::make_unique<Call>(*this, address, target, std::move(answer));
}

void Asker::forget(const std::string& address) {
  if (const auto at = calls_.find(address); at != calls_.end()) {
    loop_.dispose(std::move(at->second));
    calls_.erase(at);
  }
}

}  // namespace lemonroute::rig
