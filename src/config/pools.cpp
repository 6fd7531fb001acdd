#include "config/pools.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lemonroute::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Micros checked_from =
    hours(24 * 20454);  // 2026-01-01: two years hold each kind of clock change twice
constexpr std::size_t most_stretches = 200, most_holidays = 1000;

// "08:30" as minutes of the day; 24:00 is its end.
std::optional<minutes> minute_of(std::string_view text) {
  int hour = 0, minute = 0;
  if (text.size() != 5 || text[2] != ':')
    return std::nullopt;
  const auto read = [](std::string_view part, int& to) {
    const auto end = part.data() + part.size();
    const auto got = std::from_chars(part.data(), end, to);
    return got.ec == std::errc() && got.ptr == end && part[0] != '-';
  };
  if (!read(text.substr(0, 2), hour) || !read(text.substr(3), minute) || minute > 59)
    return std::nullopt;
  const minutes at(hour * 60 + minute);
  return at <= hours(24) ? std::optional(at) : std::nullopt;
}

// The regions' hours are read one after the other; all of them are written in one unit.
class Reader {
 public:
  std::optional<pools::CalendarUnit> unit;

  void hours_of(const std::string& region, Section in, pools::Settings& to) {
    pools::RegionHours hours;
    bool good = in.text("zone", hours.zone);
    if (!good && !in.has("zone"))
      in.missing("zone");
    if (good)
      try {
        pools::TimeZone{hours.zone};
      } catch (const std::invalid_argument& error) {
        in.fault("zone", error.what());
        good = false;
      }
    expected(in, "otherwise", hours.default_expected, false);
    std::array<std::vector<std::size_t>, 7> lines;
    for (auto& entry : in.list("hours"))
      week(entry, hours, lines);
    for (auto& entry : in.list("holidays"))
      holidays(entry, hours);
    if (auto& reserve = to.regions.at(region); in.has("reserve"))
      pools_of(in, reserve);
    in.end();
    if (good)
      to.hours[region] = std::move(hours);
  }

 private:
  // `needed`: says so where neither unit is there. `key`: share and requests, or otherwise (whose unit is the
  // hours').
  void expected(Section& in, const std::string& key, double& field, bool needed) {
    if (key == "otherwise") {
      in.number(key, field, 0, 1e9);
      if (unit == pools::CalendarUnit::share && field > 1)
        in.fault(key, "is a share over 1");
      return;
    }
    const bool share = in.has("share"), requests = in.has("requests");
    if (share && requests)
      in.fault("requests", "and share are both given");
    if (needed && !share && !requests)
      in.missing("share");
    if (double value = 0; share && in.number("share", value, 0, 1e9)) {
      if (value > 1)
        in.fault("share", "is a share over 1");
      else
        field = value;
    }
    if (requests)
      in.number("requests", field, 0, 1e9);
    if (!share && !requests)
      return;
    const auto mine = share ? pools::CalendarUnit::share : pools::CalendarUnit::requests;
    if (unit.value_or(mine) != mine)
      in.fault(share ? "share" : "requests", "is not the unit that the first hours are written in");
    if (!unit)
      unit = mine;
  }

  std::optional<pools::TimeRange> stretch(Section& in) {
    pools::TimeRange one;
    const auto time = [&in](const char* key, minutes& to) {
      std::string text;
      if (!in.has(key))
        in.missing(key);
      if (!in.text(key, text))
        return false;
      const auto at = minute_of(text);
      if (at)
        to = *at;
      else
        in.fault(key, "'" + text + "' is no time of day like \"08:30\", up to \"24:00\"");
      return at.has_value();
    };
    const bool from = time("from", one.from), until = time("until", one.until);
    expected(in, "share", one.expected, true);
    if (!from || !until)
      return std::nullopt;
    if (one.until > one.from)
      return one;
    in.fault("until", "is not after from; hours past midnight are two entries");
    return std::nullopt;
  }

  bool add(Section& in, pools::Day& day, std::vector<std::size_t>& lines, const pools::TimeRange& one) {
    day.push_back(one);
    lines.push_back(in.line());
    if (day.size() > most_stretches)
      return in.fault_here("is one of too many"), false;
    const auto clash = pools::find_overlap(day);
    if (!clash)
      return true;
    in.fault_here("overlaps the hours of line " + std::to_string(lines[clash->first]));
    day.pop_back();
    lines.pop_back();
    return false;
  }

  void week(Section& in, pools::RegionHours& to, std::array<std::vector<std::size_t>, 7>& lines) {
    static const std::array<std::string, 7> names{"mon", "tue", "wed", "thu", "fri", "sat", "sun"};
    std::vector<std::string> days(names.begin(), names.end());  // every day, where none are named
    in.texts("days", days);
    const auto one = stretch(in);
    in.end();
    for (const auto& day : days) {
      const auto at = std::find(names.begin(), names.end(), day) - names.begin();
      if (at == 7)
        in.fault("days", "'" + day + "' is not mon, tue, wed, thu, fri, sat or sun");
      else if (one && !add(in, to.week[at], lines[at], *one))
        return;
    }
  }

  void holidays(Section& in, pools::RegionHours& to) {
    std::vector<std::string> dates;
    if (!in.has("dates"))
      in.missing("dates");
    in.texts("dates", dates);
    pools::Day day;
    std::vector<std::size_t> lines;
    for (auto& entry : in.list("hours")) {
      if (const auto one = stretch(entry))
        add(entry, day, lines, *one);
      entry.end();
    }
    in.end();
    for (const auto& date : dates) {
      const auto at = pools::parse_day(date);
      if (at < 0)
        in.fault("dates", "'" + date + "' is no date like \"2026-12-25\"");
      else if (!to.holidays.emplace(at, day).second)
        in.fault("dates", "'" + date + "' has its hours already");
    }
    if (to.holidays.size() > most_holidays)
      in.fault("dates", "are more than " + std::to_string(most_holidays));
  }

  void pools_of(Section& in, pools::RegionSettings& region) {
    std::vector<std::string> names;
    if (!in.texts("reserve", names))
      return;
    for (const auto& text : names) {
      const auto pool = pools::parse_pool(text);
      if (!pool)
        in.fault("reserve", "'" + text + "' is no pool, SITE/CELL");
      else if (std::find(region.sites.begin(), region.sites.end(), pool->site) == region.sites.end())
        in.fault("reserve", "can't be met: '" + text + "' is at no site of the region");
      else
        region.reserve.insert(*pool);
    }
  }
};

void terms(Section& in, pools::Settings& to) {
  in.span("lease", to.terms.lease, milliseconds(300), seconds(60));
  in.number("clock_error", to.terms.clock_error, 0, 0.1);
  in.span("margin", to.terms.margin, Micros(0), seconds(6));
  if (to.terms.margin > to.terms.lease / 10)
    in.fault("margin", "is more than a tenth of the lease");
  std::int64_t most = static_cast<std::int64_t>(to.max_concurrent_migrations);
  if (in.whole("moving_at_once", most, 1, 1000))
    to.max_concurrent_migrations = static_cast<std::size_t>(most);
  in.number("hysteresis", to.hysteresis, 0.001, 0.5);
  in.number("room", to.headroom, 0, 1);
  in.number("correction", to.max_correction, 0, 1);
  in.number("fill", to.target_fill, 0.05, 1);
  in.number("influence", to.max_influence, 1, 100);
  in.span("ahead", to.lead_time, Micros(0), hours(24));
  in.span("plans_every", to.plan_interval, milliseconds(100), hours(1));
}

void distances(Section& in, pools::Settings& to) {
  for (auto& entry : in.list("distance")) {
    std::string region, site;
    double far = 1;
    for (const char* key : {"region", "site", "is"})
      if (!entry.has(key))
        entry.missing(key);
    if (entry.text("region", region) && !to.regions.contains(region))
      entry.fault("region", "'" + region + "' is no region of the file");
    if (entry.text("site", site) && !to.region_of(site))
      entry.fault("site", "'" + site + "' is at no region of the file");
    entry.number("is", far, 0, 1e6);
    entry.end();
    to.distance[{region, site}] = far;
  }
}

void regions(Section& in, const Regions& from, pools::Settings& to) {
  if (from.empty())
    in.fault_here("needs regions, [regions.NAME]");
  if (from.size() > pools::max_regions)
    in.fault_here("can't serve more than " + std::to_string(pools::max_regions) + " regions");
  std::map<std::string, std::string> seen;
  for (const auto& [name, region] : from) {
    const auto fault = [&, &region = region, &name = name](std::string what) {
      in.fault_at(region.line, "regions." + name, std::move(what));
    };
    if (region.sites.empty())
      fault("has no sites");
    for (const auto& site : region.sites)
      if (const auto [at, fresh] = seen.emplace(site, name); !fresh)
        fault("has the site '" + site + "' of regions." + at->second);
    const auto keepers = std::set<std::string>(region.keepers.begin(), region.keepers.end()).size();
    if (keepers != region.keepers.size())
      fault("names a keeper twice");
    if (keepers != 0 && keepers != 3 && keepers != 5 && keepers != 7)
      fault("needs 3, 5 or 7 keepers, or none");
    to.regions[name] = {region.sites, region.keepers, {}};
  }
}

}  // namespace

std::optional<pools::Settings> read_pools(Section& file, const Regions& from) {
  auto in = file.table("pools");
  if (!in)
    return std::nullopt;
  pools::Settings to;
  const auto before = in->faults().size();
  regions(*in, from, to);
  terms(*in, to);
  Reader reader;
  for (auto& [name, section] : in->tables("calendar")) {
    if (to.regions.contains(name))
      reader.hours_of(name, section, to);
    else
      section.fault_here("'" + name + "' is no region of the file");
  }
  distances(*in, to);
  in->end();
  to.unit = reader.unit.value_or(pools::CalendarUnit::share);
  if (in->faults().size() != before)
    return to;
  if (const auto over = pools::Calendar(to.unit, to.hours).find_sum_over_one(checked_from)) {
    std::ostringstream what;
    const auto day = std::chrono::duration_cast<hours>(over->first).count() / 24;
    const auto minute = std::chrono::duration_cast<minutes>(over->first).count() % 1440;
    what << "shares sum up to " << over->second << ", over 1, first on "
         << pools::format_day(static_cast<std::int32_t>(day)) << " at " << minute / 60 << ':'
         << (minute % 60 < 10 ? "0" : "") << minute % 60 << " UTC";
    in->fault_at(in->line("calendar"), in->full("calendar"), what.str());
  }
  return to;
}

void check_reserves(const toml::table& root, const std::string& path, const pools::Settings& settings,
                    const Installation& installation, std::vector<Fault>& faults) {
  if (!installation.fixed)
    return;
  std::set<pools::PoolName> there;
  const auto& platform = installation.platform;
  for (const auto& node : platform.known.nodes) {
    const auto kind =
        std::find(platform.kinds.begin(), platform.kinds.end(), node.kind) - platform.kinds.begin();
    const auto& roles = platform.settings.role_by_kind;
    if (kind < std::ssize(roles) && roles[kind] == Role::decode)
      there.insert({node.zone, node.cell});
  }
  for (const auto& [name, region] : settings.regions)
    for (const auto& pool : region.reserve) {
      if (there.contains(pool))
        continue;
      const auto at = root.at_path("pools.calendar." + name + ".reserve");
      faults.push_back({path, at.node() ? at.node()->source().begin.line : 0,
                        "pools.calendar." + name + ".reserve",
                        "can't be met: no writer of the file is in '" + pool.text() + "'"});
    }
}

}  // namespace lemonroute::config
