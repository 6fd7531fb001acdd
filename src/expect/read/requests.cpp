#include "expect/read/requests.h"

#include <algorithm>

#include "core/load_report.h"
#include "expect/read/limits.h"
#include "expect/read/names.h"

namespace lemonroute::expect {
namespace {

bool has_class(const config::Platform& platform, const std::string& name) {
  const auto& all = platform.settings.classes;
  return std::any_of(all.begin(), all.end(), [&](const auto& one) { return one.name == name; });
}

}  // namespace

std::optional<Ask> RequestReader::read_now(Section& outer) {
  auto in = outer.table("ask");
  if (!in)
    return std::nullopt;
  Ask ask;
  read_class(*in, ask.cls);
  ask.name.assign(1, 'q');
  ask.name += std::to_string(asked_.size() + 1);
  in->text("name", ask.name);
  if (!asked_.insert(ask.name).second)
    in->fault("name", "'" + ask.name + "' is asked for twice");
  read_size(*in, ask);
  read_tenant(*in, ask.tenant);
  in->flag("resumed", ask.resumed);
  in->end();
  return ask;
}

std::optional<Ask> RequestReader::read_past(Section& outer) {
  auto in = outer.table("past");
  if (!in)
    return std::nullopt;
  Ask ask;
  read_class(*in, ask.cls);
  ask.name = next_past();
  read_size(*in, ask);
  read_place(*in, "reader", ask.reader, Role::decode);
  read_place(*in, "writer", ask.writer, Role::prefill);
  Micros took{};
  if (in->span("took", took, Micros(1), longest_span))
    ask.took = took;
  read_load(*in, "reader_load", ask.reader_load);
  read_load(*in, "writer_load", ask.writer_load);
  in->end();
  return ask;
}

std::optional<Ask> RequestReader::read_report(Section& outer) {
  auto in = outer.table("report");
  if (!in)
    return std::nullopt;
  std::string node, load;
  const bool named = in->text("node", node) && check_node(*in, "node", node, case_.nodes);
  if (!in->has("node"))
    in->missing("node");
  read_load(*in, "load", load);
  if (!in->has("load"))
    in->missing("load");
  in->end();
  const auto& classes = setup_.platform.settings.classes;
  if (!named || classes.empty())
    return std::nullopt;
  Ask ask;
  ask.name = next_past();
  ask.cls = classes.front().name;
  ask.tokens = 64;
  ask.output = 1;
  const bool decodes = find_node(case_.nodes, node)->role == Role::decode;
  (decodes ? ask.writer : ask.reader) = node;
  (decodes ? ask.writer_load : ask.reader_load) = load;
  return ask;
}

void RequestReader::read_class(Section& in, std::string& name) const {
  if (!in.text("class", name)) {
    if (!in.has("class"))
      in.missing("class");
    return;
  }
  // After a SIGHUP other classes may hold, so any of them will do.
  const auto& reloads = case_.reloads;
  if (has_class(setup_.platform, name) || std::any_of(reloads.begin(), reloads.end(), [&](const auto& one) {
        return has_class(one.second, name);
      }))
    return;
  std::string all;
  for (const auto& one : setup_.platform.settings.classes)
    all += (all.empty() ? "" : ", ") + one.name;
  in.fault("class", "'" + name + "' is no class of " + setup_.origin + ", which knows " +
                        (all.empty() ? "none" : all));
}

void RequestReader::read_tenant(Section& in, std::string& name) const {
  if (!in.text("tenant", name))
    return;
  const auto& all = setup_.platform.settings.tenants;
  if (std::none_of(all.begin(), all.end(), [&](const auto& one) { return one.name == name; }))
    in.fault("tenant", "'" + name + "' is no tenant of " + setup_.origin);
}

void RequestReader::read_size(Section& in, Ask& ask) const {
  in.number("tokens", ask.tokens, 1, most_tokens);
  in.text("opening", ask.opening);
  in.text("session", ask.session);
  if (in.number("shared", ask.shared, 0, most_tokens) && ask.shared > ask.tokens)
    in.fault("shared", "is more than the tokens of the whole prompt");
  if (ask.opening.empty() && ask.shared > 0)
    in.fault("shared", "needs an opening");
  if (!ask.opening.empty() && ask.shared <= 0)
    in.missing("shared");
  in.number("output", ask.output, 1, 1e6);
  in.span("budget", ask.budget, std::chrono::milliseconds(1), longest_span);
  in.flag("repeat", ask.repeat);
}

void RequestReader::read_place(Section& in, const char* key, std::string& name, Role wrong) const {
  if (!in.text(key, name) || !check_node(in, key, name, case_.nodes))
    return;
  if (find_node(case_.nodes, name)->role == wrong)
    in.fault(key, "'" + name + "' is of the other role");
}

void RequestReader::read_load(Section& in, std::string_view key, std::string& to) const {
  if (in.text(key, to) && parse_load_report(to, setup_.platform.settings.report_columns).empty())
    in.fault(key, "'" + to + "' is no load report with a column that the settings name");
}

}  // namespace lemonroute::expect
