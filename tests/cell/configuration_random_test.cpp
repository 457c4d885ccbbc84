#include <cell/configuration_propagation.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t processes = 8;

/// Duration of a run, and the start of its final phase without faults, at whose
/// end all versions must be in force.
constexpr milliseconds length{60'000};
constexpr milliseconds calm_from{50'000};

/// Processes that read the operators' log and ask each other over links that
/// delay messages, while versions are accepted at random times. Runs in virtual
/// time.
class world
{
public:
    explicit world(std::uint32_t seed)
        : m_random{seed}
        , m_members(processes)
    {
        for (std::size_t n = 0; n < processes; ++n)
        {
            at(draw(0, 500), [this, n] { read(n); });
            at(draw(0, 500), [this, n] { ask(n); });
        }
        for (auto next = draw(200, 2'000); next < calm_from;
             next += draw(200, 2'000))
        {
            at(next, [this] { accept(); });
        }
    }

    /// Returns the violated rule; empty if there was none.
    std::string run()
    {
        while (!m_events.empty() && m_events.begin()->first < end())
        {
            auto const next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
            check();
        }
        for (auto const& it : m_members)
        {
            if (it.version != newest())
            {
                m_broken =
                    "a process does not have the newest version at the end";
            }
        }
        return m_broken;
    }

private:
    struct member
    {
        cell::configuration_propagation spread;
        std::int64_t version{1};
    };

    [[nodiscard]] static base::instant end()
    {
        return base::instant{length};
    }

    [[nodiscard]] bool calm() const
    {
        return m_now >= base::instant{calm_from};
    }

    milliseconds draw(int least, int most)
    {
        return milliseconds{
            std::uniform_int_distribution<int>{least, most}(m_random)};
    }

    bool chance(int percent)
    {
        return draw(0, 99) < milliseconds{percent};
    }

    /// Transit time of a message: short, except for one in five before the
    /// final phase.
    milliseconds way()
    {
        return !calm() && chance(20) ? draw(50, 900) : draw(0, 5);
    }

    void at(base::duration after, std::function<void()> what)
    {
        m_events.emplace(m_now + after, std::move(what));
    }

    [[nodiscard]] std::int64_t newest() const
    {
        return static_cast<std::int64_t>(m_accepted.size());
    }

    void accept()
    {
        m_accepted.push_back(m_now);
    }

    void take(member& to, std::int64_t version)
    {
        if (version > to.version)
        {
            to.version = version;
            to.spread.on_version_installed(version);
        }
    }

    /// A process reads the log, if it reaches the store.
    void read(std::size_t n)
    {
        auto const asked_at = m_now;
        if (!calm() && chance(60))
        {
            at(draw(300, 1'500), [this, n] { read(n); });
            return;
        }
        at(way(),
           [this, n, asked_at]
           {
               at(way(),
                  [this, n, asked_at, found = newest()]
                  {
                      take(m_members[n], found);
                      if (m_members[n].version == found)
                      {
                          m_members[n].spread.on_store_read(asked_at);
                      }
                      at(draw(50, 700), [this, n] { read(n); });
                  });
           });
    }

    /// A process asks another for its version, and fetches it if it is newer.
    void ask(std::size_t n)
    {
        auto const other =
            (n + 1 + static_cast<std::size_t>(draw(0, processes - 2).count())) %
            processes;
        auto const asked_at = m_now;
        at(way(),
           [this, n, other, asked_at]
           {
               auto const& of = m_members[other];
               cell::configuration_age const it{of.version,
                                                of.spread.age(m_now)};
               at(way(),
                  [this, n, other, asked_at, it]
                  {
                      auto& to = m_members[n];
                      if (to.spread.on_version_heard(it, asked_at, to.version,
                                                     m_now))
                      {
                          fetch(n, other);
                      }
                      at(draw(50, 250), [this, n] { ask(n); });
                  });
           });
    }

    void fetch(std::size_t n, std::size_t other)
    {
        auto const fails = !calm() && chance(40);
        at(way(),
           [this, n, other, fails]
           {
               at(way(),
                  [this, n, fails, found = m_members[other].version]
                  {
                      m_members[n].spread.on_fetch_ended(
                          fails ? cell::fetch_outcome::failed
                                : cell::fetch_outcome::received);
                      if (!fails)
                      {
                          take(m_members[n], found);
                      }
                  });
           });
    }

    /// Checks that no process considers its version the newest as of a time
    /// when a newer one had been accepted.
    void check()
    {
        for (auto const& it : m_members)
        {
            auto const confirmed = m_now - it.spread.age(m_now);
            auto const next = static_cast<std::size_t>(it.version);
            if (next < m_accepted.size() && confirmed > m_accepted[next])
            {
                m_broken = "version " + std::to_string(it.version) +
                           " is wrongly considered the newest";
            }
        }
    }

    std::mt19937 m_random;
    std::vector<member> m_members;
    std::multimap<base::instant, std::function<void()>> m_events;
    base::instant m_now{};
    /// When version n + 1 was accepted.
    std::vector<base::instant> m_accepted{base::instant{}};
    std::string m_broken;
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_random)

/// Guards against a process that considers an old version the newest, or that
/// stays behind although others have the newer one.
BOOST_AUTO_TEST_CASE(old_version_is_never_considered_the_newest)
{
    constexpr std::uint32_t seeds = 200;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world{seed}.run() == "");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
