#include <cell_replay/replay_time.hpp>

#include <base/hash.hpp>

#include <chrono>

namespace berylhill::cell_replay
{

double seconds_since(base::instant from, base::instant to)
{
    return base::seconds_of(to - from);
}

base::duration span_of(double seconds)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>{seconds});
}

double chance_of(std::string const& name)
{
    constexpr std::uint64_t steps = 1'000'003;
    return static_cast<double>(base::hash_of(name) % steps) /
           static_cast<double>(steps);
}

} // namespace berylhill::cell_replay
