#pragma once

#include <entry/http_router.hpp>

namespace berylhill::entry
{

struct entry_node;

/// `/v1/jobs`: submit, status, cancel, list. See docs/API.md. `self` must
/// outlive the server.
void add_job_api(http_router& router, entry_node& self);

} // namespace berylhill::entry
