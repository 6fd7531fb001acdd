// Which routers keep a shard: the first few by rendezvous hash over those that the view holds to be there.
// Views may differ; then some votes go to one too many, which costs a payload and no harm.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "peers/view.h"
#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Homes {
 public:
  // `in`: whether a member belongs to the site or the region.
  Homes(const Names& names, Tier tier) : names_(names), tier_(tier) {}
  // The shards whose collectors have changed, or have started anew and know nothing.
  std::vector<std::size_t> viewed(const peers::View& view,
                                  const std::function<bool(const peers::Member&)>& in);

  const std::vector<std::string>& members() const { return members_; }  // by name, this one among them
  bool has(std::string_view name) const;
  const std::vector<std::string>& collectors(std::size_t shard) const {
    return collectors_[shard];
  }  // best first
  bool keeps(std::string_view name, std::size_t shard) const;
  bool heads(std::string_view name, std::size_t shard) const {  // tells the others
    return !collectors_[shard].empty() && collectors_[shard].front() == name;
  }

 private:
  Names names_;
  Tier tier_;
  std::vector<std::string> members_;
  std::array<std::vector<std::string>, shards> collectors_;
  std::array<std::vector<std::uint64_t>, shards> starts_;  // of the collectors' processes
};

}  // namespace lemonroute::tiers
