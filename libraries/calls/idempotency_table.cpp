#include <calls/idempotency_table.hpp>

namespace berylhill::calls
{

namespace
{

/// Retry-After for a repeat of a call in progress, in seconds.
constexpr double s_ask_again_s = 1;

} // namespace

idempotency_table::idempotency_table(base::duration retention, std::size_t most)
    : m_retention{retention}
    , m_max_keys{most}
{
}

bool idempotency_table::apply(call_intent const& it, base::instant now)
{
    auto const key = flat_key(it.key);
    auto const [found, added] = m_entries.try_emplace(key);
    auto& known = found->second;
    auto const again = !added && known.intent.request_id == it.request_id;
    // A first call that did not run releases the key for the next one.
    auto const unused = !added && known.outcome &&
                        !known.outcome->is_answer() &&
                        known.outcome->why().execution == ran::not_run &&
                        known.intent.fingerprint == it.fingerprint;
    if (!added && (again || !unused))
    {
        return again;
    }
    known.intent = it;
    known.outcome.reset();
    // The intent of a process that was declared lost may be read late; its
    // outcome will never be written.
    known.outcome_unknown = m_lost_writers.contains(it.incarnation);
    m_open[it.incarnation].insert(key);
    touch_entry(key, known, now);
    return true;
}

void idempotency_table::apply(call_result const& it, base::instant now)
{
    auto const key = flat_key(it.key);
    auto const found = m_entries.find(key);
    if (found == m_entries.end() ||
        found->second.intent.request_id != it.request_id ||
        found->second.outcome)
    {
        return;
    }
    found->second.outcome = it.outcome;
    // A result that was in flight when its writer was lost is valid.
    found->second.outcome_unknown = false;
    auto const open = m_open.find(found->second.intent.incarnation);
    if (open != m_open.end())
    {
        open->second.erase(key);
        if (open->second.empty())
        {
            m_open.erase(open);
        }
    }
    touch_entry(key, found->second, now);
}

void idempotency_table::mark_writer_lost(std::string const& incarnation,
                                         base::instant now)
{
    m_lost_writers.emplace(incarnation, now);
    auto const open = m_open.find(incarnation);
    if (open == m_open.end())
    {
        return;
    }
    for (auto const& key : open->second)
    {
        auto const found = m_entries.find(key);
        if (found != m_entries.end())
        {
            found->second.outcome_unknown = true;
            touch_entry(key, found->second, now);
        }
    }
    m_open.erase(open);
}

key_state idempotency_table::state_of(idempotency_key const& key,
                                      std::uint64_t fingerprint) const
{
    auto const found = m_entries.find(flat_key(key));
    if (found == m_entries.end())
    {
        return key_state::unused;
    }
    auto const& known = found->second;
    if (known.intent.fingerprint != fingerprint)
    {
        return key_state::conflict;
    }
    if (known.outcome_unknown)
    {
        return key_state::outcome_unknown;
    }
    if (!known.outcome)
    {
        return key_state::in_progress;
    }
    if (known.outcome->is_answer())
    {
        return key_state::answered;
    }
    return known.outcome->why().execution == ran::not_run
               ? key_state::unused
               : key_state::outcome_unknown;
}

std::optional<call_outcome>
idempotency_table::outcome_of(idempotency_key const& key) const
{
    auto const found = m_entries.find(flat_key(key));
    return found == m_entries.end() ? std::nullopt : found->second.outcome;
}

refusal idempotency_table::refusal_for(key_state state)
{
    switch (state)
    {
    case key_state::conflict:
        return {ran::not_run, refusal_code::key_conflict,
                "this idempotency key was used for another request", 0};
    case key_state::in_progress:
        // The refusal refers to the first call, which may already have run.
        return {ran::unknown, refusal_code::key_in_progress,
                "the first call with this idempotency key is in progress",
                s_ask_again_s};
    case key_state::unused:
    case key_state::answered:
    case key_state::outcome_unknown:
        break;
    }
    return {ran::unknown, refusal_code::outcome_unknown,
            "the first call with this idempotency key may have run", 0};
}

void idempotency_table::expire(base::instant now)
{
    while (!m_touched.empty() && m_touched.front().at + m_retention <= now)
    {
        auto const found = m_entries.find(m_touched.front().key);
        if (found != m_entries.end() &&
            found->second.touched_at == m_touched.front().at)
        {
            auto const open = m_open.find(found->second.intent.incarnation);
            if (open != m_open.end())
            {
                open->second.erase(found->first);
            }
            m_entries.erase(found);
        }
        m_touched.pop_front();
    }
    std::erase_if(m_lost_writers, [&](auto const& it)
                  { return it.second + m_retention <= now; });
}

std::string idempotency_table::flat_key(idempotency_key const& it)
{
    // The length prefix keeps the keys of different contracts distinct.
    return std::to_string(it.contract.size()) + ":" + it.contract + it.key;
}

void idempotency_table::touch_entry(std::string const& key,
                                    entry& it,
                                    base::instant now)
{
    it.touched_at = now;
    m_touched.push_back({now, key});
}

} // namespace berylhill::calls
