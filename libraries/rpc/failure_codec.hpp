#pragma once

#include <base/failure.hpp>
#include <rpc/json_rpc.hpp>

namespace berylhill::rpc
{

/// A failure as a JSON-RPC error, so that its code and retry time survive the
/// hop between two processes.
[[nodiscard]] rpc_error to_error(base::failure const& it);

/// A member that is missing reads as `outcome_unknown`.
[[nodiscard]] base::failure failure_from(rpc_error const& it);

} // namespace berylhill::rpc
