#pragma once

#include "virtual_time.hpp"

#include <calls/call.hpp>
#include <calls/generator.hpp>

#include <boost/random/exponential_distribution.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::bench
{

using std::chrono::milliseconds;

inline constexpr int s_groups = 5;
inline constexpr int s_entries = 5;
inline constexpr int s_minions = 30;
inline constexpr int s_bad_every = 10;
inline constexpr int s_good_minions = s_minions - s_minions / s_bad_every;
inline constexpr int s_slots = 8;
inline constexpr int s_connections = 64;
inline constexpr int s_contracts = 20;
inline constexpr double s_run_s = 0.02;
inline constexpr base::duration s_hop{500};
inline constexpr base::duration s_gossip{milliseconds{200}};
inline constexpr base::duration s_warm_up{milliseconds{3'000}};
inline constexpr base::duration s_measured{milliseconds{6'000}};
inline constexpr double s_capacity = s_slots * s_good_minions / s_run_s;
inline constexpr int s_most_attempts = 3;

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
    experiment(double load,
               badness kind,
               base::duration allowed,
               std::uint64_t seed)
        : m_random{seed}
        , m_allowed{allowed}
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
        bool done{false};
    };
    using shared_request = std::shared_ptr<request>;

    virtual void start(shared_request const& it) = 0;

    /// Good answers are counted when they come, whenever their calls came: what
    /// the minions do in the measured time is what there is. Refusals and
    /// attempts are counted for the calls that came in that time.
    void finish(request& it, bool good)
    {
        auto const now = m_time.now();
        if (std::exchange(it.done, true))
        {
            return;
        }
        if (good && now >= m_from)
        {
            m_tally.in_time += now <= it.call.deadline ? 1 : 0;
            m_tally.late += now > it.call.deadline ? 1 : 0;
        }
        if (!good && it.came >= m_from)
        {
            m_tally.refused += 1;
            m_tally.given_up_s += base::seconds_of(now - it.came);
        }
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
    base::duration m_allowed;
    std::vector<std::unique_ptr<fake_minion>> m_minions;

private:
    void arrive()
    {
        auto it = std::make_shared<request>();
        auto const now = m_time.now();
        it->came = now;
        it->call.request_id = std::to_string(++m_count);
        it->call.contract = "c-" + std::to_string(m_count % s_contracts);
        it->call.deadline = now + m_allowed;
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

} // namespace berylhill::bench
