// Asks processes what they know, over and over, on their management listeners.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/client.h"

namespace lemonroute::rig {

class Asker {
 public:
  // The answer's status and body; status 0: there was none.
  using Answer = std::function<void(int status, const std::string& body)>;
  explicit Asker(net::Loop& loop);
  ~Asker();

  bool busy(const std::string& address) const { return calls_.count(address) > 0; }
  void ask(const std::string& address, const std::string& target,
           Answer answer);                  // one call to an address at a time
  void forget(const std::string& address);  // the process is frozen or gone

 private:
  class Call;
  net::Loop& loop_;
  http::Client client_;
  std::map<std::string, std::unique_ptr<Call>> calls_;
};

}  // namespace lemonroute::rig
