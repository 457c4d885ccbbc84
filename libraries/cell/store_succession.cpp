#include <cell/store_succession.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// One refused call may be a limit on the rate of calls; an owner that is
/// turned away has been refused several times by then.
constexpr base::duration turned_away_delay = std::chrono::milliseconds{150};

/// A slow store takes up to half a second for an append.
constexpr base::duration slow_append = std::chrono::milliseconds{600};
constexpr base::duration stuck_delay = std::chrono::milliseconds{900};

/// Above the interval of the owner's own calls while it is in trouble.
constexpr base::duration own_call_time = std::chrono::milliseconds{150};

/// Above the longest `naming_delay` and some claims that fail.
constexpr base::duration naming_limit = std::chrono::seconds{5};

constexpr std::uint32_t max_doublings = 4;

/// A claim takes some tens of milliseconds.
constexpr base::duration claim_time = std::chrono::milliseconds{500};

/// Older evidence is dropped: the process may be gone.
constexpr base::duration evidence_memory = std::chrono::seconds{3};

/// The store has refused the owner several times by then, if it answers at all.
constexpr base::duration refused_limit = std::chrono::milliseconds{500};

} // namespace

base::duration naming_delay(store_trouble const& it)
{
    return it.turned_away
               ? turned_away_delay *
                     (1U << std::min(it.replaced_owners, max_doublings))
               : stuck_delay;
}

std::optional<store_trouble> trouble_of(owner_contact const& it,
                                        base::instant now)
{
    // While an owner reads the records it appends nothing. A single read that
    // is not served may be one that was lost.
    if (it.outage && it.outage->reads &&
        (it.restored ? it.outage->appends : it.outage->last > it.outage->since))
    {
        return store_trouble{it.outage->since, true, it.replaced_owners};
    }
    if (it.stuck <= slow_append)
    {
        return std::nullopt;
    }
    auto const since = now - it.stuck;
    return store_trouble{std::max(since, it.reads_served_since.value_or(since)),
                         false, it.replaced_owners};
}

std::optional<peer>
choose_successor(store_trouble const& it,
                 std::vector<possible_successor> const& from,
                 base::instant now)
{
    std::optional<peer> best;
    if (now - it.since < naming_delay(it))
    {
        return best;
    }
    for (auto const& each : from)
    {
        if (each.served_after > it.since &&
            now - each.shown_at >= own_call_time &&
            (!best || comes_before(each.process, *best)))
        {
            best = each.process;
        }
    }
    return best;
}

bool should_replace(watched_trouble const& it)
{
    auto const limit = it.names_successors ? naming_limit
                       : it.refused        ? refused_limit
                                           : stuck_delay;
    return it.stuck > limit && it.served_ago && *it.served_ago < it.stuck &&
           it.served_for > limit;
}

void store_succession::heard(peer const& from,
                             std::optional<store_evidence> const& it,
                             base::instant now)
{
    forget_old(now);
    auto& known = m_processes[from];
    known.heard_at = now;
    if (it)
    {
        known.evidence = *it;
    }
}

void store_succession::ended()
{
    m_named.reset();
}

void store_succession::forget_old(base::instant now)
{
    if (now < m_next_forget)
    {
        return;
    }
    m_next_forget = now + evidence_memory;
    std::erase_if(m_processes, [&](auto const& each)
                  { return now - each.second.heard_at > evidence_memory; });
}

std::vector<possible_successor>
store_succession::candidates(store_trouble const& it, base::instant now)
{
    auto const began = it.since.time_since_epoch().count();
    std::vector<possible_successor> out;
    for (auto& [process, known] : m_processes)
    {
        if (known.shown <= began && known.evidence.served_after > began)
        {
            known.shown = known.evidence.served_after;
            known.shown_at = known.heard_at;
        }
        auto const recent = now - known.heard_at < evidence_memory;
        auto const rested =
            !known.named_at || now - *known.named_at > evidence_memory;
        if (recent && rested && !known.evidence.turned_away)
        {
            out.push_back(
                {process,
                 base::instant{base::duration{known.evidence.served_after}},
                 known.shown_at});
        }
    }
    return out;
}

std::optional<peer>
store_succession::successor(std::optional<store_trouble> const& it,
                            base::instant now)
{
    m_anyone_served = false;
    if (!it)
    {
        m_named.reset();
        return m_named;
    }
    // Also while one is named, so that `shown_at` is up to date.
    auto const able = candidates(*it, now);
    auto const began = it->since.time_since_epoch().count();
    m_anyone_served = std::ranges::any_of(
        m_processes, [&](auto const& each)
        { return each.second.evidence.served_after > began; });
    if (m_named && now - m_named_at < claim_time && !turned_away(*m_named, now))
    {
        return m_named;
    }
    m_named = choose_successor(*it, able, now);
    if (m_named)
    {
        m_named_at = now;
        m_processes[*m_named].named_at = now;
    }
    return m_named;
}

bool store_succession::turned_away(peer const& it, base::instant now) const
{
    auto const at = m_processes.find(it);
    return at != m_processes.end() &&
           now - at->second.heard_at < evidence_memory &&
           at->second.evidence.turned_away;
}

} // namespace berylhill::cell
