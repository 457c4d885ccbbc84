#include <soak/run.hpp>

#include <soak/client.hpp>

#include <algorithm>
#include <memory>
#include <optional>

namespace berylhill::soak
{

namespace
{

using clock = std::chrono::steady_clock;

/// Before the first fault, so that an owner has been found.
constexpr std::chrono::seconds quiet{2};

/// How long the loop runs before processes and instances are looked after.
constexpr std::chrono::milliseconds turn{10};

/// From the last fault until every accepted job has to have ended: leases of
/// instances that went silent (8 s), and a takeover.
constexpr std::chrono::seconds settle_limit{40};
/// The same where each of the tasks of a job takes many seconds.
constexpr std::chrono::seconds long_settle_limit{80};

/// From a change of the configuration until it is in force.
constexpr std::chrono::seconds configuration_limit{5};

class play_through
{
public:
    explicit play_through(run_settings const& it)
        : m_settings{it}
        , m_seen{cell::room, client::task_names(it.size.jobs == job_kind::wide
                                                    ? cell::wide_step
                                                    : cell::small_step)}
        , m_cell{m_loop, it.binary, it.folder, it.size, it.seed, m_seen}
    {
        for (std::size_t n = 0; n < it.clients; ++n)
        {
            m_clients.push_back(std::make_unique<client>(m_loop, m_cell, m_seen,
                                                         it.seed * 1'000 + n));
        }
    }

    run_end go()
    {
        for (auto const& it : m_clients)
        {
            it->start();
        }
        run_for(quiet);
        m_settings.size.slow_store ? play_slow_store() : play_faults();
        m_cell.heal();
        for (auto const& it : m_clients)
        {
            it->finish();
        }
        run_until(m_settings.size.islands || m_settings.size.moves_queues
                      ? long_settle_limit
                      : settle_limit,
                  [this] { return all_idle(); });
        check_configuration();
        run_for(ledger::cancel_bound + ledger::stop_bound + turn);
        m_seen.finish();
        return {m_seen.findings(), m_seen.accepted(), m_seen.owed(),
                m_seen.starts(),
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_longest_turn)};
    }

private:
    struct change
    {
        clock::time_point at;
        fault what;
        bool begins{true};
    };

    void play_faults()
    {
        auto const start = clock::now();
        std::vector<change> changes;
        for (auto const& it : faults_of(m_settings))
        {
            changes.push_back({start + it.at, it, true});
            changes.push_back({start + it.at + it.length, it, false});
        }
        std::ranges::sort(changes, {}, &change::at);
        for (auto const& it : changes)
        {
            run_for(it.at - clock::now());
            it.begins ? m_cell.begin(it.what) : m_cell.end(it.what);
            m_faults += it.begins ? 1 : -1;
            m_seen.disturbed(clock::now());
        }
    }

    /// The store is slow for all of the time.
    void play_slow_store()
    {
        m_cell.set_store_delay(cell::slow_answer);
        run_for(m_settings.length);
        m_seen.disturbed(clock::now());
    }

    template <class Done>
    void run_until(clock::duration limit, Done done)
    {
        auto const end = clock::now() + limit;
        while (!done() && clock::now() < end)
        {
            auto const began = clock::now();
            m_loop.restart();
            m_loop.run_for(turn);
            m_cell.look_after_processes();
            m_cell.look_after_instances();
            m_longest_turn = std::max(m_longest_turn, clock::now() - began);
            if (m_faults > 0)
            {
                m_seen.disturbed(clock::now());
            }
            m_seen.check_cancelled(clock::now());
        }
    }

    void run_for(clock::duration length)
    {
        run_until(length, [] { return false; });
    }

    [[nodiscard]] bool all_idle() const
    {
        return std::ranges::all_of(m_clients,
                                   [](auto const& it) { return it->idle(); });
    }

    /// Every process has the newest configuration: what it added is there, and
    /// what it took out is not.
    void check_configuration()
    {
        constexpr unsigned ok = 200;
        constexpr unsigned not_found = 404;
        for (std::size_t n = 0; n < m_cell.processes(); ++n)
        {
            check_queue(n, m_cell.added_queue(), ok);
            check_queue(n, m_cell.removed_queue(), not_found);
        }
    }

    void
    check_queue(std::size_t process, std::string const& path, unsigned wanted)
    {
        if (path.empty())
        {
            return;
        }
        network::http_client asker{m_loop, {}};
        unsigned status = 0;
        auto const end = clock::now() + configuration_limit;
        while (status != wanted && clock::now() < end)
        {
            std::optional<unsigned> got;
            asker.call(
                m_cell.callers_of(process),
                {network::http_method::get, path, m_cell.fields_of(0), {}, {}},
                std::chrono::seconds{1},
                [&](network::call_result const& it)
                { got = it.response.status; });
            run_until(std::chrono::seconds{2}, [&] { return got.has_value(); });
            status = got.value_or(0);
        }
        if (status != wanted)
        {
            m_seen.found("process " + std::to_string(process) + " answers " +
                         std::to_string(status) + " for " + path);
        }
    }

    run_settings const& m_settings;
    boost::asio::io_context m_loop;
    ledger m_seen;
    cell m_cell;
    std::vector<std::unique_ptr<client>> m_clients;
    clock::duration m_longest_turn{0};
    /// That last.
    int m_faults{0};
};

} // namespace

std::vector<fault> faults_of(run_settings const& it)
{
    auto out = it.size.store_turns_away ? store_plan_of(it.seed, it.length)
                                        : plan_of(it.seed, it.length);
    auto const add = [&](std::vector<fault> const& more)
    {
        out.insert(out.end(), more.begin(), more.end());
        std::ranges::sort(out);
    };
    if (it.size.orders == order_kind::late)
    {
        add(order_plan_of(it.seed, it.length));
    }
    if (it.size.callers == caller_kind::accounts)
    {
        add(key_plan_of(it.seed, it.length));
    }
    if (it.size.islands)
    {
        add(island_plan_of(it.seed, it.length));
    }
    else if (it.size.moves_queues)
    {
        add(move_plan_of(it.seed, it.length));
    }
    else if (it.size.keeps_ids)
    {
        add(life_plan_of(it.seed, it.length));
    }
    return out;
}

run_end play(run_settings const& it)
{
    return play_through{it}.go();
}

} // namespace berylhill::soak
