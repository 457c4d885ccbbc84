#pragma once

#include <httplib.h>

namespace berylhill::entry
{

struct entry_node;

/// `/v1/jobs`: submit, status, cancel, list. See docs/API.md. `self` must
/// outlive the server.
void add_job_api(httplib::Server& server, entry_node& self);

} // namespace berylhill::entry
