#include "expect/suite.h"

namespace lemonroute::expect {

std::string template_text() {
  return R"(# Routing expectations. Check this file with: lemonroute expect check FILE
# What is written here is played on the real router and its decision module, without traffic, on a clock of its own.

# The configuration that holds, beside this file. --config and --platform win over it.
config = "operator.toml"
# platform = "config.json"

# Fleets to be named by cases. kind, zone and cell are those of the configuration; a reader reads a token in `rate`, a
# writer sends its first event after `first` and a token each `token`. count = 8 makes name1 to name8.
[fleets]
small = [
  { name = "r1", kind = "reader", zone = "a", cell = 1 },
  { name = "r2", kind = "reader", zone = "a", cell = 2, rate = "40us" },
  { name = "w1", kind = "writer", zone = "a", cell = 1, first = "50ms", token = "20ms" },
  { name = "w2", kind = "writer", zone = "a", cell = 2, slots = 100 },
]

# A case: steps in time, and what is expected. Times before 0 are the past. A step does one of
#   past     an earlier request: class, tokens, opening and shared, session, output; reader and writer say where it went,
#            took how long the read lasted, reader_load and writer_load what the answers reported
#   ask      a request that expectations speak of: name, class, tokens, opening, shared, session, tenant, budget, output,
#            repeat, resumed
#   report   node and load, "x0=0.9": what the node reports then
#   list     node and phase (active, leaving, gone), started: what discovery tells then
#   ban, unban   a node, taken out or put back by hand
#   script   nodes ("r1", "zone:a", "cell:1", "kind:reader", "all"), how (refuses, silent, errors, resets, loses_read,
#            declines, forgets, breaks, slow with factor), for how long
#   restart  a node's process, which forgets all; nobody is told
#   sighup   another operator's file, whose settings hold from then on
#   leave    the client of that request goes
[[case]]
name = "a request with a known opening goes to the reader that holds it"
fleet = "small"
steps = [
  { at = "-10s", past = { class = "estratto", reader = "r2", writer = "w2", tokens = 4000, opening = "bando", shared = 3000 } },
  { at = "0s", ask = { class = "estratto", tokens = 4000, opening = "bando", shared = 3000 } },
]
# All of: request (where there are several), reader ("holder", or nodes), writer, near (cell, zone: writer to reader),
# never (nodes), attempts (2, or [2, 4]), order (nodes; "*" any one, "..." any number), answer (served, refused, failed,
# cut, none), retry_after, answered, first (longest, or [shortest, longest]), released (so long after its end),
# share = { nodes, of = "reader", least, most } over `seeds = 200` of the case.
# Whatever is expected, the five rules are watched in every case.
expect = [
  { reader = "holder", answer = "served", attempts = 2 },
  { first = "400ms" },
]

# A general expectation: a case with variables, "$name" or "${name}" within a text. strategy is pairwise (each pair of
# values is played), all, or random; extra adds so many random combinations. A failure is shrunk to a small case.
[[general]]
name = "whatever leaves, no request is sent there"
fleet = "small"
over = { tokens = { from = 100, to = 8000, count = 5 }, age = { from = "0s", to = "2s" }, out = { nodes = "kind:reader" } }
steps = [
  { at = "-5s", past = { class = "estratto", tokens = 2000 } },
  { at = "-${age}", list = { node = "$out", phase = "leaving" } },
  { at = "0s", ask = { class = "estratto", tokens = "$tokens" } },
]
expect = [ { never = "$out", answer = "served" } ]
)";
}

}  // namespace lemonroute::expect
