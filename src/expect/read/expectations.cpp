#include "expect/read/expectations.h"

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "expect/read/limits.h"
#include "expect/read/names.h"

namespace lemonroute::expect {
namespace {

void read_bounds(Section& in, std::string_view key, std::optional<Bounds>& to) {
  std::vector<std::string> texts;
  if (!in.texts(key, texts))
    return;
  const auto least = texts.size() == 2 ? parse_span(texts[0]) : Micros(0), most = parse_span(texts.back());
  if (texts.size() > 2 || !least || !most || *least < Micros(0) || *least > *most)
    return in.fault(key, "must be the longest time, or [shortest, longest], each with its unit");
  to = Bounds{*least, *most};
}

void read_attempts(Section& in, Expectation& to) {
  const auto* node = in.any("attempts");
  if (!node)
    return;
  std::vector<std::int64_t> numbers;
  if (const auto one = node->value_exact<std::int64_t>())
    numbers = {*one, *one};
  else if (const auto* list = node->as_array())
    for (const auto& item : *list)
      numbers.push_back(item.value_exact<std::int64_t>().value_or(-1));
  if (numbers.size() != 2 || numbers[0] < 0 || numbers[0] > numbers[1])
    return in.fault("attempts", "must be a whole number, or [least, most]");
  to.attempts = {numbers[0], numbers[1]};
}

class ExpectationReader {
 public:
  ExpectationReader(Section& in, const std::set<std::string>& asked, const Case& of)
      : in_(in), asked_(asked), nodes_(of.nodes) {}

  Expectation read() {
    Expectation expected;
    expected.line = in_.line();
    read_request(expected);
    read_nodes(expected);
    read_attempts(in_, expected);
    read_order(expected);
    read_answer(expected);
    read_share(expected);
    in_.end();
    return expected;
  }

 private:
  void read_request(Expectation& to) {
    in_.text("request", to.request);
    if (to.request.empty() && asked_.size() == 1)
      to.request = *asked_.begin();
    if (to.request.empty())
      in_.missing("request");
    else if (!asked_.count(to.request))
      in_.fault("request", "no step asks for '" + to.request + "'");
  }

  void read_nodes(Expectation& to) {
    std::string word;
    std::vector<std::string> set;
    if (const auto* node = in_.toml().get("reader"); node && node->value_or<std::string>("") == "holder") {
      in_.text("reader", word);
      to.reader_holds = true;
    } else if (read_node_set(in_, "reader", nodes_, set)) {
      to.reader = set;
    }
    if (read_node_set(in_, "writer", nodes_, set))
      to.writer = set;
    read_node_set(in_, "never", nodes_, to.never);
    in_.choice("near", to.near, {{"cell", Expectation::Near::cell}, {"zone", Expectation::Near::zone}});
  }

  void read_order(Expectation& to) {
    std::vector<std::string> list;
    if (!in_.texts("order", list))
      return;
    for (const auto& name : list)
      if (name != "*" && name != "...")
        check_node(in_, "order", name, nodes_);
    to.order = std::move(list);
  }

  void read_answer(Expectation& to) {
    Answer answer{};
    if (in_.choice("answer", answer,
                   {{"served", Answer::served},
                    {"refused", Answer::refused},
                    {"failed", Answer::failed},
                    {"cut", Answer::cut},
                    {"none", Answer::none}}))
      to.answer = answer;
    read_bounds(in_, "retry_after", to.retry_after);
    read_bounds(in_, "answered", to.answered);
    read_bounds(in_, "first", to.first);
    Micros released{};
    if (in_.span("released", released, Micros(0), longest_span))
      to.released = released;
  }

  void read_share(Expectation& to) {
    auto in = in_.table("share");
    if (!in)
      return;
    Share share;
    if (!read_node_set(*in, "nodes", nodes_, share.nodes) && !in->has("nodes"))
      in->missing("nodes");
    in->choice("of", share.of, {{"reader", Role::prefill}, {"writer", Role::decode}});
    in->number("least", share.least, 0, 1);
    in->number("most", share.most, 0, 1);
    if (share.least > share.most)
      in->fault("least", "is above most");
    in->end();
    to.share = std::move(share);
  }

  Section& in_;
  const std::set<std::string>& asked_;
  const std::vector<ScriptedNode>& nodes_;
};

}  // namespace

void read_expectations(Section& table, const Setup& setup, const std::set<std::string>& asked, Case& to) {
  for (auto& in : table.list("expect")) {
    const std::size_t before = table.faults().size();
    Expectation expected = ExpectationReader(in, asked, to).read();
    if (table.faults().size() == before)
      check_reachable(in, expected, setup.platform.settings, to);
    to.expectations.push_back(std::move(expected));
  }
  if (!table.has("expect") && !to.watched)
    table.fault("watched", "a case without expectations that is not watched checks nothing");
}

}  // namespace lemonroute::expect
