#pragma once

#include <entry/http_router.hpp>

namespace berylhill::entry
{

struct entry_node;

/// `GET` and `POST /v1/services/{service}/...`: calls to minions. See
/// docs/API.md. `self` must outlive the server.
void add_call_api(http_router& router, entry_node& self);

} // namespace berylhill::entry
