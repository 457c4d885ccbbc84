#include <network/server_limits.hpp>

namespace berylhill::network
{

std::array<limit_count, 5> by_reason(server_counts const& it)
{
    return {{{"closed_for_new", it.closed_for_new},
             {"closed_for_memory", it.closed_for_memory},
             {"too_large", it.too_large},
             {"too_slow", it.too_slow},
             {"busy", it.busy}}};
}

} // namespace berylhill::network
