#include "peers/membership/merge/judge.h"

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {
namespace {

Verdict against(const Fact& held, const Fact& said) {
  const bool later = said.incarnation > held.incarnation;
  switch (said.standing) {
    case Standing::alive:
      return later ? Verdict::refuted : Verdict::nothing;
    case Standing::suspected:
      if (later || held.standing == Standing::alive)
        return Verdict::suspect;
      return held.standing == Standing::suspected ? Verdict::confirm : Verdict::nothing;
    case Standing::gone:
      if (held.standing == Standing::suspected)
        return later ? Verdict::suspect : Verdict::confirm;
      if (held.standing == Standing::alive)
        return Verdict::hearsay;
      return Verdict::nothing;
    case Standing::left:
      return later || held.standing != Standing::left ? Verdict::left : Verdict::nothing;
  }
  return Verdict::nothing;
}

}  // namespace

Verdict judge(const Entry* held, const Fact& said, std::uint64_t unix_now) {
  if (!held)
    return said.there() ? Verdict::unknown : Verdict::nothing;
  const Fact& known = held->fact;
  if (process(said) < process(known))
    return Verdict::older;
  if (process(said) > process(known)) {
    const std::uint64_t most = unix_now + limits::ahead;
    return known.there() && said.start > most && known.start <= most ? Verdict::implausible : Verdict::newer;
  }
  return said.incarnation < known.incarnation ? Verdict::nothing : against(known, said);
}

}  // namespace lemonroute::peers::membership
