#pragma once

#include <entry/http_router.hpp>

namespace berylhill::entry
{

struct entry_node;

/// `/v1/contracts` and `/v1/stops`: what operators publish. `self` must
/// outlive the server.
void add_contract_api(http_router& router, entry_node& self);

} // namespace berylhill::entry
