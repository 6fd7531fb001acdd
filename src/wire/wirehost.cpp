// lemonroute_wirehost: hosts scheduler instances and speaks the wire on standard input and output.
#include <cstdio>
#include <exception>
#include <map>

#include "wire/settings.h"
#include "wire/wire.h"

namespace {

using namespace lemonroute;

// Reads up to `size` bytes; fewer only at the end of input.
std::string read_bytes(std::size_t size) {
  std::string bytes;
  while (bytes.size() < size) {
    char buffer[65536];
    const std::size_t got = std::fread(buffer, 1, std::min(sizeof buffer, size - bytes.size()), stdin);
    if (got == 0)
      break;
    bytes.append(buffer, got);
  }
  return bytes;
}

class Host {
 public:
  std::string answer(const std::string& frame) {
    const wire::Batch batch = wire::decode_batch(frame);
    reply_.clear();
    for (const auto& record : batch.records) {
      try {
        std::visit([&](const auto& body) { on(batch.now, record.dispatcher, body); }, record.body);
      } catch (const std::exception& error) {
        instances_.erase(record.dispatcher);
        reply_.push_back({record.dispatcher, wire::Broken{error.what()}});
      }
    }
    return wire::encode_reply(reply_);
  }

 private:
  void on(Micros, std::uint32_t dispatcher, const wire::Create& create) {
    instances_.insert_or_assign(dispatcher, Scheduler(parse_settings(create.options), create.seed));
  }
  void on(Micros, std::uint32_t dispatcher, const wire::Shutdown&) { instances_.erase(dispatcher); }
  template <class Body>
  void on(Micros now, std::uint32_t dispatcher, const Body& body) {
    const auto found = instances_.find(dispatcher);
    if (found == instances_.end())
      return;  // stopped, or never started
    actions_.clear();
    found->second.handle(now, Event(body), actions_);
    for (auto& action : actions_)
      std::visit([&](auto& one) { reply_.push_back({dispatcher, std::move(one)}); }, action);
  }

  std::map<std::uint32_t, Scheduler> instances_;
  wire::Reply reply_;
  std::vector<Action> actions_;
};

}  // namespace

int main() {
  Host host;
  std::size_t frames = 0;
  try {
    for (;; ++frames) {
      std::string frame = read_bytes(4);
      if (frame.empty())
        return 0;
      if (frame.size() < 4)
        throw wire::FrameError("frame header cut short: " + std::to_string(frame.size()) + " of 4 bytes");
      const std::size_t length = wire::frame_length(frame);
      frame += read_bytes(length - 4);
      if (frame.size() < length)
        throw wire::FrameError("frame cut short: " + std::to_string(frame.size()) + " of " +
                               std::to_string(length) + " bytes");
      const std::string reply = host.answer(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fprintf(stderr, "lemonroute_wirehost: the reply to frame %zu could not be written\n", frames);
        return 1;
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lemonroute_wirehost: frame %zu: %s\n", frames, error.what());
    return 1;
  }
}
