#include <cell_replay/replayed_instance.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell_replay
{

bool replayed_instance::start(scheduler::start_order const& it,
                              base::instant now)
{
    auto& last = m_last_run[it.attempt.task];
    if (last >= it.attempt.run)
    {
        return false;
    }
    last = it.attempt.run;
    auto const saved = it.checkpoint.empty() ? 0 : std::stod(it.checkpoint);
    run made;
    made.attempt = it.attempt;
    made.began = now;
    made.saved_s = saved;
    m_running.emplace(it.attempt, made);
    return true;
}

void replayed_instance::set_to_work(scheduler::attempt_name const& it,
                                    base::duration takes,
                                    base::instant now)
{
    auto& at = m_running.at(it);
    at.takes = takes;
    at.works_from = now;
}

std::optional<replayed_instance::run>
replayed_instance::end(scheduler::attempt_name const& it,
                       scheduler::end_reason reason,
                       std::string const& checkpoint)
{
    auto const at = m_running.find(it);
    if (at == m_running.end())
    {
        return std::nullopt;
    }
    auto const out = at->second;
    m_running.erase(at);
    m_ended.push_back({m_next_end++, it, reason, checkpoint});
    return out;
}

void replayed_instance::acknowledge(std::uint64_t number)
{
    std::erase_if(m_ended, [&](auto const& it) { return it.number <= number; });
}

scheduler::hold_report replayed_instance::report(base::instant now) const
{
    scheduler::hold_report out;
    out.instance = m_id;
    out.sent_at = now;
    out.read_at = now;
    out.clock_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                       now.time_since_epoch())
                       .count();
    for (auto const& [name, it] : m_running)
    {
        auto const worked = it.takes ? (now - it.works_from).count() : 0;
        auto const whole = it.takes ? std::max<long>(1, it.takes->count()) : 1;
        constexpr long percent = 100;
        out.running.push_back(
            {name, {}, static_cast<int>(percent * worked / whole)});
    }
    out.ended = m_ended;
    return out;
}

} // namespace berylhill::cell_replay
