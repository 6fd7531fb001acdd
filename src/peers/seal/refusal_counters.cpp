#include "peers/seal/refusal_counters.h"

namespace lemonroute::peers::seal {
namespace {

constexpr std::chrono::minutes log_interval{1};

}  // namespace

void RefusalCounters::count(Kind kind, const std::string& from) {
  ++totals_[kind];
  last_from_ = from;
}

std::optional<std::string> RefusalCounters::take_log_line(Micros now) {
  if (totals_ == logged_ || (logged_at_ && now - *logged_at_ < log_interval))
    return std::nullopt;
  std::string text;
  for (std::size_t i = 0; i < kind_count; ++i)
    if (totals_[i] > logged_[i])
      text += (text.empty() ? "" : ", ") + std::to_string(totals_[i] - logged_[i]) + " " + names[i];
  logged_ = totals_;
  logged_at_ = now;
  return "peers: datagrams refused: " + text + "; the last one from " + last_from_;
}

}  // namespace lemonroute::peers::seal
