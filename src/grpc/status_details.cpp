#include "grpc/status_details.h"

#include <sodium.h>

#include <charconv>

#include "proto/rpc.pb.h"

namespace lemonroute::grpc {

std::string base64(std::string_view bytes) {
  constexpr int variant = sodium_base64_VARIANT_ORIGINAL_NO_PADDING;
  std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), variant);
  text.pop_back();  // the terminating zero
  return text;
}

std::optional<std::string> from_base64(std::string_view text) {
  while (!text.empty() && text.back() == '=')
    text.remove_suffix(1);
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                        text.size(), nullptr, &size, &end, sodium_base64_VARIANT_ORIGINAL_NO_PADDING) != 0 ||
      end != text.data() + text.size())
    return std::nullopt;
  bytes.resize(size);
  return bytes;
}

std::pair<std::string, std::string> status_details(Status status, std::string_view text,
                                                   std::string_view reason, std::chrono::microseconds retry) {
  google::rpc::Status whole;
  whole.set_code(static_cast<int>(status));
  whole.set_message(std::string(text));
  google::rpc::ErrorInfo info;
  info.set_reason(std::string(reason));
  info.set_domain("lemonroute");
  whole.add_details()->PackFrom(info);
  if (retry.count() > 0) {
    google::rpc::RetryInfo wait;
    wait.mutable_retry_delay()->set_seconds(retry.count() / 1000000);
    wait.mutable_retry_delay()->set_nanos(static_cast<std::int32_t>(retry.count() % 1000000 * 1000));
    whole.add_details()->PackFrom(wait);
  }
  return {"grpc-status-details-bin", base64(whole.SerializeAsString())};
}

std::string percent_encoded(std::string_view text) {
  static constexpr char digits[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : text) {
    if (c >= 0x20 && c <= 0x7e && c != '%')
      out += static_cast<char>(c);
    else
      (((out += '%') += digits[c >> 4]) += digits[c & 15]);
  }
  return out;
}

std::string percent_decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* const digits = text.data() + i + 1;
      if (std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
        out += static_cast<char>(value);
        i += 2;
        continue;
      }
    }
    out += text[i];
  }
  return out;
}

}  // namespace lemonroute::grpc
