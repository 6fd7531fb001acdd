// Faults in the operator's sections about routers that know each other: each is one line with its place and
// reason.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "config/operator.h"

namespace lemonroute::config {
namespace {

struct FleetFile : testing::Test {
  FleetFile()
      : folder(std::filesystem::temp_directory_path() / ("fleet_config_" + std::to_string(getpid()))) {
    std::filesystem::create_directory(folder);
    for (const char* name : {"good.key", "other.key"})
      peers::seal::write_new_key(folder / name);
    std::filesystem::copy_file(folder / "good.key", folder / "copy.key");
    std::filesystem::copy_file(folder / "good.key", folder / "open.key");
    std::filesystem::permissions(folder / "open.key", std::filesystem::perms(0644));
  }
  ~FleetFile() override { std::filesystem::remove_all(folder); }
  // The faults, without the folder in which the files are.
  std::string faults(const std::string& text) {
    std::ofstream(folder / "file.toml") << text;
    std::vector<Fault> all;
    read = read_operator(folder / "file.toml", all);
    std::string out;
    for (const auto& fault : all)
      out += fault.text() + "\n";
    for (auto at = out.find(folder.string()); at != out.npos; at = out.find(folder.string()))
      out.erase(at, folder.string().size() + 1);
    return out;
  }
  std::filesystem::path folder;
  Operator read;
};

const std::string base = "[peers]\nlisten = \"127.0.0.1:7946\"\nsite = \"a\"\nkey_files = \"good.key\"\n";

TEST_F(FleetFile, is_read_with_its_keys_and_what_holds_for_one_name) {
  EXPECT_EQ(faults(""), "");
  EXPECT_FALSE(read.peers);
  EXPECT_EQ(
      faults("[peers]\nsite = \"a\"\nkey_files = [\"other.key\", \"good.key\"]\nseeds = [\"10.0.0.1:7946\"]\n"
             "clock_offset = \"-2s\"\n[peers.via]\ntwo = \"127.0.0.1:9\"\n[peers.at.one]\nlisten = "
             "\"[::1]:7946\"\n"
             "[peers.at.two]\nlisten = \"127.0.0.1:0\"\nsite = \"b\"\nadvertise = \"10.0.0.2:7946\"\n"
             "[regions.r]\nsites = [\"a\", \"b\"]\nkeepers = [\"one\", \"two\", \"three\"]\n"),
      "");
  ASSERT_TRUE(read.peers);
  EXPECT_EQ(read.peers->keys.size(), 2u);
  EXPECT_EQ(read.peers->clock_offset, Micros(-2'000'000));
  EXPECT_EQ(read.regions.at("r").keepers.size(), 3u);
  std::vector<Fault> wrong;
  const auto one = peers_of(*read.peers, "one", "f", wrong), two = peers_of(*read.peers, "two", "f", wrong);
  EXPECT_TRUE(wrong.empty());
  EXPECT_EQ(one.listen + " " + one.site + " " + one.advertise, "[::1]:7946 a ");
  EXPECT_EQ(two.listen + " " + two.site + " " + two.advertise, "127.0.0.1:0 b 10.0.0.2:7946");
  peers_of(*read.peers, "three", "f", wrong);
  ASSERT_EQ(wrong.size(), 1u);
  EXPECT_EQ(wrong[0].text(),
            "f:1: peers.at: has no section [peers.at.three], and [peers] itself no listen and site");
}

TEST_F(FleetFile, each_fault_is_named_with_line_key_and_reason) {
  struct Case {
    std::string text, line;
  };
  for (const auto& c : {
           Case{"[peers]\nsite = \"a\"\nkey_files = \"good.key\"\n", "file.toml:1: peers.listen: is missing"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nkey_files = \"good.key\"\n",
                "file.toml:1: peers.site: is missing"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nsite = \"a\"\n",
                "file.toml:1: peers.key_files: is missing"},
           Case{"[peers]\nlisten = \"here:1\"\nsite = \"a\"\nkey_files = \"good.key\"\n",
                "file.toml:2: peers.listen: 'here:1' is not an address of the form IP:PORT"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nsite = \"a\"\nkey_files = \"no.key\"\n",
                "file.toml:4: peers.key_files: 'no.key' can't be read: No such file or directory"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nsite = \"a\"\nkey_files = [\"good.key\", \"open.key\"]\n",
                "file.toml:4: peers.key_files: 'open.key' may be read or written by others than its owner; "
                "chmod 600 mends that"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nsite = \"a\"\nkey_files = [\"good.key\", \"copy.key\"]\n",
                "file.toml:4: peers.key_files: 'copy.key' holds a key that is there already"},
           Case{"[peers]\nlisten = \"127.0.0.1:1\"\nsite = \"a\"\nkey_files = \"file.toml\"\n",
                "file.toml:4: peers.key_files: "},
           Case{base + "sed = [\"10.0.0.1:1\"]\n", "file.toml:5: peers.sed: is not a known key"},
           Case{base + "seeds = [\"10.0.0.1:0\"]\n",
                "file.toml:5: peers.seeds: '10.0.0.1:0' has no port to send to"},
           Case{base + "period = \"1ms\"\n", "file.toml:5: peers.period: '1ms' is not from 20ms to 60s"},
           Case{base + "siblings_least = 5\nsiblings_most = 4\n",
                "file.toml:6: peers.siblings_most: is below siblings_least"},
           Case{base + "[peers.via]\nx = \"y\"\n",
                "file.toml:6: peers.via.x: 'y' is not an address of the form IP:PORT"},
           Case{base + "[peers.at.x]\nport = 3\n", "file.toml:6: peers.at.x.port: is not a known key"},
           Case{base + "[regions.r]\n", "file.toml:5: regions.r.sites: is missing"},
           Case{base + "[regions.r]\nsites = []\n",
                "file.toml:6: regions.r.sites: must be a text, or a list of texts that is not empty"},
           Case{base + "[regions.r]\nsites = [\"a\"]\n[regions.s]\nsites = [\"a\"]\n",
                "file.toml:8: regions.s.sites: 'a' is a site of region r"},
           Case{base + "[regions.r]\nsites = [\"a\"]\nkeepers = [\"x\", \"y\"]\n",
                "file.toml:7: regions.r.keepers: are 2, and must be 1, 3, 5 or 7: a majority decides"},
           Case{base + "[regions.r]\nsites = [\"a\"]\nkeepers = [\"x\", \"x\", \"y\"]\n",
                "file.toml:7: regions.r.keepers: 'x' is there twice"},
           Case{"[regions.r]\nsites = [\"a\"]\n",
                "file.toml:1: regions: are of use to routers that know each other only, and there is no "
                "section [peers]"},
       }) {
    const std::string all = faults(c.text);
    EXPECT_EQ(all.substr(0, c.line.size()), c.line);
    EXPECT_EQ(std::count(all.begin(), all.end(), '\n'), 1) << all;
  }
}

}  // namespace
}  // namespace lemonroute::config
