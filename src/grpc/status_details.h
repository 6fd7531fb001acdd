// google.rpc.Status in grpc-status-details-bin: what a program may do about an answer, beside the text for
// people.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "grpc/message.h"

namespace lemonroute::grpc {

// The trailer with an ErrorInfo (domain "lemonroute") and, for a positive `retry`, a RetryInfo.
std::pair<std::string, std::string> status_details(Status status, std::string_view text,
                                                   std::string_view reason, std::chrono::microseconds retry);
std::string base64(std::string_view bytes);  // without padding, as binary metadata is written
std::optional<std::string> from_base64(std::string_view text);  // with padding or without

// grpc-message is percent-encoded: printable ASCII as it is, all other bytes as %XX.
std::string percent_encoded(std::string_view text);
std::string percent_decoded(std::string_view text);  // what is no code stays as it is

}  // namespace lemonroute::grpc
