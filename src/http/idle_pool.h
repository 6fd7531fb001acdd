// Connections that rest between two exchanges, by address, and which of them may carry the next request. Free
// of I/O and told the time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace lemonroute::http {

// Holds no connection's ownership. Each connection is in it once at the most.
template <class Connection>
class IdlePool {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Span = std::chrono::microseconds;

  // `rest`: how long a connection is silent before it carries another request.
  explicit IdlePool(Span rest) : rest_(rest) {}

  // Its last answer is whole at `now`, which never goes back.
  void put(const std::string& address, Connection& connection, Time now) {
    connections_[address].push_back({&connection, now});
    ++size_;
  }

  // The connection to `address` that has rested longest, and no longer rests; null if none has rested enough.
  // Danger: a node may send a second answer some milliseconds after a good one. Nothing in it tells whose it
  // is, so it must come while its connection still rests. The longest rest has the least left of that danger,
  // and keeps the connections in use before nodes close them.
  Connection* take(const std::string& address, Time now) {
    const auto found = connections_.find(address);
    if (found == connections_.end() || now - found->second.front().since < rest_)
      return nullptr;
    Connection* const first = found->second.front().connection;
    remove(address, *first);
    return first;
  }

  void remove(const std::string& address, Connection& connection) {
    const auto found = connections_.find(address);
    if (found == connections_.end())
      return;
    size_ -= found->second.remove_if([&](const Resting& one) { return one.connection == &connection; });
    // An address with nothing idle is forgotten, or nodes that come and go would be remembered for good.
    if (found->second.empty())
      connections_.erase(found);
  }

  // The connection that rests longest of all; null if there is none.
  Connection* longest() const {
    const auto first = std::min_element(connections_.begin(), connections_.end(), [](auto& a, auto& b) {
      return a.second.front().since < b.second.front().since;
    });
    return first == connections_.end() ? nullptr : first->second.front().connection;
  }

  std::vector<Connection*> all(const std::string& address) const {
    std::vector<Connection*> result;
    if (const auto found = connections_.find(address); found != connections_.end())
      for (const Resting& one : found->second)
        result.push_back(one.connection);
    return result;
  }
  std::size_t size() const { return size_; }  // of all addresses together

 private:
  struct Resting {
    Connection* connection;
    Time since;
  };
  const Span rest_;
  std::map<std::string, std::list<Resting>> connections_;  // the longest at rest first; none empty
  std::size_t size_ = 0;
};

}  // namespace lemonroute::http
