// What a client's head asks for, and which requests are answered at the front.
#pragma once

#include "core/types.h"
#include "http/message.h"

namespace lemonroute::http {

// The status of a request that is answered here; 0 for one that goes to the core, and `client_request` then
// holds what its head says. `draining`: the program takes no new clients.
int answer_of(const Head& head, bool draining, ClientRequest& client_request);

}  // namespace lemonroute::http
