#include "http/inquiry.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lemonroute::http {
namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr double most_deadline_s = 3600;

bool parse_real(std::string_view text, double most, double& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= 0 && value <= most;
}

bool understand_extra(std::string_view extra, Inquiry& inquiry) {
  while (!extra.empty()) {
    const auto comma = extra.find(',');
    const auto item = trim(extra.substr(0, comma));
    extra.remove_prefix(comma == std::string_view::npos ? extra.size() : comma + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos) return false;
    const auto name = item.substr(0, equals), value = item.substr(equals + 1);
    if (name == "prefix") inquiry.shared = key_of(value);
    for (auto [wanted, to] : {std::pair<std::string_view, double*>{"prompt_len", &inquiry.prompt_tokens},
                              {"prefix_len", &inquiry.shared_tokens},
                              {"max_out", &inquiry.max_output}})
      if (name == wanted && !parse_real(value, 1e7, *to)) return false;
  }
  return true;
}

}  // namespace

int answer_of(const Head& head, bool draining, Inquiry& inquiry) {
  const auto path = head.target.substr(0, head.target.find('?'));
  if (path == "/healthz") return head.method == "GET" ? (draining ? 503 : 200) : 405;
  if (path != chat_path) return 404;
  if (head.method != "POST") return 405;
  if (head.minor == 0) return 400;  // a stream can't be framed for it
  inquiry = {};
  inquiry.prompt.id = head.field("Req-Id");
  inquiry.prompt.target = head.target;
  if (!valid_id(inquiry.prompt.id)) return 400;
  inquiry.kind = head.field("Req-Kind");
  inquiry.tenant = head.field("Req-Owner");
  inquiry.session = key_of(head.field("Req-Key"));
  if (const auto text = head.field("Req-Deadline"); !text.empty()) {
    double seconds = 0;
    if (!parse_real(text, most_deadline_s, seconds)) return 400;
    inquiry.budget = std::max(Micros(1), Micros(std::llround(seconds * 1e6)));
  }
  const auto retry = head.field("Req-Retry");
  inquiry.repeat = !retry.empty();
  inquiry.resumed = retry == "again";
  return understand_extra(head.field("Req-Extra"), inquiry) ? 0 : 400;
}

}  // namespace lemonroute::http
