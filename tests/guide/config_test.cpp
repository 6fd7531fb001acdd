// Reading of the sections [peers] and [regions] of the operator's file: a fault is reported as one line with
// its place and reason.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "config/operator.h"

namespace lemonroute::config {
namespace {

struct PeersConfig : testing::Test {
  PeersConfig()
      : directory(std::filesystem::temp_directory_path() / ("fleet_config_" + std::to_string(getpid()))) {
    std::filesystem::create_directory(directory);
    for (const char* name : {"good.key", "other.key"})
      peers::seal::write_new_key(directory / name);
    std::filesystem::copy_file(directory / "good.key", directory / "copy.key");
    std::filesystem::copy_file(directory / "good.key", directory / "open.key");
    std::filesystem::permissions(directory / "open.key", std::filesystem::perms(0644));
  }
  ~PeersConfig() override { std::filesystem::remove_all(directory); }
  // Reads `text` as the operator's file into `settings`; returns the faults, without the directory of the
  // files.
  std::string read_faults(const std::string& text) {
    std::ofstream(directory / "file.toml") << text;
    std::vector<Fault> found;
    settings = read_operator(directory / "file.toml", found);
    std::string out;
    for (const auto& fault : found)
      out += fault.text() + "\n";
    for (auto at = out.find(directory.string()); at != out.npos; at = out.find(directory.string()))
      out.erase(at, directory.string().size() + 1);
    return out;
  }
  std::filesystem::path directory;
  Operator settings;
};

const std::string valid_peers =
    "[peers]\nlisten = \"127.0.0.1:7946\"\nsite = \"a\"\nkey_files = \"good.key\"\n";

TEST_F(PeersConfig, reads_keys_and_regions_and_applies_the_section_of_a_router_name) {
  EXPECT_EQ(read_faults(""), "");
  EXPECT_FALSE(settings.peers);
  EXPECT_EQ(
      read_faults(
          "[peers]\nsite = \"a\"\nkey_files = [\"other.key\", \"good.key\"]\nseeds = [\"10.0.0.1:7946\"]\n"
          "clock_offset = \"-2s\"\n[peers.via]\ntwo = \"127.0.0.1:9\"\n[peers.at.one]\nlisten = "
          "\"[::1]:7946\"\n"
          "[peers.at.two]\nlisten = \"127.0.0.1:0\"\nsite = \"b\"\nadvertise = \"10.0.0.2:7946\"\n"
          "[regions.r]\nsites = [\"a\", \"b\"]\nkeepers = [\"one\", \"two\", \"three\"]\n"),
      "");
  ASSERT_TRUE(settings.peers);
  EXPECT_EQ(settings.peers->keys.size(), 2u);
  EXPECT_EQ(settings.peers->clock_offset, Micros(-2'000'000));
  EXPECT_EQ(settings.regions.at("r").keepers.size(), 3u);
  std::vector<Fault> peer_faults;
  const auto one = peers_of(*settings.peers, "one", "f", peer_faults),
             two = peers_of(*settings.peers, "two", "f", peer_faults);
  EXPECT_TRUE(peer_faults.empty());
  EXPECT_EQ(one.listen + " " + one.site + " " + one.advertise, "[::1]:7946 a ");
  EXPECT_EQ(two.listen + " " + two.site + " " + two.advertise, "127.0.0.1:0 b 10.0.0.2:7946");
  peers_of(*settings.peers, "three", "f", peer_faults);
  ASSERT_EQ(peer_faults.size(), 1u);
  EXPECT_EQ(peer_faults[0].text(),
            "f:1: peers.at: has no section [peers.at.three], and [peers] itself no listen and site");
}

TEST_F(PeersConfig, reports_each_fault_with_line_key_and_reason) {
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
           Case{valid_peers + "sed = [\"10.0.0.1:1\"]\n", "file.toml:5: peers.sed: is not a known key"},
           Case{valid_peers + "seeds = [\"10.0.0.1:0\"]\n",
                "file.toml:5: peers.seeds: '10.0.0.1:0' has no port to send to"},
           Case{valid_peers + "period = \"1ms\"\n",
                "file.toml:5: peers.period: '1ms' is not from 20ms to 60s"},
           Case{valid_peers + "siblings_least = 5\nsiblings_most = 4\n",
                "file.toml:6: peers.siblings_most: is below siblings_least"},
           Case{valid_peers + "[peers.via]\nx = \"y\"\n",
                "file.toml:6: peers.via.x: 'y' is not an address of the form IP:PORT"},
           Case{valid_peers + "[peers.at.x]\nport = 3\n", "file.toml:6: peers.at.x.port: is not a known key"},
           Case{valid_peers + "[regions.r]\n", "file.toml:5: regions.r.sites: is missing"},
           Case{valid_peers + "[regions.r]\nsites = []\n",
                "file.toml:6: regions.r.sites: must be a text, or a list of texts that is not empty"},
           Case{valid_peers + "[regions.r]\nsites = [\"a\"]\n[regions.s]\nsites = [\"a\"]\n",
                "file.toml:8: regions.s.sites: 'a' is a site of region r"},
           Case{valid_peers + "[regions.r]\nsites = [\"a\"]\nkeepers = [\"x\", \"y\"]\n",
                "file.toml:7: regions.r.keepers: are 2, and must be 1, 3, 5 or 7: a majority decides"},
           Case{valid_peers + "[regions.r]\nsites = [\"a\"]\nkeepers = [\"x\", \"x\", \"y\"]\n",
                "file.toml:7: regions.r.keepers: 'x' is there twice"},
           Case{"[regions.r]\nsites = [\"a\"]\n",
                "file.toml:1: regions: are of use to routers that know each other only, and there is no "
                "section [peers]"},
       }) {
    const std::string reported = read_faults(c.text);
    EXPECT_EQ(reported.substr(0, c.line.size()), c.line);
    EXPECT_EQ(std::count(reported.begin(), reported.end(), '\n'), 1) << reported;
  }
}

}  // namespace
}  // namespace lemonroute::config
