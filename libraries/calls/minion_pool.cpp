#include <calls/minion_pool.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::calls
{

namespace
{

/// Weight of the newest call in the moving average of the time that callers
/// allow.
constexpr double s_newest = 0.05;
/// Factor applied to the fast running time when a call is refused because of
/// it.
constexpr double s_doubt = 0.98;
constexpr double s_least_retry_s = 0.2;

} // namespace

minion_pool::minion_pool(std::string group,
                         std::string service,
                         minion_pool_settings const& settings,
                         generator random)
    : m_group{std::move(group)}
    , m_service{std::move(service)}
    , m_settings{settings}
    , m_random{random}
    , m_ejection{settings.health}
    , m_run_time_s{base::seconds_of(settings.initial_run_time)}
{
}

minion_pool_actions minion_pool::set_minion(model::endpoint const& it,
                                            base::instant now)
{
    minion_pool_actions out;
    m_removed.erase(it.id);
    auto const [found, added] =
        m_minions.try_emplace(it.id, it, m_settings.health);
    if (!added)
    {
        found->second.set_endpoint(it);
    }
    dispatch(now, out);
    return out;
}

minion_pool_actions minion_pool::remove_minion(std::string const& minion,
                                               base::instant now)
{
    minion_pool_actions out;
    auto const found = m_minions.find(minion);
    if (found == m_minions.end())
    {
        return out;
    }
    // The platform's endpoint list may lag or be wrong. A minion that
    // disappears from it and returns must keep the count of its used slots.
    auto gone = found->second.endpoint();
    gone.state = model::listed_state::leaving;
    found->second.set_endpoint(std::move(gone));
    m_removed.insert(minion);
    erase_removed();
    dispatch(now, out);
    return out;
}

void minion_pool::adopt(std::string const& minion,
                        std::string const& request_id,
                        base::instant free_at,
                        base::instant now)
{
    auto const found = m_minions.find(minion);
    if (found != m_minions.end())
    {
        found->second.take_inherited(request_id, now, free_at);
        m_sent_calls.emplace(request_id,
                             sent_call{minion, now, base::duration{0}, false});
    }
}

minion_pool_actions minion_pool::offer(call const& it, base::instant now)
{
    minion_pool_actions out;
    if (!is_first_offer(it))
    {
        return out;
    }
    auto const left = it.deadline - now;
    m_allowed_s +=
        s_newest * (std::max(0.0, base::seconds_of(left)) - m_allowed_s);
    if (base::seconds_of(left) <= m_fast_run_time_s)
    {
        // Refused calls yield no measurement. Without this decay, calls with
        // little time left would be refused permanently once the minions had
        // been slow for a while.
        m_fast_run_time_s *= s_doubt;
        refuse(it, refusal_code::deadline_too_short, now, out);
        return out;
    }
    if (m_queue.empty())
    {
        if (auto* minion = least_loaded(left, now))
        {
            send(it, *minion, now, out);
            return out;
        }
    }
    enqueue(it, now, out);
    return out;
}

minion_pool_actions minion_pool::answered(std::string const& request_id,
                                          call_end end,
                                          base::instant now)
{
    minion_pool_actions out;
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end() || !found->second.awaited)
    {
        // A late answer: the caller has already had the final answer.
        out.emplace_back(drop_answer{request_id});
    }
    else
    {
        out.emplace_back(deliver_answer{request_id});
    }
    end_sent_call(request_id, end, now);
    dispatch(now, out);
    return out;
}

minion_pool_actions minion_pool::not_run(std::string const& request_id,
                                         base::instant now)
{
    minion_pool_actions out;
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end())
    {
        return out;
    }
    if (found->second.awaited)
    {
        out.emplace_back(refuse_call{
            request_id,
            {ran::not_run, refusal_code::minion_refused,
             "minion " + found->second.minion + " did not accept the call",
             s_least_retry_s}});
    }
    end_sent_call(request_id, call_end::failed, now);
    dispatch(now, out);
    return out;
}

minion_pool_actions
minion_pool::connection_closed(std::string const& request_id, base::instant now)
{
    minion_pool_actions out;
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end())
    {
        return out;
    }
    auto const minion = m_minions.find(found->second.minion);
    if (found->second.awaited)
    {
        stop_waiting(request_id, found->second, out);
        record_timeout(found->second, now);
    }
    if (minion != m_minions.end())
    {
        minion->second.linger(request_id,
                              found->second.sent_at + m_settings.max_run_time);
    }
    dispatch(now, out);
    return out;
}

minion_pool_actions minion_pool::freed(std::string const& request_id,
                                       base::instant now)
{
    minion_pool_actions out;
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end())
    {
        return out;
    }
    auto const minion = m_minions.find(found->second.minion);
    if (minion != m_minions.end())
    {
        minion->second.release(request_id);
    }
    m_sent_calls.erase(found);
    erase_removed();
    dispatch(now, out);
    return out;
}

minion_pool_actions minion_pool::give_up(std::string const& request_id,
                                         base::instant now)
{
    minion_pool_actions out;
    if (auto const waiting = m_queue.remove(request_id))
    {
        refuse(*waiting, refusal_code::deadline_too_short, now, out);
        return out;
    }
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end() || !found->second.awaited)
    {
        return out;
    }
    stop_waiting(request_id, found->second, out);
    return out;
}

minion_pool_actions
minion_pool::probed(std::string const& minion, bool there, base::instant now)
{
    minion_pool_actions out;
    auto const found = m_minions.find(minion);
    if (found != m_minions.end())
    {
        found->second.health().probed(there, now);
        dispatch(now, out);
    }
    return out;
}

minion_pool_actions minion_pool::stop()
{
    minion_pool_actions out;
    while (auto const it = m_queue.pop())
    {
        out.emplace_back(
            refuse_call{it->request_id,
                        {ran::not_run, refusal_code::stopping,
                         "the owner of group " + m_group + " is stopping",
                         s_least_retry_s}});
    }
    return out;
}

group_digest minion_pool::digest(base::instant now) const
{
    group_digest it;
    it.group = m_group;
    it.service = m_service;
    it.slots = usable_slots(now);
    for (auto const& [id, minion] : m_minions)
    {
        it.busy += std::min(minion.busy(), minion.usable(now));
    }
    it.queued = static_cast<std::int32_t>(m_queue.size());
    it.run_time = base::from_seconds(m_run_time_s);
    it.expected_wait =
        it.busy < it.slots && m_queue.empty()
            ? base::duration{0}
            : expected_wait(static_cast<double>(m_queue.size()), now);
    return it;
}

minion_slots const* minion_pool::find(std::string const& minion) const
{
    auto const it = m_minions.find(minion);
    return it == m_minions.end() ? nullptr : &it->second;
}

std::string minion_pool::minion_of(std::string const& request_id) const
{
    auto const it = m_sent_calls.find(request_id);
    return it == m_sent_calls.end() ? std::string{} : it->second.minion;
}

bool minion_pool::is_first_offer(call const& it)
{
    auto const hash = base::hash_of(it.request_id);
    if (!m_seen.insert(hash).second)
    {
        return false;
    }
    m_seen_until.emplace(it.deadline, hash);
    return true;
}

void minion_pool::send(call const& it,
                       minion_slots& minion,
                       base::instant now,
                       minion_pool_actions& out)
{
    minion.take(it.request_id, now);
    m_sent_calls.emplace(it.request_id, sent_call{minion.endpoint().id, now,
                                                  it.deadline - now, true});
    m_deadlines.emplace(it.deadline, it.request_id);
    out.emplace_back(send_to_minion{it.request_id, minion.endpoint().id,
                                    m_settings.max_run_time});
}

void minion_pool::stop_waiting(std::string const& request_id,
                               sent_call& it,
                               minion_pool_actions& out)
{
    it.awaited = false;
    auto const minion = m_minions.find(it.minion);
    if (minion != m_minions.end())
    {
        minion->second.give_up(request_id);
    }
    out.emplace_back(refuse_call{
        request_id,
        {ran::unknown, refusal_code::outcome_unknown,
         "no complete answer arrived from minion " + it.minion, 0}});
}

void minion_pool::record_timeout(sent_call const& it, base::instant now)
{
    // A call with little time left when it was sent is late on any minion. If
    // such calls were counted, good minions would be ejected exactly when calls
    // are waiting.
    auto const fair = m_settings.health.slow_factor * m_run_time_s;
    auto const minion = m_minions.find(it.minion);
    if (minion != m_minions.end() && base::seconds_of(it.time_left) >= fair)
    {
        minion->second.health().ended(call_end::timed_out, now - it.sent_at,
                                      now);
        eject_outlier(minion->second, now);
    }
}

void minion_pool::end_sent_call(std::string const& request_id,
                                call_end end,
                                base::instant now)
{
    auto const found = m_sent_calls.find(request_id);
    if (found == m_sent_calls.end())
    {
        return;
    }
    auto const it = found->second;
    m_sent_calls.erase(found);
    auto const minion = m_minions.find(it.minion);
    if (minion == m_minions.end())
    {
        return;
    }
    minion->second.release(request_id);
    auto const run = now - it.sent_at;
    auto& health = minion->second.health();
    if (it.awaited)
    {
        health.ended(end, run, now);
    }
    else if (end == call_end::succeeded)
    {
        health.answered_late(run, now);
    }
    // Late answers count too. Without them the running time is that of fast
    // calls only, the queue is allowed to grow accordingly, and even more
    // answers are late.
    if (end == call_end::succeeded && health.state() == health_state::active)
    {
        update_run_time(run);
    }
    eject_outlier(minion->second, now);
    erase_removed();
}

} // namespace berylhill::calls
