// Replay windows: which datagrams of each sender were received already. Free of I/O; bounded memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace lemonroute::peers::seal {

/// Identifies a sending process. The tag is random for each process, so that no two processes share one.
struct SenderId {
  std::uint64_t tag = 0,  ///< random tag
      start = 0;          ///< start of the process, Unix time in microseconds
  /// Compares tag and start.
  bool operator==(const SenderId&) const = default;
};

/// Replay window of one sender: tolerates reordering within the last `width` sequence numbers.
class ReplayWindow {
 public:
  /// Number of sequence numbers that the window covers.
  static constexpr std::uint64_t width = 1024;
  /// Whether the number was not received yet and is not older than the window.
  bool is_new(std::uint64_t sequence) const;
  /// Records a number as received; it must be new.
  void record(std::uint64_t sequence);

 private:
  std::uint64_t newest_ = 0;  // sequence numbers begin at 1
  std::array<std::uint64_t, width / 64> received_{};
};

/// Replay windows by sender, bounded by evicting the sender that was silent for the longest time.
///
/// Each datagram of an evicted sender can be replayed once. With room for twice the members of a view, an
/// eviction takes thousands of newer processes, and membership then knows a newer start of that name.
class ReplayWindows {
 public:
  /// Keeps the windows of at most `most` senders.
  explicit ReplayWindows(std::size_t most) : max_senders_(most) {}
  /// Whether the datagram was not received yet and is not older than the sender's window.
  bool is_new(const SenderId& sender, std::uint64_t sequence) const;
  /// Records a datagram as received; it must be authentic and new.
  void record(const SenderId& sender, std::uint64_t sequence);
  /// Number of senders that are kept.
  std::size_t size() const { return senders_.size(); }

 private:
  struct Hash {
    // Only authenticated senders are inserted, so nobody without the key can cause hash collisions.
    std::size_t operator()(const SenderId& s) const { return s.tag ^ (s.start * 0x9e3779b97f4a7c15ULL); }
  };
  struct SenderWindow {
    SenderId sender;
    ReplayWindow window;
  };
  std::size_t max_senders_;
  std::list<SenderWindow> by_recency_;  // the most recent sender in front
  std::unordered_map<SenderId, std::list<SenderWindow>::iterator, Hash> senders_;
};

}  // namespace lemonroute::peers::seal
