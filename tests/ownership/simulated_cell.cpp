#include "simulated_cell.hpp"

#include <algorithm>

namespace berylhill::ownership
{

simulated_cell::simulated_cell(settings given)
    : m_settings{given}
{
    for (std::size_t n = 0; n < given.units; ++n)
    {
        m_units.insert("unit-" + std::to_string(n));
    }
    m_nodes.resize(given.instances);
    for (std::size_t i = 0; i < given.instances; ++i)
    {
        m_nodes[i].instance = "entry-" + std::to_string(i);
        create(i);
    }
    reset_gaps();
}

void simulated_cell::create(std::size_t i)
{
    auto& node = m_nodes[i];
    participant_options options;
    options.instance = node.instance;
    options.incarnation = node.instance + "." + std::to_string(node.starts);
    options.zone = "zone-" + std::to_string(i % m_settings.zones);
    node.it = std::make_unique<participant>(options, m_now);
    node.next = 0;
    node.alive = true;
    node.paused = false;
    perform(i, node.it->on_entry_list(list(), m_now));
    perform(i, node.it->set_units(m_units, m_now));
}

void simulated_cell::kill(std::size_t i)
{
    m_nodes[i].alive = false;
    m_nodes[i].listed_until = m_now + m_settings.list_lag;
}

void simulated_cell::restart(std::size_t i)
{
    ++m_nodes[i].starts;
    create(i);
}

void simulated_cell::pause(std::size_t i, bool paused)
{
    m_nodes[i].paused = paused;
}

void simulated_cell::stop(std::size_t i)
{
    perform(i, m_nodes[i].it->stop(m_now));
}

void simulated_cell::set_log(bool is_up)
{
    m_log_up = is_up;
}

void simulated_cell::cut(std::size_t i, bool is_cut)
{
    m_nodes[i].cut = is_cut;
}

std::set<std::string> simulated_cell::list() const
{
    std::set<std::string> names;
    for (auto const& it : m_nodes)
    {
        if (it.alive || m_now < it.listed_until)
        {
            names.insert(it.instance);
        }
    }
    return names;
}

void simulated_cell::perform(std::size_t i, actions const& list_of)
{
    for (auto const& it : list_of)
    {
        if (auto const* append = std::get_if<append_record>(&it))
        {
            m_appends.push_back({m_now + m_settings.append_duration, i, *append,
                                 m_nodes[i].starts});
        }
        else if (auto const* ask = std::get_if<send_vouch_request>(&it))
        {
            m_messages.push_back({i, ask->to, it});
            ++m_vouch_messages;
        }
        else if (auto const* answer = std::get_if<send_vouch_answer>(&it))
        {
            m_messages.push_back({i, answer->to, it});
            ++m_vouch_messages;
        }
        else if (auto const* suspected = std::get_if<send_suspicion>(&it))
        {
            m_messages.push_back({i, suspected->to, it});
        }
        else
        {
            perform(i, m_nodes[i].it->on_entry_list(list(), m_now));
        }
    }
}

void simulated_cell::complete_appends()
{
    while (!m_appends.empty() && m_appends.front().due <= m_now)
    {
        auto const it = m_appends.front();
        m_appends.pop_front();
        auto& node = m_nodes[it.node];
        if (m_log_up)
        {
            m_log.push_back(it.entry.value);
        }
        else if (node.alive && node.starts == it.start)
        {
            perform(it.node,
                    node.it->on_append_settled(
                        it.entry.ticket, append_outcome::never_written, m_now));
        }
    }
}

void simulated_cell::deliver()
{
    auto const messages = std::move(m_messages);
    m_messages.clear();
    for (auto const& it : messages)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            auto& node = m_nodes[i];
            auto const is_unreachable = node.cut || m_nodes[it.from].cut;
            if (node.instance != it.to || !node.alive || node.paused ||
                is_unreachable)
            {
                continue;
            }
            if (auto const* ask = std::get_if<send_vouch_request>(&it.message))
            {
                perform(i, node.it->on_vouch_request(ask->message, m_now));
                continue;
            }
            if (auto const* suspected =
                    std::get_if<send_suspicion>(&it.message))
            {
                perform(i, node.it->on_suspicion(suspected->message, m_now));
                continue;
            }
            auto const& answer = std::get<send_vouch_answer>(it.message);
            perform(i, node.it->on_vouch_answer(answer.message, m_now));
        }
    }
}

bool simulated_cell::is_due(base::duration period, std::size_t i) const
{
    auto const shift = m_settings.step * static_cast<std::int64_t>(i);
    return (m_now.time_since_epoch() + shift) % period < m_settings.step;
}

void simulated_cell::run_process(std::size_t i)
{
    auto& node = m_nodes[i];
    if (!node.alive || node.paused)
    {
        return;
    }
    if (is_due(m_settings.heartbeat_interval, i))
    {
        auto const targets = node.it->heartbeat_targets();
        for (std::size_t to = 0; to < m_nodes.size(); ++to)
        {
            auto& other = m_nodes[to];
            if (targets.contains(other.instance))
            {
                ++m_heartbeats;
                if (other.alive && !other.paused && !other.cut && !node.cut)
                {
                    perform(to, other.it->on_heartbeat(node.it->own_heartbeat(),
                                                       m_now));
                }
            }
        }
        perform(i, node.it->on_entry_list(list(), m_now));
    }
    if (m_log_up && is_due(m_settings.read_interval, i))
    {
        std::vector<std::pair<std::int64_t, record>> records;
        auto const end = static_cast<std::int64_t>(m_log.size());
        for (auto n = node.next; n < end; ++n)
        {
            records.emplace_back(n, m_log[static_cast<std::size_t>(n)]);
        }
        node.next = end;
        perform(i, node.it->on_log_read(records, end, m_now, m_now));
    }
    if (is_due(m_settings.tick_interval, i))
    {
        perform(i, node.it->tick(m_now));
    }
}

void simulated_cell::run(base::duration span)
{
    for (auto const until = m_now + span; m_now < until;
         m_now += m_settings.step)
    {
        complete_appends();
        deliver();
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
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
        for (auto const& it : m_nodes)
        {
            n += it.alive && it.it->active_epoch(unit, m_now) ? 1 : 0;
        }
        m_conflicts += n > 1 ? 1 : 0;
        auto& last = m_last_acted[unit];
        if (n == 0)
        {
            auto& gap = m_gaps[unit];
            gap = std::max(gap, m_now - last);
            continue;
        }
        last = m_now;
    }
}

std::size_t simulated_cell::acted_on() const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        n += acted_on_by(i).size();
    }
    return n;
}

std::vector<std::string> simulated_cell::acted_on_by(std::size_t i) const
{
    std::vector<std::string> names;
    if (!m_nodes[i].alive || m_nodes[i].paused)
    {
        return names;
    }
    for (auto const& unit : m_units)
    {
        if (m_nodes[i].it->active_epoch(unit, m_now))
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
        m_last_acted[unit] = m_now;
    }
}

} // namespace berylhill::ownership
