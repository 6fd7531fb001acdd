// Payloads as bytes (proto/tiers.proto). Every field is checked against its bound; one that is over it voids
// the payload.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tiers/merge/choose.h"

namespace lemonroute::tiers {

enum class Kind { votes = 1, rows = 2, generations = 3, digest = 4, ask = 5 };

struct Line {
  KeyId key = 0;
  std::uint8_t weight = 0;
  std::vector<Shown> holders;  // up to 3, of votes 2; none: taken back
};

struct Payload {
  Kind kind = Kind::generations;
  Tier tier = Tier::site;
  Stamp stamp;
  std::vector<std::pair<NameId, Generation>> devices;
  std::vector<Line> lines;  // seen at: this router's clock
  std::uint64_t digest = 0;
};

// `why`: a word for the counters where there is none.
std::optional<Payload> read(std::string_view bytes, Micros now, const char*& why);

// Fills one payload with lines or generations until it is full.
class Packer {
 public:
  Packer(Kind kind, Tier tier, Stamp stamp);
  ~Packer();
  Packer(Packer&&) noexcept;
  Packer& operator=(Packer&&) noexcept;
  bool add(const Line& line, Micros now);  // false: no room left
  bool add(NameId device, const Generation& generation);
  bool empty() const;
  std::string bytes(std::uint64_t digest = 0) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lemonroute::tiers
