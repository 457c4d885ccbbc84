#include "figures.hpp"
#include "virtual_time.hpp"

#include <calls/admission.hpp>

#include <boost/random/exponential_distribution.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// How exactly the limits of one contract hold over all entries together while
/// entries come and go: how far above, and how much is left unused.
namespace berylhill::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr double s_rate = 900;
constexpr std::int64_t s_burst = 180;
constexpr std::int64_t s_at_once = 90;
constexpr double s_run_s = 0.08;
constexpr base::duration s_gossip{milliseconds{200}};
constexpr base::duration s_hop{milliseconds{1}};
/// From a death or a start until the view of the others shows it.
constexpr base::duration s_view_lag{milliseconds{2'000}};
constexpr base::duration s_churn{milliseconds{4'000}};
constexpr base::duration s_warm_up{milliseconds{5'000}};
constexpr base::duration s_length{milliseconds{65'000}};
constexpr base::duration s_window{milliseconds{1'000}};

enum class balance : std::uint8_t
{
    even,   ///< The balancer spreads calls over the entries evenly.
    moving, ///< Half of the calls go to one entry, another one every 5 s.
};

struct limits_result
{
    double most_in_window{0};
    double most_at_once{0};
    double admitted{0};
    double offered{0};
    /// Questions to homes.
    double asks{0};
};

class limits_experiment
{
public:
    limits_experiment(
        int entries, double load, balance how, bool churn, std::uint64_t seed)
        : m_random{seed}
        , m_load{load}
        , m_how{how}
    {
        m_contract.name = "kitakaze";
        m_contract.services = {"report-svc"};
        m_contract.calls_per_s = s_rate;
        m_contract.call_burst = s_burst;
        m_contract.calls_at_once = s_at_once;
        for (int i = 0; i < entries; ++i)
        {
            start_entry();
        }
        tell_view();
        if (churn)
        {
            m_time.after(s_warm_up, [this] { replace_one(); });
        }
        move_hot_spot();
        gossip();
        arrive();
    }

    limits_result run()
    {
        m_time.run_until(m_time.now() + s_length);
        return m_result;
    }

private:
    using gate = std::shared_ptr<calls::admission>;

    void start_entry()
    {
        auto const name = "e-" + std::to_string(100 + ++m_started);
        auto it = std::make_shared<calls::admission>(
            name, calls::admission_settings{},
            calls::generator{static_cast<std::uint64_t>(m_started)});
        it->set_contract(m_contract, m_time.now());
        m_entries.emplace(name, std::move(it));
    }

    /// All running entries learn who is live; a new one takes calls from now
    /// on.
    void tell_view()
    {
        std::vector<std::string> live;
        for (auto const& [name, it] : m_entries)
        {
            live.push_back(name);
        }
        for (auto const& [name, it] : m_entries)
        {
            it->set_live(live, m_time.now());
        }
        m_serving = live;
    }

    /// One entry dies and another starts; the platform's list shows it later.
    void replace_one()
    {
        auto const dead = m_serving[pick(m_serving.size())];
        m_entries.erase(dead);
        std::erase(m_serving, dead);
        start_entry();
        m_time.after(s_view_lag, [this] { tell_view(); });
        m_time.after(s_churn, [this] { replace_one(); });
    }

    void move_hot_spot()
    {
        m_hot = pick(m_entries.size());
        m_time.after(milliseconds{5'000}, [this] { move_hot_spot(); });
    }

    void gossip()
    {
        for (auto const& [name, from] : m_entries)
        {
            auto const report = from->update_shares(m_time.now());
            m_time.after(s_hop,
                         [this, report]
                         {
                             for (auto const& [to, it] : m_entries)
                             {
                                 it->update_demand(report);
                             }
                         });
        }
        m_time.after(s_gossip, [this] { gossip(); });
    }

    void arrive()
    {
        auto const now = m_time.now();
        auto const hot =
            m_how == balance::moving && calls::uniform(m_random, 0, 1) < 0.5;
        auto const at = hot ? m_hot % m_serving.size() : pick(m_serving.size());
        auto const counted = now >= base::instant{} + s_warm_up;
        m_result.offered += counted ? 1 : 0;
        admit(m_serving[at], {}, counted);
        boost::random::exponential_distribution<double> gap{m_load * s_rate};
        m_time.after(base::from_seconds(gap(m_random)), [this] { arrive(); });
    }

    /// Asks take a hop to the home and one back.
    void
    admit(std::string const& at, std::vector<std::string> tried, bool counted)
    {
        auto const entry = m_entries.find(at);
        if (entry == m_entries.end())
        {
            return;
        }
        auto const step =
            entry->second->next("kitakaze", "report-svc", tried, m_time.now());
        if (step.state == calls::admission_state::admitted)
        {
            start_call(at, at, counted);
        }
        if (step.state != calls::admission_state::ask_home)
        {
            return;
        }
        m_result.asks += counted ? 1 : 0;
        tried.push_back(step.home);
        m_time.after(2 * s_hop, [this, at, home = step.home, tried, counted]
                     { ask(at, home, tried, counted); });
    }

    void ask(std::string const& at,
             std::string const& home,
             std::vector<std::string> const& tried,
             bool counted)
    {
        auto const entry = m_entries.find(home);
        auto const now = m_time.now();
        if (entry != m_entries.end() &&
            !entry->second->admit_for(at, "kitakaze", "report-svc", now))
        {
            start_call(at, home, counted);
            return;
        }
        if (m_entries.contains(at))
        {
            m_entries.at(at)->mark_home_exhausted("kitakaze", home, now);
            admit(at, tried, counted);
        }
    }

    void
    start_call(std::string const& at, std::string const& home, bool counted)
    {
        m_result.admitted += counted ? 1 : 0;
        count(counted);
        boost::random::exponential_distribution<double> run{1 / s_run_s};
        auto const took = base::from_seconds(run(m_random));
        m_time.after(took,
                     [this, at, home, took]
                     {
                         // On a dead entry the call still ran until here.
                         --m_at_once;
                         auto const it = m_entries.find(home);
                         if (m_entries.contains(at) && it != m_entries.end())
                         {
                             it->second->finished(at, "kitakaze", took, 0,
                                                  m_time.now());
                         }
                     });
    }

    void count(bool counted)
    {
        ++m_at_once;
        auto const now = m_time.now();
        m_recent.push_back(now);
        while (m_recent.front() <= now - s_window)
        {
            m_recent.pop_front();
        }
        if (counted)
        {
            m_result.most_in_window = std::max(
                m_result.most_in_window, static_cast<double>(m_recent.size()));
            m_result.most_at_once = std::max(m_result.most_at_once, m_at_once);
        }
    }

    std::size_t pick(std::size_t n)
    {
        return static_cast<std::size_t>(
            calls::uniform(m_random, 0, static_cast<double>(n)));
    }

    virtual_time m_time;
    calls::generator m_random;
    double m_load;
    balance m_how;
    model::contract m_contract;
    std::map<std::string, gate> m_entries;
    std::vector<std::string> m_serving;
    int m_started{0};
    std::size_t m_hot{0};
    double m_at_once{0};
    std::deque<base::instant> m_recent;
    limits_result m_result;
};

void run_one(int entries, double load, balance how, bool churn)
{
    limits_experiment it{entries, load, how, churn, 5};
    auto const result = it.run();
    std::array<char, 96> buf{};
    std::snprintf(buf.data(), buf.size(),
                  "calls_limits.entries_%02d.%s.%s.load_%.1f", entries,
                  how == balance::even ? "even" : "moving",
                  churn ? "churn" : "still", load);
    std::string const name = buf.data();
    auto const window = base::seconds_of(s_window);
    auto const allowed = s_rate * window + static_cast<double>(s_burst);
    print_figure(name + ".rate_overshoot",
                 100 * std::max(0.0, result.most_in_window / allowed - 1),
                 "percent");
    print_figure(name + ".at_once_overshoot",
                 100 * std::max(0.0, result.most_at_once /
                                             static_cast<double>(s_at_once) -
                                         1),
                 "percent");
    print_figure(name + ".asks", result.asks / result.offered, "a_call");
    auto const span = base::seconds_of(s_length - s_warm_up);
    auto const possible = std::min(result.offered, s_rate * span);
    print_figure(name + ".under_use", 100 * (1 - result.admitted / possible),
                 "percent");
}

void run_all()
{
    for (auto const entries : {3, 9, 50})
    {
        for (auto const load : {0.7, 3.0})
        {
            run_one(entries, load, balance::even, false);
            run_one(entries, load, balance::even, true);
            run_one(entries, load, balance::moving, true);
        }
    }
}

group_of_figures const s_group{"calls_limits", run_all};

} // namespace

} // namespace berylhill::bench
