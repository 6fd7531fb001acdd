// Plays seeded schedules of faults: peers_schedules [--count N] [--from SEED] [--jobs N], or one again:
// --seed SEED. The digests of so many from seed 1: --digests N.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include "schedule.h"

using namespace lemonroute::peers;

namespace {

void print(std::uint64_t seed, const Played& played) {
  std::cout << "seed " << seed << ", " << played.members
            << " members: " << (played.held ? "held" : played.why) << "\n";
  for (const auto& line : played.trace)
    std::cout << "  " << line << "\n";
  std::cout << "again: peers_schedules --seed " << seed << "\n" << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t count = 200, from = 1, jobs = std::max(1u, std::thread::hardware_concurrency());
  for (int at = 1; at + 1 < argc; at += 2) {
    const std::string word = argv[at];
    const std::uint64_t value = std::strtoull(argv[at + 1], nullptr, 10);
    if (word == "--seed") {
      const Played played = play_schedule(value);
      print(value, played);
      return played.held ? 0 : 1;
    }
    if (word == "--digests") {
      for (std::uint64_t seed = 1; seed <= value; ++seed)
        std::cout << seed << ' ' << play_schedule(seed).digest << "\n";
      return 0;
    }
    if (word == "--count")
      count = value;
    else if (word == "--from")
      from = value;
    else if (word == "--jobs")
      jobs = std::max<std::uint64_t>(1, value);
    else
      return std::cerr << "no such option: " << word << "\n", 2;
  }
  std::atomic<std::uint64_t> next{from}, failed{0};
  std::mutex lock;
  std::vector<double> healed;
  std::vector<std::thread> threads;
  for (std::uint64_t job = 0; job < jobs; ++job)
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
        const Played played = play_schedule(seed);
        const std::lock_guard guard(lock);
        healed.push_back(played.healed_in);
        if (played.held)
          continue;
        if (++failed <= 5)
          print(seed, played);
      }
    });
  for (auto& thread : threads)
    thread.join();
  std::sort(healed.begin(), healed.end());
  if (!healed.empty())
    std::cout << count << " schedules from seed " << from << ", " << failed
              << " failed; one view after a heal in " << healed[healed.size() / 2]
              << " periods in the middle, " << healed[healed.size() * 99 / 100] << " in 99 of 100, "
              << healed.back() << " at the most\n";
  return failed ? 1 : 0;
}
