#include "system_state.hpp"

#include <algorithm>

namespace berylhill::ownership
{

namespace
{

constexpr auto s_unit = "u";
constexpr base::duration s_never = std::chrono::hours{1};

participant_options options_of(std::string const& name,
                               system_state::bounds const& limits)
{
    participant_options it;
    it.incarnation = name;
    it.instance = name;
    it.zone = "z";
    it.lease_duration = base::duration{limits.lease_duration};
    it.clock_margin = {};
    // Without heartbeats, each process claims at the first tick at which the
    // protocol allows it.
    it.suspect_after = {};
    it.isolated_suspect_after = {};
    it.min_peers_for_isolation = 100;
    it.claim_delay_step = {};
    it.min_leave_delay = {};
    it.rebalance_interval = s_never;
    it.snapshot_interval = s_never;
    it.rules = limits.rules;
    return it;
}

} // namespace

system_state::system_state(bounds limits)
    : m_bounds{std::move(limits)}
    , m_log{std::make_shared<std::vector<record>>()}
{
    start("e");
    settle(0);
    start("p");
    settle(0);
    if (m_bounds.third_process == third_process_state::joined_unknown_to_owner)
    {
        start("j");
        settle(1);
    }
    m_claims = 0;
}

system_state::process& system_state::edit(std::size_t i)
{
    auto const copy = std::make_shared<process>(*m_processes[i]);
    copy->digested_at = -1;
    m_processes[i] = copy;
    return *copy;
}

void system_state::start(std::string const& name)
{
    m_processes.push_back(std::make_shared<process>(
        process{name, participant{options_of(name, m_bounds), at(m_now)}}));
    m_list.insert(name);
    auto const i = m_processes.size() - 1;
    auto& it = edit(i).it;
    perform(i, it.on_entry_list(m_list, at(m_now)));
    perform(i, it.set_units({s_unit}, at(m_now)));
}

void system_state::settle(std::size_t first)
{
    for (int round = 0; round < 4; ++round)
    {
        for (auto i = first; i < m_processes.size(); ++i)
        {
            read(i);
        }
        while (!m_appends.empty())
        {
            append_to_log(0);
        }
    }
}

void system_state::perform(std::size_t i, actions const& list)
{
    for (auto const& it : list)
    {
        if (auto const* append = std::get_if<append_record>(&it))
        {
            m_appends.push_back({i, *append});
        }
        else if (auto const* request = std::get_if<send_vouch_request>(&it))
        {
            std::erase_if(m_messages,
                          [&](network_message const& old)
                          {
                              return old.requester == request->message.from &&
                                     old.round != request->message.round;
                          });
            m_messages.push_back({request->to, request->message.from,
                                  request->message.round, request->message});
        }
        else if (auto const* answer = std::get_if<send_vouch_answer>(&it))
        {
            m_messages.push_back({answer->to, answer->to, answer->message.round,
                                  answer->message});
        }
        else if (std::holds_alternative<fetch_entry_list>(it) &&
                 m_bounds.crashes)
        {
            // An older fetch cannot confirm the new round.
            std::erase_if(m_list_fetches, [&](list_fetch const& old)
                          { return old.process == i; });
            m_list_fetches.push_back({i, m_now});
        }
    }
    drop_stale_messages();
}

void system_state::drop_stale_messages()
{
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
        auto const& it = *m_processes[i];
        if (!state_digester::has_open_round(it.it))
        {
            std::erase_if(m_messages, [&](network_message const& old)
                          { return old.requester == it.name; });
            std::erase_if(m_list_fetches, [&](list_fetch const& old)
                          { return old.process == i; });
        }
    }
}

void system_state::read(std::size_t i)
{
    auto& it = edit(i);
    std::vector<std::pair<std::int64_t, record>> records;
    auto const end = static_cast<std::int64_t>(m_log->size());
    for (auto n = it.next; n < end; ++n)
    {
        records.emplace_back(n, (*m_log)[static_cast<std::size_t>(n)]);
    }
    it.next = end;
    perform(i, it.it.on_log_read(records, end, at(m_now), at(m_now)));
}

void system_state::tick(std::size_t i)
{
    perform(i, edit(i).it.tick(at(m_now)));
}

void system_state::append_to_log(std::size_t i)
{
    auto log = std::make_shared<std::vector<record>>(*m_log);
    log->push_back(m_appends[i].append.value);
    m_claims += std::holds_alternative<claim>(log->back()) ? 1 : 0;
    state_digester digest;
    digest.add(m_log_digest);
    digest.add(log->back());
    m_log_digest = digest.result();
    m_log = std::move(log);
    m_appends.erase(m_appends.begin() + static_cast<std::ptrdiff_t>(i));
}

void system_state::reject(std::size_t i)
{
    auto const it = m_appends[i];
    m_appends.erase(m_appends.begin() + static_cast<std::ptrdiff_t>(i));
    ++m_rejections;
    perform(it.process, edit(it.process)
                            .it.on_append_settled(it.append.ticket,
                                                  append_outcome::never_written,
                                                  at(m_now)));
}

void system_state::deliver(std::size_t i)
{
    auto const it = m_messages[i];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        if (m_processes[n]->name != it.to || m_processes[n]->crashed)
        {
            continue;
        }
        auto& to = edit(n);
        if (auto const* request = std::get_if<vouch_request>(&it.message))
        {
            perform(n, to.it.on_vouch_request(*request, at(m_now)));
            continue;
        }
        perform(n, to.it.on_vouch_answer(std::get<vouch_answer>(it.message),
                                         at(m_now)));
    }
}

void system_state::answer_fetch(std::size_t i)
{
    auto const it = m_list_fetches[i];
    m_list_fetches.erase(m_list_fetches.begin() +
                         static_cast<std::ptrdiff_t>(i));
    perform(it.process,
            edit(it.process).it.on_entry_list(m_list, at(it.as_of)));
}

template <class Change>
void system_state::visit_changed(std::string const& label,
                                 visitor const& visit,
                                 Change const& change) const
{
    auto next = *this;
    change(next);
    visit("t=" + std::to_string(m_now) + " " + label, next);
}

void system_state::for_each_step(visitor const& visit) const
{
    if (m_now < m_bounds.horizon)
    {
        visit_changed("time passes", visit,
                      [](system_state& it) { ++it.m_now; });
    }
    if (m_bounds.third_process == third_process_state::starts &&
        m_processes.size() < 3)
    {
        visit_changed("j starts", visit,
                      [](system_state& it) { it.start("j"); });
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i)
    {
        if (!m_processes[i]->crashed)
        {
            visit_process(i, visit);
        }
    }
    visit_log(visit);
    visit_network(visit);
}

void system_state::visit_process(std::size_t i, visitor const& visit) const
{
    auto const& name = m_processes[i]->name;
    if (!m_bounds.owner_cannot_read || i != 0)
    {
        visit_changed(name + " reads the log to its end", visit,
                      [&](system_state& it) { it.read(i); });
    }
    if (m_bounds.all_tick || i == 0)
    {
        visit_changed(name + " ticks", visit,
                      [&](system_state& it) { it.tick(i); });
    }
    auto const is_stopping = m_processes[i]->it.own_heartbeat().leaving;
    if (m_bounds.stops == name && !is_stopping)
    {
        visit_changed(name + " is asked to stop", visit,
                      [&](system_state& it)
                      { it.perform(i, it.edit(i).it.stop(at(m_now))); });
    }
    if (m_bounds.crashes && name == "p")
    {
        visit_changed(name + " dies", visit,
                      [&](system_state& it) { it.edit(i).crashed = true; });
    }
}

void system_state::visit_log(visitor const& visit) const
{
    for (std::size_t i = 0; i < m_appends.size(); ++i)
    {
        auto label = m_processes[m_appends[i].process]->name + "'s ";
        auto const type = to_json(m_appends[i].append.value)["type"].asString();
        label += type;
        if (type != "claim" || m_claims < m_bounds.claims)
        {
            visit_changed(label + " takes effect", visit,
                          [&](system_state& it) { it.append_to_log(i); });
        }
        if (m_rejections < m_bounds.rejections)
        {
            visit_changed(label + " is refused", visit,
                          [&](system_state& it) { it.reject(i); });
        }
    }
}

void system_state::visit_network(visitor const& visit) const
{
    for (std::size_t i = 0; i < m_messages.size(); ++i)
    {
        auto const& it = m_messages[i];
        auto const* request = std::get_if<vouch_request>(&it.message);
        auto const label =
            request != nullptr
                ? it.to + " gets " + request->from + "'s request and answers"
                : it.to + " gets the answer of " +
                      std::get<vouch_answer>(it.message).from;
        visit_changed(label, visit,
                      [&](system_state& next) { next.deliver(i); });
    }
    for (std::size_t i = 0; i < m_list_fetches.size(); ++i)
    {
        visit_changed(m_processes[m_list_fetches[i].process]->name +
                          " gets the list",
                      visit, [&](system_state& it) { it.answer_fetch(i); });
    }
    for (auto const& it : m_processes)
    {
        if (it->crashed && m_list.contains(it->name))
        {
            visit_changed("the list no longer has " + it->name, visit,
                          [&](system_state& next)
                          { next.m_list.erase(it->name); });
        }
    }
}

std::vector<std::string> system_state::active_processes() const
{
    std::vector<std::string> names;
    for (auto const& it : m_processes)
    {
        if (!it->crashed && it->it.active_epoch(s_unit, at(m_now)))
        {
            names.push_back(it->name);
        }
    }
    return names;
}

state_digester::digest system_state::digest_of(process const& of) const
{
    if (of.digested_at != m_now)
    {
        state_digester it;
        it.add(of.it, at(m_now));
        it.add(of.next);
        it.add(of.crashed);
        of.digest = it.result();
        of.digested_at = m_now;
    }
    return of.digest;
}

state_digester::digest system_state::digest() const
{
    // The order of messages and appends in flight is irrelevant, so their
    // digests are sorted.
    std::vector<state_digester::digest> parts;
    for (auto const& each : m_appends)
    {
        state_digester part;
        part.add(each.process);
        part.add(each.append.value);
        parts.push_back(part.result());
    }
    for (auto const& each : m_messages)
    {
        state_digester part;
        part.add(each.to);
        part.add(each.message);
        parts.push_back(part.result());
    }
    for (auto const& each : m_list_fetches)
    {
        state_digester part;
        part.add(each.process);
        part.add(each.as_of);
        parts.push_back(part.result());
    }
    std::sort(parts.begin(), parts.end());
    state_digester it;
    it.add(m_now);
    for (auto const& each : m_processes)
    {
        it.add(digest_of(*each));
    }
    it.add(m_log_digest);
    it.add(parts);
    it.add(m_list);
    it.add(m_rejections);
    return it.result();
}

} // namespace berylhill::ownership
