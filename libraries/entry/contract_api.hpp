#pragma once

#include <httplib.h>

namespace berylhill::entry
{

struct entry_node;

/// `/v1/contracts` and `/v1/stops`: what operators publish. `self` must
/// outlive the server.
void add_contract_api(httplib::Server& server, entry_node& self);

} // namespace berylhill::entry
