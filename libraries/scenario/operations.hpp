#pragma once

#include <scenario/api_client.hpp>
#include <scenario/cell.hpp>
#include <scenario/script.hpp>

namespace berylhill::scenario
{

/// Whether `perform` takes it: a fault, a start or an announced stop.
[[nodiscard]] bool is_operation(action it);

/// Does what the statement says to the cell. Fails as the cell's own functions
/// do. Precondition: `is_operation(it.what)`; to be used by the main thread.
[[nodiscard]] base::result<base::done>
perform(statement const& it, cell& to, api_client& api);

} // namespace berylhill::scenario
