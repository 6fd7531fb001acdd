// Runs random schedules of faults, one for each seed.
// Usage: peers_schedules [--count N] [--from SEED] [--jobs N]
//        peers_schedules --seed SEED    runs one schedule and prints its trace
//        peers_schedules --digests N    prints the digests of seeds 1 to N
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include "fault_schedule.h"

using namespace lemonroute::peers;

namespace {

void print(std::uint64_t seed, const ScheduleResult& result) {
  std::cout << "seed " << seed << ", " << result.members
            << " members: " << (result.passed ? "passed" : result.why) << "\n";
  for (const auto& line : result.trace)
    std::cout << "  " << line << "\n";
  std::cout << "run again: peers_schedules --seed " << seed << "\n" << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t count = 200, from = 1, jobs = std::max(1u, std::thread::hardware_concurrency());
  for (int at = 1; at + 1 < argc; at += 2) {
    const std::string option = argv[at];
    const std::uint64_t value = std::strtoull(argv[at + 1], nullptr, 10);
    if (option == "--seed") {
      const ScheduleResult result = run_schedule(value);
      print(value, result);
      return result.passed ? 0 : 1;
    }
    if (option == "--digests") {
      for (std::uint64_t seed = 1; seed <= value; ++seed)
        std::cout << seed << ' ' << run_schedule(seed).digest << "\n";
      return 0;
    }
    if (option == "--count")
      count = value;
    else if (option == "--from")
      from = value;
    else if (option == "--jobs")
      jobs = std::max<std::uint64_t>(1, value);
    else
      return std::cerr << "unknown option: " << option << "\n", 2;
  }
  std::atomic<std::uint64_t> next{from}, failed{0};
  std::mutex mutex;
  std::vector<double> convergence;
  std::vector<std::thread> threads;
  for (std::uint64_t job = 0; job < jobs; ++job)
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
        const ScheduleResult result = run_schedule(seed);
        const std::lock_guard guard(mutex);
        convergence.push_back(result.convergence_periods);
        if (result.passed)
          continue;
        if (++failed <= 5)
          print(seed, result);
      }
    });
  for (auto& thread : threads)
    thread.join();
  std::sort(convergence.begin(), convergence.end());
  if (!convergence.empty())
    std::cout << count << " schedules from seed " << from << ", " << failed
              << " failed; periods until all members had one view after the last fault: median "
              << convergence[convergence.size() / 2] << ", 99th percentile "
              << convergence[convergence.size() * 99 / 100] << ", maximum " << convergence.back() << "\n";
  return failed ? 1 : 0;
}
