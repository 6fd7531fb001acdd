// The reader of gRPC messages: however the bytes are cut, the same messages come out and the same fault, each
// message within its limit. Without libFuzzer (LEMONROUTE_FUZZ_MAIN) it plays the files that it is given, as
// CI does with the short corpus beside it.
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <vector>

#include "grpc/compression.h"
#include "grpc/message.h"

using namespace lemonroute::grpc;

namespace {

struct Read {
  std::vector<std::string> messages;
  std::optional<Status> fault;
  bool operator==(const Read&) const = default;
};

Read read(std::string_view bytes, Encoding encoding, std::size_t piece) {
  Read all;
  MessageReader reader;
  reader.encoding(encoding);
  for (std::size_t at = 0; at < bytes.size() && !all.fault; at += piece)
    all.fault = reader.feed(bytes.substr(at, piece), [&](std::string_view message) {
      if (message.size() > most_message)
        abort();
      all.messages.emplace_back(message);
    });
  return all;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2)
    return 0;
  const auto encoding = static_cast<Encoding>(data[0] % 3);
  const std::size_t piece = 1 + data[1] % 61;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
  const Read whole = read(bytes, encoding, bytes.size() + 1), cut = read(bytes, encoding, piece);
  // A fault in the middle of a piece hides no message that stood whole before it.
  if (whole.fault != cut.fault || whole.messages != cut.messages)
    abort();
  for (const auto& message : whole.messages) {
    if (message.size() > 4096)
      continue;
    const Read again = read(frame(message, encoding), encoding, piece);
    if (again.fault || again.messages != std::vector<std::string>{message})
      abort();
  }
  const std::string_view text = bytes.substr(0, 32);
  if (const auto span = parse_timeout(text); span && span->count() < 0)
    abort();
  best_of(text);
  return 0;
}

#ifdef LEMONROUTE_FUZZ_MAIN
int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    std::ifstream file(argv[i], std::ios::binary);
    if (!file)
      return 1;
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  return argc > 1 ? 0 : 1;
}
#endif
