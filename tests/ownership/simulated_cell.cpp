#include "simulated_cell.hpp"

#include <algorithm>

namespace berylhill::ownership
{

simulated_cell::simulated_cell(settings options)
    : m_settings{options}
{
    for (std::size_t n = 0; n < options.units; ++n)
    {
        m_units.insert("unit-" + std::to_string(n));
    }
    m_processes.resize(options.instances);
    for (std::size_t i = 0; i < options.instances; ++i)
    {
        m_processes[i].instance = "entry-" + std::to_string(i);
        create(i);
    }
    reset_gaps();
}

void simulated_cell::create(std::size_t i)
{
    auto& process = m_processes[i];
    participant_options options;
    options.instance = process.instance;
    options.incarnation =
        process.instance + "." + std::to_string(process.starts);
    options.zone = "zone-" + std::to_string(i % m_settings.zones);
    process.protocol = std::make_unique<participant>(options, m_now);
    process.next = 0;
    process.alive = true;
    process.paused = false;
    perform(i, process.protocol->on_entry_list(endpoint_list(), m_now));
    perform(i, process.protocol->set_units(m_units, m_now));
}

void simulated_cell::kill(std::size_t i)
{
    m_processes[i].alive = false;
    m_processes[i].listed_until = m_now + m_settings.list_lag;
}

void simulated_cell::restart(std::size_t i)
{
    ++m_processes[i].starts;
    create(i);
}

void simulated_cell::pause(std::size_t i, bool paused)
{
    m_processes[i].paused = paused;
}

void simulated_cell::stop(std::size_t i)
{
    perform(i, m_processes[i].protocol->stop(m_now));
}

void simulated_cell::set_log_available(bool is_available)
{
    m_log_is_available = is_available;
}

void simulated_cell::partition(std::size_t i, bool is_partitioned)
{
    m_processes[i].partitioned = is_partitioned;
}

std::set<std::string> simulated_cell::endpoint_list() const
{
    std::set<std::string> names;
    for (auto const& it : m_processes)
    {
        if (it.alive || m_now < it.listed_until)
        {
            names.insert(it.instance);
        }
    }
    return names;
}

void simulated_cell::perform(std::size_t i, actions const& list)
{
    for (auto const& it : list)
    {
        if (auto const* append = std::get_if<append_record>(&it))
        {
            m_appends.push_back({m_now + m_settings.append_duration, i, *append,
                                 m_processes[i].starts});
        }
        else if (auto const* request = std::get_if<send_vouch_request>(&it))
        {
            m_messages.push_back({i, request->to, it});
            ++m_vouch_messages;
        }
        else if (auto const* answer = std::get_if<send_vouch_answer>(&it))
        {
            m_messages.push_back({i, answer->to, it});
            ++m_vouch_messages;
        }
        else if (auto const* suspicion_message =
                     std::get_if<send_suspicion>(&it))
        {
            m_messages.push_back({i, suspicion_message->to, it});
        }
        else
        {
            perform(i, m_processes[i].protocol->on_entry_list(endpoint_list(),
                                                              m_now));
        }
    }
}

void simulated_cell::complete_appends()
{
    while (!m_appends.empty() && m_appends.front().due <= m_now)
    {
        auto const it = m_appends.front();
        m_appends.pop_front();
        auto& process = m_processes[it.process];
        if (m_log_is_available)
        {
            m_log.push_back(it.append.value);
        }
        else if (process.alive && process.starts == it.start)
        {
            perform(it.process, process.protocol->on_append_settled(
                                    it.append.ticket,
                                    append_outcome::never_written, m_now));
        }
    }
}

void simulated_cell::deliver()
{
    auto const messages = std::move(m_messages);
    m_messages.clear();
    for (auto const& it : messages)
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i)
        {
            auto& process = m_processes[i];
            auto const is_unreachable =
                process.partitioned || m_processes[it.from].partitioned;
            if (process.instance != it.to || !process.alive || process.paused ||
                is_unreachable)
            {
                continue;
            }
            if (auto const* request =
                    std::get_if<send_vouch_request>(&it.message))
            {
                perform(i, process.protocol->on_vouch_request(request->message,
                                                              m_now));
                continue;
            }
            if (auto const* suspicion_message =
                    std::get_if<send_suspicion>(&it.message))
            {
                perform(i, process.protocol->on_suspicion(
                               suspicion_message->message, m_now));
                continue;
            }
            auto const& answer = std::get<send_vouch_answer>(it.message);
            perform(i,
                    process.protocol->on_vouch_answer(answer.message, m_now));
        }
    }
}

bool simulated_cell::is_due(base::duration period, std::size_t i) const
{
    auto const offset = m_settings.step * static_cast<std::int64_t>(i);
    return (m_now.time_since_epoch() + offset) % period < m_settings.step;
}

void simulated_cell::run_process(std::size_t i)
{
    auto& process = m_processes[i];
    if (!process.alive || process.paused)
    {
        return;
    }
    if (is_due(m_settings.heartbeat_interval, i))
    {
        auto const targets = process.protocol->heartbeat_targets();
        for (std::size_t to = 0; to < m_processes.size(); ++to)
        {
            auto& other = m_processes[to];
            if (targets.contains(other.instance))
            {
                ++m_heartbeats;
                if (other.alive && !other.paused && !other.partitioned &&
                    !process.partitioned)
                {
                    perform(to, other.protocol->on_heartbeat(
                                    process.protocol->own_heartbeat(), m_now));
                }
            }
        }
        perform(i, process.protocol->on_entry_list(endpoint_list(), m_now));
    }
    if (m_log_is_available && is_due(m_settings.read_interval, i))
    {
        std::vector<std::pair<std::int64_t, record>> records;
        auto const end = static_cast<std::int64_t>(m_log.size());
        for (auto n = process.next; n < end; ++n)
        {
            records.emplace_back(n, m_log[static_cast<std::size_t>(n)]);
        }
        process.next = end;
        perform(i, process.protocol->on_log_read(records, end, m_now, m_now));
    }
    if (is_due(m_settings.tick_interval, i))
    {
        perform(i, process.protocol->tick(m_now));
    }
}

void simulated_cell::run(base::duration span)
{
    for (auto const until = m_now + span; m_now < until;
         m_now += m_settings.step)
    {
        complete_appends();
        deliver();
        for (std::size_t i = 0; i < m_processes.size(); ++i)
        {
            run_process(i);
        }
        record_gaps();
    }
}

void simulated_cell::record_gaps()
{
    for (auto const& unit : m_units)
    {
        std::size_t n = 0;
        for (auto const& it : m_processes)
        {
            n += it.alive && it.protocol->active_epoch(unit, m_now) ? 1 : 0;
        }
        m_conflicts += n > 1 ? 1 : 0;
        auto& last = m_last_active[unit];
        if (n == 0)
        {
            auto& gap = m_gaps[unit];
            gap = std::max(gap, m_now - last);
            continue;
        }
        last = m_now;
    }
}

std::size_t simulated_cell::active_units() const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
        n += active_units_of(i).size();
    }
    return n;
}

std::vector<std::string> simulated_cell::active_units_of(std::size_t i) const
{
    std::vector<std::string> names;
    if (!m_processes[i].alive || m_processes[i].paused)
    {
        return names;
    }
    for (auto const& unit : m_units)
    {
        if (m_processes[i].protocol->active_epoch(unit, m_now))
        {
            names.push_back(unit);
        }
    }
    return names;
}

base::duration simulated_cell::longest_gap() const
{
    base::duration longest{};
    for (auto const& [unit, it] : m_gaps)
    {
        longest = std::max(longest, it);
    }
    return longest;
}

std::size_t simulated_cell::units_with_gap(base::duration longer_than) const
{
    return static_cast<std::size_t>(
        std::count_if(m_gaps.begin(), m_gaps.end(),
                      [&](auto const& it) { return it.second > longer_than; }));
}

void simulated_cell::reset_gaps()
{
    m_gaps.clear();
    for (auto const& unit : m_units)
    {
        m_last_active[unit] = m_now;
    }
}

} // namespace berylhill::ownership
