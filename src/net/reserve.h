// Descriptors that are kept back for what has to go on when clients have taken all others.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace lemonroute::net {

class Loop;
class Timer;

enum class Purpose { discovery, nodes, management };

class Reserve {
 public:
  static constexpr std::size_t usual = 8, for_discovery = 2;  // the last ones go to nothing else

  explicit Reserve(Loop& loop);
  ~Reserve();
  Reserve(const Reserve&) = delete;
  Reserve& operator=(const Reserve&) = delete;

  void keep(std::size_t descriptors);  // from now on; none until it is called
  // Gives one of them back to the process, which may be taken there and then; false: none for this purpose.
  bool lend(Purpose purpose);
  // Tries to take back what was lent. While it is not whole clients are to wait.
  bool whole();
  // Somebody got no descriptor. Whoever can let go of some is asked to.
  void run_short();

  // `let_go` is called when descriptors run short, until the handle is let go of.
  using Handle = std::shared_ptr<const std::function<void()>>;
  Handle on_short(std::function<void()> let_go);

 private:
  std::vector<int> kept_;
  std::size_t wanted_ = 0;
  std::list<std::weak_ptr<const std::function<void()>>> asked_;
  std::unique_ptr<Timer> again_;
};

}  // namespace lemonroute::net
