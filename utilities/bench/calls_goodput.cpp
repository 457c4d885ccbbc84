#include "figures.hpp"
#include "virtual_time.hpp"

#include <calls/attempt_rules.hpp>
#include <calls/minion_ledger.hpp>
#include <calls/retry_budget.hpp>
#include <calls/router.hpp>

#include <boost/random/exponential_distribution.hpp>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

/// Goodput of calls from half to three times the capacity with a tenth of the
/// minions bad, ours against round robin with plain retries. Capacity is that
/// of the good minions.
namespace berylhill::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr int s_groups = 5;
constexpr int s_entries = 5;
constexpr int s_minions = 30;
constexpr int s_bad_every = 10;
constexpr int s_slots = 8;
constexpr int s_connections = 64;
constexpr int s_contracts = 20;
constexpr double s_run_s = 0.02;
constexpr base::duration s_hop{500};
constexpr base::duration s_allowed{milliseconds{250}};
constexpr base::duration s_gossip{milliseconds{200}};
constexpr base::duration s_warm_up{milliseconds{3'000}};
constexpr base::duration s_measured{milliseconds{6'000}};
constexpr double s_capacity =
    s_slots * (s_minions - s_minions / s_bad_every) / s_run_s;
constexpr int s_most_attempts = 3;

enum class badness : std::uint8_t
{
    refusing, ///< Says at once that it did not run the call.
    slow,     ///< Takes twenty times as long.
    silent,   ///< Takes the call and never answers.
};

/// A fake minion: runs as many calls as it has slots, the others wait at it.
class fake_minion
{
public:
    using done = std::function<void(bool ran)>;

    fake_minion(virtual_time& time, calls::generator& random)
        : m_time{time}
        , m_random{random}
    {
    }

    void call(done on_end)
    {
        if (m_bad && m_kind == badness::refusing)
        {
            m_time.after(s_hop, [on_end] { on_end(false); });
            return;
        }
        if (m_open >= s_connections)
        {
            m_time.after(s_hop, [on_end] { on_end(false); });
            return;
        }
        ++m_open;
        most_open = std::max(most_open, m_open);
        m_waiting.push(std::move(on_end));
        start();
    }

    void make_bad(badness kind)
    {
        m_bad = true;
        m_kind = kind;
    }

    int most_open{0};

private:
    void start()
    {
        if (m_running >= s_slots || m_waiting.empty())
        {
            return;
        }
        ++m_running;
        auto on_end = std::move(m_waiting.front());
        m_waiting.pop();
        if (m_bad && m_kind == badness::silent)
        {
            return;
        }
        // Half fixed, half exponential: a few calls take several times the
        // mean.
        auto const factor = m_bad ? 20.0 : 1.0;
        boost::random::exponential_distribution<double> tail{2 / s_run_s};
        auto const run = factor * (s_run_s / 2 + tail(m_random));
        m_time.after(base::from_seconds(run),
                     [this, on_end]
                     {
                         --m_running;
                         --m_open;
                         on_end(true);
                         start();
                     });
    }

    virtual_time& m_time;
    calls::generator& m_random;
    std::queue<done> m_waiting;
    int m_running{0};
    int m_open{0};
    bool m_bad{false};
    badness m_kind{badness::slow};
};

struct tally
{
    std::int64_t offered{0};
    std::int64_t in_time{0};
    std::int64_t late{0};
    std::int64_t refused{0};
    std::int64_t attempts{0};
    std::int64_t sends{0};
    /// Over the refused and failed ones, until their final answer.
    double given_up_s{0};
};

/// What both ways have in common: arrivals, minions, counting.
class experiment
{
public:
    experiment(double load, badness kind, std::uint64_t seed)
        : m_random{seed}
        , m_load{load}
    {
        for (int i = 0; i < s_minions; ++i)
        {
            m_minions.push_back(
                std::make_unique<fake_minion>(m_time, m_random));
            if (i % s_bad_every == s_bad_every / 2)
            {
                m_minions.back()->make_bad(kind);
            }
        }
    }
    experiment(experiment const&) = delete;
    experiment& operator=(experiment const&) = delete;
    virtual ~experiment() = default;

    tally run()
    {
        m_from = m_time.now() + s_warm_up;
        arrive();
        m_time.run_until(m_from + s_measured);
        return m_tally;
    }

    [[nodiscard]] int most_open() const
    {
        int most = 0;
        for (auto const& it : m_minions)
        {
            most = std::max(most, it->most_open);
        }
        return most;
    }

protected:
    struct request
    {
        calls::call call;
        base::instant came;
        int attempts{0};
        int open{0};
        std::size_t entry{0};
        bool done{false};
        calls::ran earlier{calls::ran::not_run};
        std::vector<std::string> tried;
    };
    using shared_request = std::shared_ptr<request>;

    virtual void start(shared_request const& it) = 0;

    void finish(request& it, bool good)
    {
        if (std::exchange(it.done, true) || it.came < m_from)
        {
            return;
        }
        auto const now = m_time.now();
        m_tally.in_time += good && now <= it.call.deadline ? 1 : 0;
        m_tally.late += good && now > it.call.deadline ? 1 : 0;
        m_tally.refused += good ? 0 : 1;
        m_tally.given_up_s += good ? 0 : base::seconds_of(now - it.came);
    }

    void count_attempt(request const& it)
    {
        m_tally.attempts += it.came < m_from ? 0 : 1;
    }

    void count_send(base::instant came)
    {
        m_tally.sends += came < m_from ? 0 : 1;
    }

    virtual_time m_time;
    calls::generator m_random;
    std::vector<std::unique_ptr<fake_minion>> m_minions;

private:
    void arrive()
    {
        auto it = std::make_shared<request>();
        auto const now = m_time.now();
        it->came = now;
        it->call.request_id = std::to_string(++m_count);
        it->call.contract = "c-" + std::to_string(m_count % s_contracts);
        it->call.deadline = now + s_allowed;
        it->call.safety = m_count % 2 == 0 ? model::rerun::idempotent
                                           : model::rerun::at_most_once;
        m_tally.offered += now < m_from ? 0 : 1;
        start(it);
        boost::random::exponential_distribution<double> gap{m_load *
                                                            s_capacity};
        m_time.after(base::from_seconds(gap(m_random)), [this] { arrive(); });
    }

    double m_load;
    base::instant m_from;
    std::int64_t m_count{0};
    tally m_tally;
};

/// Each call goes to the next minion; what fails or takes too long is sent to
/// the next one again, up to three times.
class round_robin final : public experiment
{
public:
    using experiment::experiment;

private:
    void start(shared_request const& it) override
    {
        if (it->done)
        {
            return;
        }
        if (it->attempts == s_most_attempts)
        {
            finish(*it, false);
            return;
        }
        auto const number = ++it->attempts;
        count_attempt(*it);
        count_send(it->came);
        auto& minion = *m_minions[m_next++ % m_minions.size()];
        auto const again = [this, it, number]
        {
            if (it->attempts == number)
            {
                start(it);
            }
        };
        m_time.after(s_hop,
                     [this, it, again, &minion]
                     {
                         minion.call(
                             [this, it, again](bool ran)
                             {
                                 m_time.after(s_hop,
                                              [this, it, again, ran]
                                              {
                                                  if (ran)
                                                  {
                                                      finish(*it, true);
                                                      return;
                                                  }
                                                  again();
                                              });
                             });
                     });
        m_time.after(s_allowed / 2, again);
    }

    std::size_t m_next{0};
};

/// Entries that each own one group and route over all; digests are as late as
/// gossip makes them.
class ours final : public experiment
{
public:
    ours(double load, badness kind, std::uint64_t seed)
        : experiment{load, kind, seed}
    {
        for (int e = 0; e < s_entries; ++e)
        {
            m_routers.emplace_back(calls::router_settings{},
                                   calls::generator{seed + 100 + e});
            m_budgets.emplace_back(calls::retry_settings{},
                                   calls::generator{seed + 200 + e});
        }
        for (int g = 0; g < s_groups; ++g)
        {
            m_ledgers.emplace_back("g-" + std::to_string(g), "report-svc",
                                   calls::ledger_settings{},
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
                             for (auto& each : m_routers)
                             {
                                 each.heard(digest, m_time.now());
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
        m_time.after(milliseconds{1}, [this] { look(); });
    }

    void start(shared_request const& it) override
    {
        it->entry =
            static_cast<std::size_t>(calls::uniform(m_random, 0, s_entries));
        budget(it).first_attempt(it->call.contract);
        attempt(it, router(it).choose("report-svc", {}, calls::wanted_room::any,
                                      m_time.now()));
    }

    calls::router& router(shared_request const& it)
    {
        return m_routers[it->entry];
    }

    calls::retry_budget& budget(shared_request const& it)
    {
        return m_budgets[it->entry];
    }

    void attempt(shared_request const& it,
                 std::optional<calls::route> const& to)
    {
        if (it->done)
        {
            return;
        }
        if (!to)
        {
            finish(*it, false);
            return;
        }
        ++it->attempts;
        ++it->open;
        count_attempt(*it);
        it->tried.push_back(to->group);
        auto const g = static_cast<std::size_t>(std::stoi(to->group.substr(2)));
        auto call = it->call;
        call.request_id += "/" + std::to_string(it->attempts);
        call.deadline -= s_hop;
        m_held[call.request_id] = it;
        m_time.after(s_hop, [this, g, call]
                     { act(g, m_ledgers[g].offer(call, m_time.now())); });
        plan_hedge(it, to->group);
    }

    void plan_hedge(shared_request const& it, std::string const& group)
    {
        auto const when = router(it).hedge_at(group, it->call, m_time.now());
        if (it->call.safety != model::rerun::idempotent || it->attempts > 1 ||
            !when)
        {
            return;
        }
        m_time.at(*when,
                  [this, it]
                  {
                      if (it->done || !budget(it).has(it->call.contract))
                      {
                          return;
                      }
                      auto const to = router(it).choose(
                          "report-svc", it->tried, calls::wanted_room::idle,
                          m_time.now());
                      if (to && budget(it).take(it->call.contract))
                      {
                          attempt(it, to);
                      }
                  });
    }

    void ended(shared_request const& it, calls::attempt_end end)
    {
        --it->open;
        if (end == calls::attempt_end::owner_refused)
        {
            router(it).refused(it->tried.back());
        }
        if (it->done)
        {
            return;
        }
        if (!calls::attempt_rules::surely_not_run(end))
        {
            it->earlier = calls::ran::unknown;
        }
        auto const room = it->attempts < s_most_attempts &&
                                  m_time.now() + s_hop < it->call.deadline &&
                                  budget(it).has(it->call.contract)
                              ? calls::resend_room::left
                              : calls::resend_room::none;
        switch (calls::attempt_rules::after(end, it->call.safety, it->earlier,
                                            room))
        {
        case calls::next_step::deliver:
            finish(*it, true);
            return;
        case calls::next_step::resend:
            resend(it, end);
            return;
        case calls::next_step::refuse_not_run:
        case calls::next_step::refuse_unknown:
            if (it->open == 0)
            {
                finish(*it, false);
            }
            return;
        }
    }

    void resend(shared_request const& it, calls::attempt_end end)
    {
        auto const now = m_time.now();
        auto const room = end == calls::attempt_end::owner_refused
                              ? calls::wanted_room::short_queue
                              : calls::wanted_room::any;
        auto const to = router(it).choose("report-svc", it->tried, room, now);
        if (to && budget(it).take(it->call.contract))
        {
            attempt(it, to);
            return;
        }
        finish(*it, false);
    }

    void act(std::size_t g, calls::ledger_actions const& actions)
    {
        for (auto const& it : actions)
        {
            if (auto const* send = std::get_if<calls::send_to_minion>(&it))
            {
                send_out(g, *send);
            }
            else if (auto const* refuse = std::get_if<calls::refuse_call>(&it))
            {
                back(g, refuse->request_id, end_of(refuse->why));
            }
            else if (auto const* answer =
                         std::get_if<calls::deliver_answer>(&it))
            {
                back(g, answer->request_id, calls::attempt_end::answered);
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

    static calls::attempt_end end_of(calls::refusal const& why)
    {
        if (why.work == calls::ran::unknown)
        {
            return calls::attempt_end::timed_out;
        }
        return why.code == calls::refusal_code::minion_refused
                   ? calls::attempt_end::minion_refused
                   : calls::attempt_end::owner_refused;
    }

    void back(std::size_t g, std::string const& id, calls::attempt_end end)
    {
        // Every answer of an owner carries its digest.
        auto const held = m_held.extract(id);
        m_time.after(s_hop,
                     [this, it = held.mapped(), end, digest = digest_of(g)]
                     {
                         router(it).heard(digest, m_time.now());
                         ended(it, end);
                     });
    }

    void send_out(std::size_t g, calls::send_to_minion const& send)
    {
        auto const id = send.request_id;
        count_send(m_held.at(id)->came);
        auto const open = std::make_shared<bool>(true);
        m_time.after(s_hop,
                     [this, g, id, open, to = std::stoi(send.minion)]
                     {
                         m_minions[static_cast<std::size_t>(to)]->call(
                             [this, g, id, open](bool ran)
                             {
                                 m_time.after(s_hop, [this, g, id, open, ran]
                                              { report(g, id, open, ran); });
                             });
                     });
        m_time.after(send.timeout,
                     [this, g, id, open]
                     {
                         if (std::exchange(*open, false))
                         {
                             act(g, m_ledgers[g].unknown(id, m_time.now()));
                         }
                     });
    }

    void report(std::size_t g,
                std::string const& id,
                std::shared_ptr<bool> const& open,
                bool ran)
    {
        auto const now = m_time.now();
        if (!std::exchange(*open, false))
        {
            return;
        }
        act(g, ran ? m_ledgers[g].answered(id, calls::call_end::good, now)
                   : m_ledgers[g].not_run(id, now));
    }

    std::vector<calls::minion_ledger> m_ledgers;
    std::vector<calls::router> m_routers;
    std::vector<calls::retry_budget> m_budgets;
    std::int64_t m_sequence{0};
    std::unordered_map<std::string, shared_request> m_held;
};

void print(std::string const& name, double load, tally const& it, int most_open)
{
    auto const best =
        std::min(load, 1.0) * s_capacity * base::seconds_of(s_measured);
    auto const n = static_cast<double>(it.offered);
    print_figure(name + ".goodput",
                 100 * static_cast<double>(it.in_time) / best,
                 "percent_of_possible");
    print_figure(name + ".attempts", static_cast<double>(it.attempts) / n,
                 "a_call");
    print_figure(name + ".minion_sends", static_cast<double>(it.sends) / n,
                 "a_call");
    print_figure(name + ".given_up_after",
                 it.refused == 0
                     ? 0
                     : 1'000 * it.given_up_s / static_cast<double>(it.refused),
                 "ms_mean");
    print_figure(name + ".most_at_a_minion", most_open, "calls");
}

void run_all()
{
    constexpr std::array kinds{std::pair{badness::refusing, "refusing"},
                               std::pair{badness::slow, "slow"},
                               std::pair{badness::silent, "silent"}};
    for (auto const& [kind, kind_name] : kinds)
    {
        for (auto const load : {0.5, 1.0, 1.5, 2.0, 3.0})
        {
            std::array<char, 64> buf{};
            std::snprintf(buf.data(), buf.size(), "calls.%s.load_%.1f.",
                          kind_name, load);
            std::string const name = buf.data();
            ours our_way{load, kind, 11};
            auto const our_tally = our_way.run();
            print(name + "ours", load, our_tally, our_way.most_open());
            round_robin plain{load, kind, 11};
            auto const plain_tally = plain.run();
            print(name + "round_robin", load, plain_tally, plain.most_open());
        }
    }
}

group_of_figures const s_group{"calls_goodput", run_all};

} // namespace

} // namespace berylhill::bench
