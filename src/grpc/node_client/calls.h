// The calls to a node that speaks gRPC, each on a stream of its own: an attempt, and those that are answered
// at once.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/types.h"
#include "grpc/session.h"

namespace lemonroute::grpc {

using CallOver = std::function<void(bool answered)>;  // hears once that a call is over, and whether the node
                                                      // said anything to it

std::unique_ptr<Call> run_call(Session& session, const Node& node, const Prompt& prompt, Micros within,
                               AttemptHandler& attempt, CallOver over);
// `framed`: the request. `done` hears what came of it, and may let go of the call.
std::unique_ptr<Call> simple_call(Session& session, const Node& node, std::string_view method,
                                  std::string framed, std::function<void(const AttemptResult&)> done,
                                  CallOver over);
// A call for which there is no place: it was never sent, and says so once its beginning has returned.
std::unique_ptr<Call> unsent_call(net::Loop& loop, std::function<void()> told);

}  // namespace lemonroute::grpc
