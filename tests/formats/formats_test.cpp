// What processes of one router leave for each other: the file of bans.
#include <gtest/gtest.h>

#include <fstream>

#include "core/bans.h"
#include "formats/fixtures.h"

namespace lemonroute::formats {
namespace {

// ---- the file of bans ----

constexpr Micros first_put_back{1764683700000001}, second_put_back{1764683712345678};

struct BansFile {
  TemporaryFolder folder;
  std::string path = folder.file("bans");
  LockFile lock{folder.file("lock")};
  Bans bans;
  void holds(const std::string& text) { std::ofstream(path, std::ios::binary) << text; }
};

TEST(Formats, ReadsBackWhichNodesAreBanned) {
  BansFile file;
  file.holds(text_fixture("bans.json"));

  file.bans.keep_in(file.path, file.lock);

  EXPECT_TRUE(file.bans.out("lettura-1"));
  EXPECT_TRUE(file.bans.out("scrittura/\"città\"-2"));
  EXPECT_FALSE(file.bans.out("lettura-3"));
  EXPECT_FALSE(file.bans.out("scrittura-4"));
}

TEST(Formats, ReadsBackWhenNodesWerePutBack) {
  BansFile file;
  file.holds(text_fixture("bans.json"));

  file.bans.keep_in(file.path, file.lock);

  EXPECT_EQ(file.bans.back("lettura-3"), first_put_back);
  EXPECT_EQ(file.bans.back("scrittura-4"), second_put_back);
  EXPECT_EQ(file.bans.back("lettura-1"), std::nullopt);
}

TEST(Formats, WritesTheFileOfBansAsBefore) {
  BansFile file;
  file.bans.keep_in(file.path, file.lock);

  for (const char* name : {"lettura-1", "scrittura/\"città\"-2", "lettura-3", "scrittura-4"})
    ASSERT_TRUE(file.bans.change(name, true, first_put_back));
  ASSERT_TRUE(file.bans.change("lettura-3", false, first_put_back));
  ASSERT_TRUE(file.bans.change("scrittura-4", false, second_put_back));

  std::ifstream written(file.path, std::ios::binary);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(written), {}), text_fixture("bans.json"));
}

}  // namespace
}  // namespace lemonroute::formats
