// Two expectations that no run can fulfil both. Each of them bounds a few finite things (which answer, which
// reader, which writer, how many attempts) and a few spans, so the common part is found by enumeration,
// exactly.
#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "expect/suite.h"

namespace lemonroute::expect {
namespace {

constexpr std::int64_t any_number = 1000000;

// What an expectation leaves possible of one request. The empty name stands for "no such attempt".
struct Possible {
  std::set<Answer> answers{Answer::served, Answer::refused, Answer::failed, Answer::cut, Answer::none};
  std::set<std::string> readers, writers;
  std::int64_t least = 0, most = any_number;
  bool cell = false, zone = false;
  std::optional<std::vector<std::string>> order;  // only one without wildcards
  std::map<std::string, Bounds> spans;
};

Possible possible(const Expectation& e, const Case& one) {
  Possible p;
  const auto free = [&](const std::string& name) {
    return std::count(e.never.begin(), e.never.end(), name) == 0;
  };
  for (const auto& node : one.nodes) {
    if (!free(node.name))
      continue;
    if (node.role != Role::decode)
      p.readers.insert(node.name);
    if (node.role != Role::prefill)
      p.writers.insert(node.name);
  }
  p.readers.insert("");
  p.writers.insert("");
  const auto only = [&](std::set<std::string>& set, const std::vector<std::string>& names) {
    std::erase_if(set, [&](auto& name) { return std::count(names.begin(), names.end(), name) == 0; });
  };
  if (e.reader)
    only(p.readers, *e.reader);
  if (e.reader_holds)
    p.readers.erase("");
  if (e.writer)
    only(p.writers, *e.writer);
  if (e.near != Expectation::Near::any) {
    p.readers.erase("");
    p.writers.erase("");
    (e.near == Expectation::Near::cell ? p.cell : p.zone) = true;
  }
  if (e.answer)
    p.answers = {*e.answer};
  if (e.retry_after) {
    std::erase_if(p.answers, [](Answer a) { return a != Answer::refused; });
    p.spans["retry_after"] = *e.retry_after;
  }
  if (e.answered) {
    p.answers.erase(Answer::none);
    p.spans["answered"] = *e.answered;
  }
  if (e.first) {
    std::erase_if(p.answers, [](Answer a) { return a == Answer::refused || a == Answer::failed; });
    p.spans["first"] = *e.first;
  }
  if (e.attempts)
    std::tie(p.least, p.most) = *e.attempts;
  if (e.order) {
    const auto& order = *e.order;
    const auto fixed =
        static_cast<std::int64_t>(order.size()) - std::count(order.begin(), order.end(), "...");
    p.least = std::max(p.least, fixed);
    if (fixed == static_cast<std::int64_t>(order.size()))
      p.most = std::min(p.most, fixed);
    if (std::none_of(order.begin(), order.end(), [](auto& n) { return n == "*" || n == "..."; })) {
      p.order = order;
      std::string reader, writer;
      for (const auto& name : order)
        for (const auto& node : one.nodes)
          if (node.name == name) {
            if (node.role != Role::decode)
              reader = name;
            if (node.role != Role::prefill)
              writer = name;
          }
      only(p.readers, {reader});
      only(p.writers, {writer});
    }
  }
  return p;
}

template <class T>
std::set<T> common(const std::set<T>& a, const std::set<T>& b) {
  std::set<T> both;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::inserter(both, both.end()));
  return both;
}

// Why both can't hold; empty if some run could fulfil them.
std::string clash(const Expectation& a, const Expectation& b, const Case& one) {
  const Possible p = possible(a, one), q = possible(b, one);
  const auto answers = common(p.answers, q.answers);
  if (answers.empty())
    return "no answer fulfils both";
  const auto readers = common(p.readers, q.readers), writers = common(p.writers, q.writers);
  if (readers.empty())
    return "no reader fulfils both";
  if (writers.empty())
    return "no writer fulfils both";
  if (std::max(p.least, q.least) > std::min(p.most, q.most))
    return "no number of attempts fulfils both";
  if (p.order && q.order && *p.order != *q.order)
    return "they give two orders of attempts";
  for (const auto& [key, bounds] : p.spans)
    if (const auto other = q.spans.find(key);
        other != q.spans.end() &&
        std::max(bounds.least, other->second.least) > std::min(bounds.most, other->second.most))
      return "no time of " + key + " fulfils both";
  // A stream's answer follows its first event.
  for (const auto& [x, y] : {std::pair{&p, &q}, std::pair{&q, &p}})
    if (const auto first = x->spans.find("first"), end = y->spans.find("answered");
        first != x->spans.end() && end != y->spans.end() && end->second.most < first->second.least)
      return "the answer would have to end before its first event";
  const bool needs_writer = std::all_of(answers.begin(), answers.end(),
                                        [](Answer x) { return x == Answer::served || x == Answer::cut; });
  if (needs_writer && writers == std::set<std::string>{""})
    return "an answer that was served needs a writer";
  if (p.cell || q.cell || p.zone || q.zone) {
    std::map<std::string, const ScriptedNode*> nodes;
    for (const auto& node : one.nodes)
      nodes[node.name] = &node;
    const bool cell = p.cell || q.cell;
    std::set<std::pair<std::string, int>> places;
    const auto place = [&](const std::string& name) {
      return std::pair(nodes[name]->zone, cell ? int(nodes[name]->cell) : 0);
    };
    for (const auto& name : readers)
      if (!name.empty())
        places.insert(place(name));
    if (std::none_of(writers.begin(), writers.end(),
                     [&](auto& name) { return !name.empty() && places.count(place(name)); }))
      return std::string("no reader and writer of one ") + (cell ? "cell" : "zone") + " fulfil both";
  }
  if (a.share && b.share && a.share->of == b.share->of) {
    const std::set<std::string> x(a.share->nodes.begin(), a.share->nodes.end()),
        y(b.share->nodes.begin(), b.share->nodes.end());
    if (x == y && std::max(a.share->least, b.share->least) > std::min(a.share->most, b.share->most))
      return "no share fulfils both";
    if (common(x, y).empty() && a.share->least + b.share->least > 1)
      return "the shares come to more than the whole";
  }
  return {};
}

// What is given, without what is expected: two cases that agree in it must agree in what comes of it.
std::string given(const Case& one) {
  std::ostringstream out;
  const auto ask = [&](const Ask& a) {
    out << a.cls << ' ' << a.tenant << ' ' << a.session << ' ' << a.opening << ' ' << a.tokens << ' '
        << a.shared << ' ' << a.output << ' ' << a.budget.count() << ' ' << a.repeat << a.resumed << ' '
        << a.reader << ' ' << a.writer << ' ' << a.reader_load << ' ' << a.writer_load << ' '
        << (a.took ? a.took->count() : -1);
  };
  for (const auto& n : one.nodes)
    out << n.name << ' ' << n.zone << ' ' << n.kind << ' ' << n.cell << ' ' << int(n.phase) << ' ' << n.weight
        << ' ' << (n.started ? n.started->count() : 1) << ' ' << n.rate.count() << ' ' << n.first.count()
        << ' ' << n.token.count() << ' ' << n.slots << '\n';
  for (const auto& step : one.steps) {
    out << step.at.count() << ' ' << step.what.index() << ' ';
    std::visit(
        [&](const auto& what) {
          using T = std::decay_t<decltype(what)>;
          if constexpr (std::is_same_v<T, step::Past> || std::is_same_v<T, step::Now>)
            ask(what.ask);
          if constexpr (std::is_same_v<T, step::List>)
            out << what.node << int(what.phase) << (what.started ? what.started->count() : 1);
          if constexpr (std::is_same_v<T, step::Ban>)
            out << what.node << what.out;
          if constexpr (std::is_same_v<T, step::Script>) {
            for (const auto& name : what.nodes)
              out << name << ' ';
            out << int(what.how) << ' ' << what.span.count() << ' ' << what.factor;
          }
          if constexpr (std::is_same_v<T, step::Restart>)
            out << what.node;
          if constexpr (std::is_same_v<T, step::Sighup>)
            out << what.file;
          if constexpr (std::is_same_v<T, step::Leave>)
            out << what.request;
        },
        step.what);
    out << '\n';
  }
  return out.str();
}

std::vector<std::string> asked(const Case& one) {
  std::vector<std::string> names;
  for (const auto& step : one.steps)
    if (const auto* now = std::get_if<step::Now>(&step.what))
      names.push_back(now->ask.name);
  return names;
}

void find(const Case& a, const Case& b, std::vector<Fault>& faults) {
  const auto in_a = asked(a), in_b = asked(b);
  for (std::size_t i = 0; i < a.expectations.size(); ++i)
    for (std::size_t j = &a == &b ? i + 1 : 0; j < b.expectations.size(); ++j) {
      const auto &x = a.expectations[i], &y = b.expectations[j];
      // Of two cases the same request may have two names: it is the same one if it is asked as the same in
      // order.
      const auto at = std::find(in_a.begin(), in_a.end(), x.request) - in_a.begin();
      if (at != std::find(in_b.begin(), in_b.end(), y.request) - in_b.begin())
        continue;
      if (const auto why = clash(x, y, a); !why.empty())
        faults.push_back({a.file, x.line, "expect",
                          "can't hold together with the expectation in " + b.file + ":" +
                              std::to_string(y.line) + ": " + why});
    }
}

}  // namespace

void find_conflicts(const std::vector<std::unique_ptr<File>>& files, std::vector<Fault>& faults) {
  std::map<std::string, std::vector<const Case*>> same;
  std::vector<std::unique_ptr<Case>> made;
  for (const auto& file : files) {
    for (const auto& one : file->cases) {
      find(one, one, faults);
      same[file->setup.origin + "\n" + given(one)].push_back(&one);
    }
    for (const auto& general : file->generals) {
      std::vector<Value> values;
      for (const auto& variable : general.variables)
        values.push_back(variable.values.front());
      std::vector<Fault> wrong;
      const auto table = concrete(general, values, wrong);
      made.push_back(std::make_unique<Case>(
          read_case(Section(table, general.file, "general", wrong), file->setup, file->fleets)));
      if (wrong.empty())
        find(*made.back(), *made.back(), faults);
    }
  }
  for (const auto& [text, cases] : same)
    for (std::size_t i = 0; i < cases.size(); ++i)
      for (std::size_t j = i + 1; j < cases.size(); ++j)
        find(*cases[i], *cases[j], faults);
  // And a general expectation against the cases that one of its combinations is the same as.
  if (same.empty())
    return;
  for (const auto& file : files)
    for (const auto& general : file->generals) {
      const auto like = [&](const Case& one) {
        return std::any_of(same.begin(), same.end(), [&](auto& other) {
          const Case& c = *other.second.front();
          return c.nodes.size() == one.nodes.size() && c.steps.size() == one.steps.size();
        });
      };
      bool first = true;
      for (const auto& row : rows(general)) {
        std::vector<Value> values;
        for (std::size_t i = 0; i < row.size(); ++i)
          values.push_back(general.variables[i].values[row[i]]);
        std::vector<Fault> wrong;
        const auto table = concrete(general, values, wrong);
        const Case one = read_case(Section(table, general.file, "general", wrong), file->setup, file->fleets);
        if (!wrong.empty() || (std::exchange(first, false) && !like(one)))
          break;
        if (const auto found = same.find(file->setup.origin + "\n" + given(one)); found != same.end())
          for (const Case* other : found->second) {
            const std::size_t before = faults.size();
            find(*other, one, faults);
            if (faults.size() != before)
              return;
          }
      }
    }
}

}  // namespace lemonroute::expect
