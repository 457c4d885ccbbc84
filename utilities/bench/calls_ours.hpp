#pragma once

#include "calls_experiment.hpp"

#include <calls/call_dispatcher.hpp>
#include <calls/minion_pool.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace berylhill::bench
{

/// Entries that each own one group and route over all; digests are as late as
/// gossip and answers make them.
class ours final : public experiment
{
public:
    ours(double load, badness kind, base::duration allowed, std::uint64_t seed)
        : experiment{load, kind, allowed, seed}
    {
        for (int e = 0; e < s_entries; ++e)
        {
            m_entries.emplace_back(calls::router_settings{},
                                   calls::retry_settings{},
                                   calls::generator{seed + 100 + e});
        }
        for (int g = 0; g < s_groups; ++g)
        {
            m_ledgers.emplace_back("g-" + std::to_string(g), "report-svc",
                                   calls::minion_pool_settings{},
                                   calls::generator{seed + 3 + g});
        }
        for (int i = 0; i < s_minions; ++i)
        {
            model::endpoint it;
            it.id = std::to_string(i);
            it.slots = s_slots;
            it.connections = s_connections;
            auto const g = static_cast<std::size_t>(i % s_groups);
            act(g, m_ledgers[g].set_minion(it, m_time.now()));
        }
        gossip();
        look();
    }

private:
    calls::group_digest digest_of(std::size_t g)
    {
        auto digest = m_ledgers[g].digest(m_time.now());
        digest.sequence = ++m_sequence;
        return digest;
    }

    void gossip()
    {
        for (std::size_t g = 0; g < m_ledgers.size(); ++g)
        {
            m_time.after(s_hop,
                         [this, digest = digest_of(g)]
                         {
                             for (auto& each : m_entries)
                             {
                                 each.update_group(digest, m_time.now());
                             }
                         });
        }
        m_time.after(s_gossip, [this] { gossip(); });
    }

    void look()
    {
        for (std::size_t g = 0; g < m_ledgers.size(); ++g)
        {
            act(g, m_ledgers[g].expire(m_time.now()));
        }
        for (auto& it : m_entries)
        {
            act(it.expire(m_time.now()));
        }
        m_time.after(milliseconds{1}, [this] { look(); });
    }

    void start(shared_request const& it) override
    {
        m_requests.emplace(it->call.request_id, it);
        auto const entry = entry_of(it->call.request_id);
        act(m_entries[entry].start(it->call, "report-svc", m_time.now()));
    }

    static std::size_t entry_of(std::string const& request_id)
    {
        return static_cast<std::size_t>(std::stoll(request_id)) * 7919 / 31 %
               s_entries;
    }

    void act(calls::dispatch_actions const& actions)
    {
        for (auto const& it : actions)
        {
            if (auto const* send = std::get_if<calls::send_to_owner>(&it))
            {
                offer(*send);
            }
            else if (auto const* good =
                         std::get_if<calls::deliver_attempt>(&it))
            {
                end(good->request_id, true);
            }
            else if (auto const* bad = std::get_if<calls::refuse_request>(&it))
            {
                end(bad->request_id, false);
            }
            else if (auto const* gone = std::get_if<calls::cancel_attempt>(&it))
            {
                auto const g = group_of(gone->at.group);
                m_time.after(s_hop,
                             [this, g, id = gone->attempt_id] {
                                 act(g, m_ledgers[g].give_up(id, m_time.now()));
                             });
            }
        }
    }

    static std::size_t group_of(std::string const& group)
    {
        return static_cast<std::size_t>(std::stoi(group.substr(2)));
    }

    void offer(calls::send_to_owner const& send)
    {
        count_attempt(*m_requests.at(send.request_id));
        auto const g = group_of(send.to.group);
        m_time.after(s_hop, [this, g, call = send.attempt]
                     { act(g, m_ledgers[g].offer(call, m_time.now())); });
    }

    void end(std::string const& request_id, bool good)
    {
        auto const it = m_requests.extract(request_id);
        finish(*it.mapped(), good);
    }

    void act(std::size_t g, calls::minion_pool_actions const& actions)
    {
        for (auto const& it : actions)
        {
            if (auto const* send = std::get_if<calls::send_to_minion>(&it))
            {
                send_out(g, *send);
            }
            else if (auto const* bad = std::get_if<calls::refuse_call>(&it))
            {
                back(g, {bad->request_id, calls::attempt_end_of(bad->why),
                         bad->why});
            }
            else if (auto const* good = std::get_if<calls::deliver_answer>(&it))
            {
                back(g, {good->request_id, calls::attempt_end::answered, {}});
            }
            else if (auto const* probe = std::get_if<calls::probe_minion>(&it))
            {
                // Bad minions of all kinds answer a ping.
                m_time.after(
                    2 * s_hop, [this, g, id = probe->minion]
                    { act(g, m_ledgers[g].probed(id, true, m_time.now())); });
            }
        }
    }

    /// Every answer of an owner carries its digest.
    void back(std::size_t g, calls::attempt_report const& report)
    {
        m_time.after(s_hop,
                     [this, report, digest = digest_of(g)]
                     {
                         auto& it = m_entries[entry_of(report.attempt_id)];
                         it.update_group(digest, m_time.now());
                         act(it.attempt_ended(report, m_time.now()));
                     });
    }

    void send_out(std::size_t g, calls::send_to_minion const& send)
    {
        auto const& id = send.request_id;
        auto const it = m_requests.find(id.substr(0, id.find('/')));
        count_send(it == m_requests.end() ? base::instant{} : it->second->came);
        m_time.after(s_hop,
                     [this, g, id, to = std::stoi(send.minion)]
                     {
                         m_minions[static_cast<std::size_t>(to)]->call(
                             [this, g, id](bool ran) {
                                 m_time.after(s_hop, [this, g, id, ran]
                                              { answered(g, id, ran); });
                             });
                     });
    }

    void answered(std::size_t g, std::string const& id, bool ran)
    {
        auto const now = m_time.now();
        act(g, ran ? m_ledgers[g].answered(id, calls::call_end::succeeded, now)
                   : m_ledgers[g].not_run(id, now));
    }

    std::vector<calls::minion_pool> m_ledgers;
    std::vector<calls::call_dispatcher> m_entries;
    std::int64_t m_sequence{0};
    std::unordered_map<std::string, shared_request> m_requests;
};

} // namespace berylhill::bench
