// The smallest dispatcher around lemonroute: one reader, one writer, one request.
#include <cstdio>

#include "lemonroute/scheduler.h"

int main() {
  using namespace std::chrono_literals;
  lemonroute::Settings settings;
  lemonroute::ClassSettings chat;
  chat.name = "chat";
  chat.aim = 1500ms;
  chat.deadline = 6s;
  settings.classes = {chat};
  settings.kind_role = {lemonroute::Role::read, lemonroute::Role::write};
  settings.kind_memory = {200000, 150000};
  settings.max_attempts = 4;

  lemonroute::Scheduler scheduler(settings, 1);
  std::vector<lemonroute::Action> actions;
  const auto step = [&](lemonroute::Micros now, const lemonroute::Event& event) -> lemonroute::HostId {
    actions.clear();
    scheduler.handle(now, event, actions);
    for (const auto& action : actions)
      if (const auto* send = std::get_if<lemonroute::Send>(&action))
        return send->host;
    return 0;
  };

  lemonroute::ListEntry reader, writer;
  reader.host = 1;
  writer.host = 2;
  writer.kind = 1;
  step(0s, lemonroute::HostList{lemonroute::ListKind::full, 1, {reader, writer}});

  lemonroute::Request request;
  request.id = 7;
  request.budget = 6s;
  request.prompt = 1800;
  request.max_output = 256;
  const auto read_at = step(1s, request);
  lemonroute::Completed read;
  read.id = 7;
  read.outcome = lemonroute::Outcome::read;
  read.host = read_at;
  read.elapsed = 90ms;
  const auto written_at = step(1090ms, read);
  std::printf("read at %u, written at %u\n", read_at, written_at);
  return read_at == 1 && written_at == 2 ? 0 : 1;
}
