// How fast a node does a prefill, and how long a prompt would wait there.
#pragma once

#include "node_health.h"

namespace lemonroute::decisions {

constexpr double most_mixed = 0.75;  // part of its time a mixed node may prefill, for its answers' sake

// Microseconds a token. An unheard node counts as average, and by and by one not heard lately: an avoided
// crawling node is tried again. A prefill out longer than its estimate shows slowness before it ends.
inline double prefill_rate(const State& s, const Node& node) {
  const double trust = node.prefill_rate.trust(s.now, s.fade), usual = s.pool(node.role).rate;
  return std::max(trust * node.prefill_rate.value + (1 - trust) * usual, usual * lateness(s, node, true));
}

// Tokens of prompt that wait at the node: this router's, and with the others'.
inline double own_queued(const State& s, const Node& node, double rate) {
  double sum = 0;
  const Attempt* head = nullptr;
  for (const auto& out : node.out) {
    const auto& a = s.attempt(out);
    if (!a.prefill || a.started) continue;
    if (!head) head = &a;
    sum += a.tokens;
  }
  if (!head) return 0;
  return sum - std::min(head->tokens, us(s.now - std::max(node.prefill_done, head->sent)) / rate);
}
inline double queued(const State& s, const Node& node, double rate) {
  const double fresh = node.others_queued.fresh(s.now, s.fade / 4), usual = s.pool(node.role).queued;
  return own_queued(s, node, rate) + fresh * node.others_queued.value + (1 - fresh) * usual;
}

// Danger: a mixed node in prefill all the time, whose running answers then miss their token aim. Its prefills
// are queued as if it did them only part of the time, less what the other routers are taken to do there:
// as much each as this one does at a mixed node in the mean.
inline double mixed_prefill(const State& s) {  // part of the time, over all mixed nodes
  return s.mixed_prefill * std::exp(-us(s.now - s.mixed_prefill_at) / us(s.fade)) / us(s.fade);
}
inline double mixed_share(const State& s) {  // part of a mixed node's time that is this router's for it
  const double rest = (s.settings.siblings - 1) * mixed_prefill(s) / std::max(1.0, s.pool(Role::both).nodes);
  return std::max(most_mixed / s.settings.siblings, most_mixed - rest);
}
inline double mixed_debt(const State& s, const Node& node) {
  return std::max(0.0, node.mixed_debt / mixed_share(s) - us(s.now - node.mixed_debt_at));
}
inline void owe_mixed(State& s, Node& node, double work) {
  node.mixed_debt = mixed_debt(s, node) * mixed_share(s) + work;
  node.mixed_debt_at = s.now;
  s.mixed_prefill = mixed_prefill(s) * us(s.fade) + work;
  s.mixed_prefill_at = s.now;
}

inline double prefill_wait(const State& s, const Node& node) {
  const double rate = prefill_rate(s, node), queue = queued(s, node, rate) * rate;
  return node.role == Role::both ? std::max(queue, mixed_debt(s, node)) : queue;
}

inline void learn_prefill(State& s, Node& node, const Attempt& a, double elapsed) {
  const double step = s.usual_prompt.value / 32;  // the shortest prefill takes a step
  const bool told = s.settings.report_x1_is_unread && s.columns.count("x1");
  if (a.tokens < 1) return;
  const double tokens = a.ahead + a.tokens + step - (told ? 0 : a.others);
  const double sample = elapsed / tokens,
               weight = std::min(1.0, a.tokens / std::max(1.0, s.usual_prompt.value / 2));
  fleet::UsualRate& of_role = s.usual_rate[node.role];
  if (of_role.few() || weight > learn) of_role.add(sample);
  const double usual = of_role.value();
  s.any_rate.add(usual, s.now, 1);
  if (!told) s.inferred[node.role].add(elapsed / usual - tokens, s.now, learn);
  node.prefill_rate.add(std::min(sample, 4 * usual), s.now, learn * weight, weight);
  node.prefill_done = s.now;
}

}  // namespace lemonroute::decisions
