// Which datagrams of each sender have come already, so that a copy is refused. Free of I/O; bounded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace lemonroute::peers::seal {

// A process that seals. Its tag is drawn at random when it starts, so that no two of them ever share one.
struct Sender {
  std::uint64_t tag = 0, start = 0;
  bool operator==(const Sender&) const = default;
};

// The last numbers of one sender, wide enough for what a network reorders.
class Window {
 public:
  static constexpr std::uint64_t width = 1024;
  bool fresh(std::uint64_t sequence) const;  // neither seen nor too old to tell
  void mark(std::uint64_t sequence);         // must be fresh

 private:
  std::uint64_t newest_ = 0;  // sequences begin at 1
  std::array<std::uint64_t, width / 64> seen_{};
};

// Danger: whoever is forgotten can be replayed, once. The sender forgotten is the one not heard for the
// longest time, which with a table twice as large as a view takes thousands of newer processes; membership
// then knows a newer start.
class Windows {
 public:
  explicit Windows(std::size_t most) : most_(most) {}
  bool fresh(const Sender& sender, std::uint64_t sequence) const;
  void mark(const Sender& sender, std::uint64_t sequence);  // only what is proven and fresh
  std::size_t size() const { return senders_.size(); }

 private:
  struct Hash {
    // Only proven senders are entered, so nobody without the key chooses where they fall.
    std::size_t operator()(const Sender& s) const { return s.tag ^ (s.start * 0x9e3779b97f4a7c15ULL); }
  };
  struct One {
    Sender sender;
    Window window;
  };
  std::size_t most_;
  std::list<One> by_age_;  // the one heard last in front
  std::unordered_map<Sender, std::list<One>::iterator, Hash> senders_;
};

}  // namespace lemonroute::peers::seal
