#include "peers/seal/refusals.h"

namespace lemonroute::peers::seal {
namespace {

constexpr std::chrono::minutes between{1};

}  // namespace

void Refusals::count(Kind kind, const std::string& from) {
  ++all_[kind];
  last_from_ = from;
}

std::optional<std::string> Refusals::line(Micros now) {
  if (all_ == told_ || (at_ && now - *at_ < between))
    return std::nullopt;
  std::string text;
  for (std::size_t i = 0; i < kinds; ++i)
    if (all_[i] > told_[i])
      text += (text.empty() ? "" : ", ") + std::to_string(all_[i] - told_[i]) + " " + names[i];
  told_ = all_;
  at_ = now;
  return "peers: datagrams refused: " + text + "; the last one from " + last_from_;
}

}  // namespace lemonroute::peers::seal
