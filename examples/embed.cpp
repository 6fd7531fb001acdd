// The smallest dispatcher around lemonroute: one reader, one writer, one request.
#include <cstdio>

#include "lemonroute/scheduler.h"

int main() {
  using namespace std::chrono_literals;
  lemonroute::Settings settings;
  lemonroute::ClassSettings chat;
  chat.name = "chat";
  chat.latency_objective = 1500ms;
  chat.deadline = 6s;
  settings.classes = {chat};
  settings.role_by_kind = {lemonroute::Role::prefill, lemonroute::Role::decode};
  settings.kv_cache_tokens_by_kind = {200000, 150000};
  settings.max_attempts = 4;

  lemonroute::Scheduler scheduler(settings, 1);
  std::vector<lemonroute::Action> actions;
  const auto step = [&](lemonroute::Micros now, const lemonroute::Event& event) -> lemonroute::EndpointId {
    actions.clear();
    scheduler.handle(now, event, actions);
    for (const auto& action : actions)
      if (const auto* send = std::get_if<lemonroute::Send>(&action))
        return send->endpoint;
    return 0;
  };

  lemonroute::Endpoint reader, writer;
  reader.id = 1;
  writer.id = 2;
  writer.kind = 1;
  step(0s, lemonroute::EndpointListUpdate{lemonroute::EndpointListKind::full, 1, {reader, writer}});

  lemonroute::Request request;
  request.id = 7;
  request.time_budget = 6s;
  request.prompt_tokens = 1800;
  request.max_output_tokens = 256;
  const auto read_at = step(1s, request);
  lemonroute::AttemptCompleted read;
  read.id = 7;
  read.outcome = lemonroute::Outcome::prefill_done;
  read.endpoint = read_at;
  read.elapsed = 90ms;
  const auto written_at = step(1090ms, read);
  std::printf("read at %u, written at %u\n", read_at, written_at);
  return read_at == 1 && written_at == 2 ? 0 : 1;
}
