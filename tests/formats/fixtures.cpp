#include "formats/fixtures.h"

#include <stdlib.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>

namespace lemonroute::formats {
namespace {

constexpr std::size_t bytes_of_line = 32;
constexpr std::string_view digits = "0123456789abcdef";

unsigned value_of(char digit) {
  const auto at = digits.find(digit);
  if (at == std::string_view::npos)
    throw std::runtime_error(std::string("no hexadecimal digit: ") + digit);
  return static_cast<unsigned>(at);
}

}  // namespace

std::string text_fixture(const std::string& name) {
  const std::string path = std::string(LEMONROUTE_FIXTURES) + "/" + name;
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw std::runtime_error("no fixture " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string line_fixture(const std::string& name) {
  std::string text = text_fixture(name);
  if (text.empty() || text.back() != '\n')
    throw std::runtime_error(name + " does not end with a line break");
  text.pop_back();
  return text;
}

std::string binary_fixture(const std::string& name) {
  std::string spelled;
  for (const char c : text_fixture(name))
    if (c != '\n')
      spelled += c;
  if (spelled.empty() || spelled.size() % 2 != 0)
    throw std::runtime_error(name + " does not spell whole bytes");
  std::string bytes;
  for (std::size_t at = 0; at < spelled.size(); at += 2)
    bytes += static_cast<char>(value_of(spelled[at]) << 4 | value_of(spelled[at + 1]));
  return bytes;
}

std::string hex_lines(std::string_view bytes) {
  std::string lines;
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    const auto byte = static_cast<unsigned char>(bytes[at]);
    lines += digits[byte >> 4];
    lines += digits[byte & 15];
    if ((at + 1) % bytes_of_line == 0 || at + 1 == bytes.size())
      lines += '\n';
  }
  return lines;
}

TemporaryFolder::TemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "lemonroute-formats-XXXXXX").string();
  if (!mkdtemp(path.data()))
    throw std::system_error(errno, std::generic_category(), path);
  path_ = path;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code none;
  std::filesystem::remove_all(path_, none);
}

}  // namespace lemonroute::formats
