#include "http/request_fields.h"

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

bool understand_extra(std::string_view extra, ClientRequest& client_request) {
  while (!extra.empty()) {
    const auto comma = extra.find(',');
    const auto item = trim(extra.substr(0, comma));
    extra.remove_prefix(comma == std::string_view::npos ? extra.size() : comma + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos)
      return false;
    const auto name = item.substr(0, equals), value = item.substr(equals + 1);
    if (name == "prefix")
      client_request.shared_prefix_key = key_from_text(value);
    for (auto [wanted, to] :
         {std::pair<std::string_view, double*>{"prompt_len", &client_request.prompt_tokens},
          {"prefix_len", &client_request.shared_prefix_tokens},
          {"max_out", &client_request.max_output_tokens}})
      if (name == wanted && !parse_real(value, 1e7, *to))
        return false;
  }
  return true;
}

// Fields that end here: those of one connection, the framing's, and those that are read or written by the
// router.
constexpr std::string_view not_passed_on[] = {"Connection",
                                              "Content-Length",
                                              "Content-Type",
                                              "Expect",
                                              "Host",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "Proxy-Authenticate",
                                              "Proxy-Authorization",
                                              "Req-Deadline",
                                              "Req-Extra",
                                              "Req-Id",
                                              "Req-Key",
                                              "Req-Kind",
                                              "Req-Owner",
                                              "Req-Retry",
                                              "TE",
                                              "Trailer",
                                              "Transfer-Encoding",
                                              "Upgrade"};

// Whether the client's Connection field names this one, which then ends here as well.
bool of_connection(const Head& head, std::string_view name) {
  std::string_view listed = head.field("Connection");
  while (!listed.empty()) {
    const auto comma = listed.find(',');
    if (same_name(trim(listed.substr(0, comma)), name))
      return true;
    listed.remove_prefix(comma == std::string_view::npos ? listed.size() : comma + 1);
  }
  return false;
}

// What a client says beside what the router understands is the node's to read, such as the key by which a
// node knows a repeat of a request.
std::string fields_for_node(const Head& head) {
  std::string fields;
  for (const Field& field : head.all()) {
    const bool ends_here = std::any_of(std::begin(not_passed_on), std::end(not_passed_on),
                                       [&](std::string_view name) { return same_name(name, field.name); });
    if (ends_here || of_connection(head, field.name))
      continue;
    fields.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  return fields;
}

}  // namespace

int answer_of(const Head& head, bool draining, ClientRequest& client_request) {
  const auto path = head.target.substr(0, head.target.find('?'));
  if (path == "/healthz")
    return head.method == "GET" ? (draining ? 503 : 200) : 405;
  if (path != chat_path)
    return 404;
  if (head.method != "POST")
    return 405;
  if (head.minor == 0)
    return 400;  // a stream can't be framed for it
  client_request = {};
  client_request.prompt.id = head.field("Req-Id");
  client_request.prompt.target = head.target;
  client_request.prompt.extra_headers = fields_for_node(head);
  if (!is_valid_request_id(client_request.prompt.id))
    return 400;
  client_request.request_class = head.field("Req-Kind");
  client_request.tenant = head.field("Req-Owner");
  client_request.session_key = key_from_text(head.field("Req-Key"));
  if (const auto text = head.field("Req-Deadline"); !text.empty()) {
    double seconds = 0;
    if (!parse_real(text, most_deadline_s, seconds))
      return 400;
    client_request.time_budget = std::max(Micros(1), Micros(std::llround(seconds * 1e6)));
  }
  const auto retry = head.field("Req-Retry");
  client_request.is_retry = !retry.empty();
  client_request.is_resumed = retry == "again";
  return understand_extra(head.field("Req-Extra"), client_request) ? 0 : 400;
}

}  // namespace lemonroute::http
