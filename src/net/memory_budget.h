/// \file
/// The bound on the memory that peers can make the process hold.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace lemonroute::net {

/// Bounds the bytes that the process holds for its clients, of all fronts together: requests that are still
/// arriving, requests in progress, and answers that clients have not read yet. Each holder reports its bytes
/// to an Account. While the sum is over the limit, the incomplete requests that hold the most are evicted; a
/// client that sends little is therefore served beside others that fill the memory. Used on the serving
/// thread only.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  /// The bytes of one holder. It keeps the budget alive.
  class Account {
   public:
    /// Ends the holder's incomplete request and releases its bytes. Must not destroy the account.
    using Evict = std::function<void()>;

    explicit Account(MemoryBudget& budget, Evict evict = {});
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Replaces the number of bytes that are held. May evict any holder, also this one.
    void hold(std::size_t bytes);
    /// States whether the holder may be evicted. An eviction sets this to false first.
    void set_evictable(bool evictable);

   private:
    friend class MemoryBudget;
    const std::shared_ptr<MemoryBudget> budget_;
    const Evict evict_;
    std::size_t held_ = 0;
    bool evictable_ = false;
  };

  static constexpr std::size_t default_limit = std::size_t(64) << 20;  ///< in bytes

  /// Replaces the limit, in bytes, and evicts what is over it.
  void set_limit(std::size_t bytes);
  std::size_t limit() const { return limit_; }
  /// Returns the bytes that are held.
  std::size_t held() const { return held_; }
  /// Returns whether nothing more should be buffered that can wait.
  bool is_exhausted() const { return held_ >= limit_; }

 private:
  void add_candidate(Account& account);
  void remove_candidate(Account& account);
  void evict_while_over_limit();

  std::size_t limit_ = default_limit, held_ = 0;
  std::set<std::pair<std::size_t, Account*>> candidates_;  // evictable accounts by the bytes they hold
  bool evicting_ = false;
};

/// Returns a shared text that counts against the budget until its last owner releases it.
std::shared_ptr<const std::string> budgeted_text(MemoryBudget& budget, std::string text);

}  // namespace lemonroute::net
