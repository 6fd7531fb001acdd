#include "peers/seal/seal.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <set>

#include "peers/seal/rate_limiter.h"
#include "peers/seal/refusal_counters.h"

namespace lemonroute::peers::seal {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

Key test_key(unsigned char byte) {
  std::array<unsigned char, Key::size> bytes;
  bytes.fill(byte);
  return make_key(bytes);
}

struct SealerAndOpener {
  Sealer sealer{test_key(1), {11, 22}};
  Opener opener{{test_key(1)}, 16};
  Refusal refusal{};
  std::optional<std::string> open(const std::string& sealed) { return opener.open(sealed, refusal); }
};

TEST(Seal, opens_sealed_datagrams_of_every_valid_length) {
  SealerAndOpener pair;
  for (std::size_t length : {std::size_t{0}, std::size_t{1}, std::size_t{100}, max_plain_bytes}) {
    const std::string plain(length, 'x'), sealed = pair.sealer.seal(plain);
    EXPECT_EQ(sealed.size(), length + overhead_bytes);
    EXPECT_LE(sealed.size(), max_sealed_bytes);
    EXPECT_EQ(pair.open(sealed), plain);
  }
  EXPECT_THROW(pair.sealer.seal(std::string(max_plain_bytes + 1, 'x')), std::length_error);
}

TEST(Seal, refuses_datagrams_with_changed_removed_or_added_bytes) {
  SealerAndOpener pair;
  const std::string sealed = pair.sealer.seal("the rights to pool nord/3");
  for (std::size_t at = 0; at < sealed.size(); ++at)
    for (int bit = 0; bit < 8; ++bit) {
      std::string modified = sealed;
      modified[at] = static_cast<char>(modified[at] ^ (1 << bit));
      EXPECT_EQ(pair.open(modified), std::nullopt) << at;
      EXPECT_EQ(pair.refusal, at == 0  ? Refusal::unknown_version
                              : at < 5 ? Refusal::unknown_key
                                       : pair.refusal);
    }
  for (std::size_t length = 0; length < sealed.size(); ++length)
    EXPECT_FALSE(pair.open(sealed.substr(0, length)));
  EXPECT_FALSE(pair.open(sealed + "x"));
  EXPECT_FALSE(pair.open(std::string(max_sealed_bytes + 1, '\1')));
  EXPECT_EQ(pair.refusal, Refusal::oversize);
  // The refused datagrams don't make the original count as replayed.
  EXPECT_TRUE(pair.open(sealed));
}

TEST(Seal, refuses_replays_and_keeps_processes_apart) {
  SealerAndOpener pair;
  Sealer restarted(test_key(1), {11, 23}), same_start(test_key(1), {12, 22});
  std::set<std::string> all;
  for (int i = 0; i < 50; ++i)
    for (Sealer* sealer : {&pair.sealer, &restarted, &same_start})
      all.insert(sealer->seal("same"));
  EXPECT_EQ(all.size(), 150u);  // all sealed datagrams differ
  for (const auto& one : all)
    EXPECT_TRUE(pair.open(one));
  for (const auto& one : all) {
    EXPECT_FALSE(pair.open(one));
    EXPECT_EQ(pair.refusal, Refusal::replayed);
  }
}

TEST(Seal, keys_rotate_without_interruption) {
  const Key old_key = test_key(1), new_key = test_key(2), other = test_key(3);
  struct Step {
    std::vector<Key> keys;
    Key sealed_with;
    Refusal expected;
  };
  // The rotation: all routers open with the new key as well, then seal with it, then drop the old key.
  for (const auto& step :
       {Step{{old_key, new_key}, new_key, Refusal::none}, Step{{new_key, old_key}, old_key, Refusal::none},
        Step{{new_key}, old_key, Refusal::unknown_key},
        Step{{old_key, new_key}, other, Refusal::unknown_key}}) {
    Opener opener(step.keys, 4);
    auto refusal = Refusal::none;
    opener.open(Sealer(step.sealed_with, {1, 1}).seal("x"), refusal);
    EXPECT_EQ(refusal, step.expected);
  }
}

TEST(ReplayWindow, accepts_numbers_at_its_edges_once) {
  const auto w = ReplayWindow::width;
  struct Case {
    std::vector<std::uint64_t> marked;
    std::uint64_t number;
    bool fresh;
  };
  for (const auto& c :
       {Case{{}, 0, false}, Case{{}, 1, true}, Case{{1}, 1, false}, Case{{5}, 4, true},
        Case{{1, w}, 1, false}, Case{{w}, 1, true}, Case{{w + 1}, 1, false}, Case{{w + 1}, 2, true},
        Case{{1, 1 + w}, 1 + w, false}, Case{{3, 3 + w - 1}, 3, false}, Case{{3, 3 + w}, 4, true},
        Case{{1, 2, 9 * w}, 9 * w - 1, true}, Case{{~0ULL}, ~0ULL, false}, Case{{7, ~0ULL}, 7, false}}) {
    ReplayWindow window;
    for (const auto one : c.marked)
      window.record(one);
    EXPECT_EQ(window.is_new(c.number), c.fresh) << c.number;
  }
}

TEST(ReplayWindow, accepts_each_number_once_in_any_order_and_refuses_numbers_that_are_too_old) {
  std::mt19937_64 random(26);
  ReplayWindow window;
  std::set<std::uint64_t> marked;
  std::uint64_t newest = 0;
  for (int i = 0; i < 20000; ++i) {
    const auto ahead = newest + random() % 40, back = random() % (2 * ReplayWindow::width);
    const auto at = random() % 2 || ahead <= back ? ahead : ahead - back;
    const bool expected = at > 0 && !marked.count(at) && at + ReplayWindow::width > newest;
    ASSERT_EQ(window.is_new(at), expected) << at << " with " << newest;
    if (!expected)
      continue;
    window.record(at);
    marked.insert(at);
    newest = std::max(newest, at);
  }
}

TEST(ReplayWindows, are_bounded_and_evict_the_sender_that_was_silent_for_longest) {
  ReplayWindows windows(3);
  for (std::uint64_t tag = 1; tag <= 3; ++tag)
    windows.record({tag, 0}, 1);
  windows.record({1, 0}, 2);
  windows.record({4, 0}, 1);
  EXPECT_EQ(windows.size(), 3u);
  EXPECT_FALSE(windows.is_new({1, 0}, 1));
  EXPECT_TRUE(windows.is_new({2, 0}, 1));  // its window was evicted, so the number counts as new
  EXPECT_FALSE(windows.is_new({4, 0}, 1));
}

TEST(RateLimiter, bounds_taken_datagrams_and_verifications_for_any_number_of_source_addresses) {
  const RateLimiter::Rates rates{2000, 800, 100, 50};
  std::mt19937_64 random(7);
  struct Case {
    const char* name;
    std::uint64_t addresses;
    double bound;  // verifications a second
  };
  for (const auto& c : {Case{"one address", 1, rates.unknown / 10}, Case{"twenty", 20, rates.unknown},
                        Case{"many", 1 << 30, rates.unknown}}) {
    RateLimiter flood(rates, {1});
    int taken = 0, looked = 0;
    for (Micros now{}; now < seconds(10); now += microseconds(20)) {
      if (!flood.allow_read(now))
        continue;
      ++taken;
      looked += flood.allow_open(now, "10.0.0.1:" + std::to_string(random() % c.addresses));
    }
    EXPECT_LE(taken, rates.reads * 10.5 + 1) << c.name;
    EXPECT_LE(looked, c.bound * 10.5 + 1) << c.name;
    EXPECT_GE(looked, c.bound * 9) << c.name;
  }
}

TEST(RateLimiter, admits_all_datagrams_of_proven_peers_and_of_a_new_router) {
  RateLimiter flood({20000, 800, 100, 50}, {1});
  flood.record_authentic(Micros(1), "10.0.0.1:1");
  int proven_peer = 0, new_router = 0, strangers = 0, sent = 0;
  for (Micros now(1); now < seconds(10); now += microseconds(500)) {
    for (int i = 0; i < 5; ++i)
      strangers += flood.allow_open(now, "10.9.9." + std::to_string(i) + ":1");
    if (now.count() % 100'000 != 1)
      continue;
    ++sent;
    proven_peer += flood.allow_open(now, "10.0.0.1:1");
    flood.record_authentic(now, "10.0.0.1:1");
    new_router += flood.allow_open(now, "10.0.0.2:1");
  }
  EXPECT_EQ(proven_peer, sent);
  EXPECT_EQ(new_router, sent);
  EXPECT_LE(strangers, 5 * 10.0 * 10.5 + 5);
}

TEST(RateLimiter, bounds_the_datagrams_of_a_proven_address_and_the_table_of_addresses) {
  RateLimiter flood({1e9, 800, 100, 50}, {1});
  flood.record_authentic(Micros(0), "a");
  int looked = 0;
  for (Micros now{}; now < seconds(10); now += microseconds(100))
    looked += flood.allow_open(now, "a");
  EXPECT_LE(looked, 50 * 10.5 + 1);
  for (std::size_t i = 0; i < 2 * RateLimiter::max_addresses; ++i)
    flood.record_authentic(Micros(0), std::to_string(i));
  EXPECT_EQ(flood.authenticated_addresses(), RateLimiter::max_addresses);
  flood.record_authentic(RateLimiter::authenticated_ttl + seconds(1), "later");
  EXPECT_EQ(flood.authenticated_addresses(), 1u);
}

TEST(RefusalCounters, are_logged_in_one_line_at_most_once_a_minute) {
  RefusalCounters refusals;
  EXPECT_EQ(refusals.take_log_line(seconds(0)), std::nullopt);
  for (int i = 0; i < 1000; ++i)
    refusals.count(RefusalCounters::flood, "10.9.9.9:1");
  refusals.count(RefusalCounters::forged, "10.9.9.9:2");
  EXPECT_EQ(refusals.take_log_line(seconds(1)),
            "peers: datagrams refused: 1 forged, 1000 flood; the last one from 10.9.9.9:2");
  refusals.count(RefusalCounters::replayed, "10.9.9.9:3");
  EXPECT_EQ(refusals.take_log_line(seconds(60)), std::nullopt);
  EXPECT_EQ(refusals.take_log_line(seconds(61)),
            "peers: datagrams refused: 1 replayed; the last one from 10.9.9.9:3");
  EXPECT_EQ(refusals.take_log_line(seconds(200)), std::nullopt);
}

TEST(KeyFile, is_read_only_if_valid_and_private) {
  const auto directory = std::filesystem::temp_directory_path() / ("seal_test" + std::to_string(getpid()));
  std::filesystem::create_directory(directory);
  const std::string path = directory / "fleet.key", digits(64, 'a');
  const auto read_error = [&](const std::string& content, mode_t mode) {
    std::ofstream(path) << content;
    chmod(path.c_str(), mode);
    const auto key = read_key(path);
    return std::holds_alternative<Key>(key) ? "" : std::get<std::string>(key);
  };
  EXPECT_EQ(read_error(digits + "\n", 0600), "");
  EXPECT_EQ(read_error(digits, 0400), "");
  for (const mode_t mode : {0640, 0604, 0620, 0601})
    EXPECT_NE(read_error(digits, mode).find("by others"), std::string::npos);
  for (const std::string& content : {std::string(), digits.substr(1), digits + "a", "g" + digits.substr(1),
                                     digits + "\n" + digits, digits.substr(2) + "  "})
    EXPECT_NE(read_error(content, 0600).find("64 hexadecimal"), std::string::npos) << content;
  EXPECT_NE(write_new_key(path), "");  // the file exists already
  std::filesystem::remove(path);
  EXPECT_EQ(write_new_key(path), "");
  EXPECT_TRUE(std::holds_alternative<Key>(read_key(path)));
  EXPECT_TRUE(std::holds_alternative<std::string>(read_key(directory.string())));
  std::filesystem::remove_all(directory);
  EXPECT_TRUE(std::holds_alternative<std::string>(read_key(path)));
}

}  // namespace
}  // namespace lemonroute::peers::seal
