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
        it = {epoch, 0, {}};
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
    std::erase_if(it.ended,
                  [&](auto const& each) { return each.second < number; });
    return true;
}

void order_gate::ended(std::string const& shard,
                       model::attempt_id const& attempt,
                       std::int64_t orders_sent)
{
    auto& it = m_shards[shard];
    if (orders_sent > it.highest)
    {
        it.ended.insert_or_assign(attempt, orders_sent);
    }
}

bool order_gate::has_ended(std::string const& shard,
                           model::attempt_id const& attempt) const
{
    auto const it = m_shards.find(shard);
    return it != m_shards.end() && it->second.ended.contains(attempt);
}

} // namespace berylhill::entry
