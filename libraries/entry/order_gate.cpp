#include <entry/order_gate.hpp>

namespace berylhill::entry
{

bool order_gate::admit(std::string const& shard,
                       std::int64_t epoch,
                       std::int64_t number)
{
    auto& it = m_shards[shard];
    if (epoch != it.epoch)
    {
        it = {epoch, 0};
    }
    if (number == 0)
    {
        return true;
    }
    if (number <= it.highest)
    {
        return false;
    }
    it.highest = number;
    return true;
}

} // namespace berylhill::entry
