// What an earlier version wrote, from tests/formats/fixtures. A change of these bytes breaks a running fleet,
// or a process that takes over from another version: such a change needs a new version of the format, not a
// new fixture.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>

namespace lemonroute::formats {

// A whole text file, byte for byte.
std::string text_fixture(const std::string& name);
// A text that is written without a line break at its end; the file has one.
std::string line_fixture(const std::string& name);
// The bytes that a file spells in hexadecimal digits, 32 bytes a line.
std::string binary_fixture(const std::string& name);

// The digits of a binary fixture, so that a difference is seen in its line.
std::string hex_lines(std::string_view bytes);

// A folder of its own for one test, removed with all that is in it.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string file(const std::string& name) const { return (path_ / name).string(); }
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace lemonroute::formats
