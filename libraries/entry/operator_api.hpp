#pragma once

#include <entry/http_router.hpp>

namespace berylhill::entry
{

struct entry_node;

/// `/v1/contracts`, `/v1/stops`, `/v1/status`, `/v1/traces`, `/v1/health` and
/// `/metrics`. See docs/API.md. `self` must outlive the server.
void add_operator_api(http_router& router, entry_node& self);

} // namespace berylhill::entry
