#include "net/tally.h"

#include "base/log.h"

namespace lemonroute::net {
namespace {

constexpr std::chrono::seconds line_every{1};  // of a kind

struct Words {
  std::string_view name, line;
  logging::Level level;
};
constexpr std::array<Words, Tally::kinds> words{{
    {"not_understood", "a client's request is not understood", logging::Level::info},
    {"too_slow", "a client's request did not come whole in time", logging::Level::info},
    {"silent", "a client connected and asked nothing", logging::Level::info},
    {"sent_ahead", "a client sends more than may wait behind its open request, it is dropped",
     logging::Level::info},
    {"flood", "a client does not stop sending and is closed", logging::Level::info},
    {"takes_nothing", "a client takes nothing", logging::Level::info},
    {"dismissed", "a connection is closed since its place is needed", logging::Level::info},
    {"crowded", "newcomers wait for a place", logging::Level::info},
    {"no_memory", "a request is refused, too many bytes of others are held", logging::Level::warn},
    {"not_taken", "a connection could not be taken", logging::Level::warn},
    {"no_socket", "no socket for a new connection", logging::Level::warn},
    {"bad_answer", "an answer is malformed or does not end", logging::Level::info},
}};

}  // namespace

std::string_view Tally::name(Overdone kind) {
  return words[static_cast<std::size_t>(kind)].name;
}

// Guards the log, and the loop that writes it, against peers that misbehave by the thousand.
void Tally::note(Overdone kind, std::string_view detail) {
  Count& count = of(kind);
  ++count.all;
  const auto now = now_();
  if (now < count.quiet_until) {
    ++count.left_out;
    return;
  }
  count.quiet_until = now + line_every;
  const Words& of = words[static_cast<std::size_t>(kind)];
  logging::Line line(of.level);
  line << of.line;
  if (!detail.empty())
    line << ": " << detail;
  if (count.left_out > 0)
    line << " (" << std::exchange(count.left_out, 0) << " more since the last such line)";
}

}  // namespace lemonroute::net
