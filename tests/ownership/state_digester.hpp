#pragma once

#include <ownership/participant.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

namespace berylhill::ownership
{

/// Computes digests of participants and of the state around them, by which the
/// exhaustive test recognizes states that it has visited.
class state_digester
{
public:
    using digest = std::pair<std::uint64_t, std::uint64_t>;

    [[nodiscard]] digest result() const
    {
        auto const it = XXH3_128bits(m_bytes.data(), m_bytes.size());
        return {it.low64, it.high64};
    }

    template <class T>
    requires std::is_integral_v<T> || std::is_enum_v<T>
    void add(T const& it)
    {
        m_bytes.append(reinterpret_cast<char const*>(&it), sizeof it);
    }
    void add(std::string const& it)
    {
        add(it.size());
        m_bytes.append(it);
    }
    void add(base::instant it)
    {
        add(it.time_since_epoch().count());
    }
    template <class A, class B>
    void add(std::pair<A, B> const& it)
    {
        add(it.first);
        add(it.second);
    }
    template <class T>
    void add(std::optional<T> const& it)
    {
        add(it.has_value());
        if (it)
        {
            add(*it);
        }
    }
    template <class... T>
    void add(std::variant<T...> const& it)
    {
        add(it.index());
        std::visit([&](auto const& typed) { add(typed); }, it);
    }
    template <class Range>
    requires requires(Range const& it)
    {
        it.begin();
        it.size();
    } &&(!std::is_same_v<Range, std::string>)void add(Range const& range)
    {
        add(range.size());
        for (auto const& it : range)
        {
            add(it);
        }
    }

    void add(join const& it)
    {
        add_all(it.incarnation, it.instance);
    }
    void add(leave const& it)
    {
        add(it.incarnation);
    }
    void add(removal const& it)
    {
        add(it.incarnation);
    }
    void add(seen const& it)
    {
        add_all(it.incarnation, it.through);
    }
    void add(claim const& it)
    {
        add_all(it.unit, it.incarnation, it.follows);
    }
    void add(release const& it)
    {
        add_all(it.unit, it.incarnation, it.epoch, it.successor);
    }
    void add(snapshot const& it)
    {
        add_all(it.through, it.table);
    }
    void add(owner const& it)
    {
        add_all(it.incarnation, it.epoch, it.last_change, it.released);
    }
    void add(member const& it)
    {
        add_all(it.instance, it.join_offset, it.seen_through);
    }
    void add(vouch_request const& it)
    {
        add_all(it.from, it.table_next);
    }
    void add(vouch_answer const& it)
    {
        add_all(it.from, it.doubtful);
    }
    void add(claim_table const& it)
    {
        add_all(it.complete(), it.next(), it.units(), it.members());
    }
    /// Covers the state that influences later actions at `now`. Expired leases
    /// are equivalent. Tickets and round numbers are left out, and so is the
    /// state of rebalancing and snapshots, which the test disables.
    void add(participant const& it, base::instant now)
    {
        add_all(it.m_table, it.m_releasing, it.m_doubtful_units, it.m_listed,
                it.m_ever_listed, it.m_stopping, it.m_has_left);
        add(std::max(it.m_log_lease_until, now));
        add(std::max(it.m_vouched_until, now));
        for (auto const& [ticket, own] : it.m_unresolved)
        {
            add(own);
        }
        for (auto const& [unit, from] : it.m_active_from)
        {
            add_all(unit, std::max(from, now));
        }
        add(it.m_listed_as_of && *it.m_listed_as_of >= now);
        add(has_open_round(it));
        if (it.m_vouch_round)
        {
            add_all(it.m_vouch_round->started, it.m_vouch_round->incarnations,
                    it.m_vouch_round->instances, it.m_vouch_round->doubtful);
            add(it.m_listed_as_of &&
                *it.m_listed_as_of >= it.m_vouch_round->started);
        }
        for (auto const& [name, peer] : it.m_peers)
        {
            add_all(name, std::max(peer.last_heard, now));
        }
    }

    [[nodiscard]] static bool has_open_round(participant const& it)
    {
        return it.m_vouch_round.has_value();
    }

private:
    template <class... T>
    void add_all(T const&... it)
    {
        (add(it), ...);
    }

    std::string m_bytes;
};

} // namespace berylhill::ownership
