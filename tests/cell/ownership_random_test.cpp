#include "ownership_process.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;
using std::chrono::milliseconds;

namespace
{

/// Processes that claim the same work while they are killed, replaced and
/// silenced, pages are lost, and appends are late or unanswered. Each owner
/// writes records and knows of those that were stored by its own appends.
class random_cell
{
public:
    explicit random_cell(std::uint64_t seed)
        : m_random{seed}
    {
        m_log.page = 3;
        m_log.page_delay = milliseconds{2};
        for (int n = 0; n < process_count; ++n)
        {
            m_processes.push_back(nullptr);
            replace(static_cast<std::size_t>(n));
        }
    }

    /// Runs with disturbances until enough has happened, for `limit` at most.
    void run(milliseconds limit)
    {
        auto const until = std::chrono::steady_clock::now() + limit;
        while (!enough() && std::chrono::steady_clock::now() < until)
        {
            turn();
            disturb();
        }
    }

    /// Ends all disturbances, and runs until as much as `enough` has happened
    /// since, for `limit` at most. The owners yield to each other. Returns
    /// whether it has.
    bool run_undisturbed(milliseconds limit)
    {
        for (auto const& it : m_processes)
        {
            it->base.answers = true;
        }
        m_log.pages_to_lose.clear();
        m_log.append_behaviors.clear();
        m_log.deliver_late();
        auto const takeovers = m_tokens.size();
        auto const writes = m_writes;
        auto const progress = [&]
        {
            return m_tokens.size() - takeovers >= enough_takeovers &&
                   m_writes - writes >= enough_writes;
        };
        auto const until = std::chrono::steady_clock::now() + limit;
        auto yielded_at = writes;
        while (!progress() && std::chrono::steady_clock::now() < until)
        {
            turn();
            if (m_writes - yielded_at >= enough_writes / enough_takeovers)
            {
                yielded_at = m_writes;
                yield_ownership();
            }
        }
        return progress();
    }

    [[nodiscard]] bool enough() const
    {
        return m_tokens.size() >= enough_takeovers && m_writes >= enough_writes;
    }

    /// Pages leave out the newest records, a fault that the check must find.
    void hide_newest_records()
    {
        m_log.hidden_records = 4;
    }

    /// Takeovers without all records before the claim, or with others.
    [[nodiscard]] std::size_t incomplete() const
    {
        return m_incomplete;
    }

    /// Takeovers under a token that an earlier one had.
    [[nodiscard]] std::size_t repeated() const
    {
        return m_repeated;
    }

private:
    struct process
    {
        process(boost::asio::io_context& loop, fake_log& log, std::string name)
            : base{loop, log, std::move(name)}
        {
        }

        ownership_process base;
        std::size_t checked{0};
        /// Where it appends its next record; 0 while it does not own.
        std::uint64_t next{0};
        bool writing{false};
    };

    static constexpr int process_count = 4;
    static constexpr std::size_t enough_takeovers = 4;
    static constexpr std::size_t enough_writes = 50;
    static constexpr int step_ms = 5;

    bool chance(double it)
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < it;
    }

    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(m_random);
    }

    void replace(std::size_t at)
    {
        if (auto const& gone = m_processes.at(at); gone)
        {
            // What it has sent may still arrive at the store.
            gone->next = 0;
            gone->base.answers = false;
            gone->base.owner.leave();
            m_gone.push_back(gone);
        }
        auto const name = "process-" + std::to_string(++m_started);
        m_processes.at(at) = std::make_shared<process>(m_loop, m_log, name);
        m_processes.at(at)->base.owner.start();
    }

    /// One turn of the processes and of the checks.
    void turn()
    {
        m_loop.restart();
        m_loop.run_for(milliseconds{step_ms});
        for (auto const& it : m_processes)
        {
            check(*it);
            write(*it);
        }
    }

    void yield_ownership()
    {
        for (auto const& it : m_processes)
        {
            if (it->next != 0)
            {
                it->next = 0;
                it->base.owner.yield(milliseconds{200});
            }
        }
    }

    void disturb()
    {
        if (chance(0.004))
        {
            replace(below(m_processes.size()));
        }
        auto& any = *m_processes.at(below(m_processes.size()));
        if (chance(0.004))
        {
            any.base.answers = !any.base.answers;
        }
        if (chance(0.01) && any.next != 0)
        {
            any.next = 0;
            any.base.owner.yield(milliseconds{200});
        }
        if (chance(0.003))
        {
            m_log.pages_to_lose.insert(m_log.pages + 1 + below(3));
        }
        if (chance(0.02))
        {
            constexpr fate fates[] = {fate::delay, fate::store_silently,
                                      fate::silent, fate::refuse};
            m_log.append_behaviors.push_back(fates[below(std::size(fates))]);
        }
        if (chance(0.02))
        {
            m_log.deliver_late();
        }
    }

    /// The newest record of each job before an offset.
    [[nodiscard]] std::map<std::string, std::string>
    newest_before(std::uint64_t end) const
    {
        std::map<std::string, std::string> out;
        for (std::uint64_t n = 0; n < end && n < m_log.log.size(); ++n)
        {
            auto const& it = m_log.log[n];
            if (it.key == cell::owner_key)
            {
                continue;
            }
            out[it.key] = it.value;
        }
        return out;
    }

    void check(process& it)
    {
        auto const& all = it.base.listener.takeovers;
        for (; it.checked < all.size(); ++it.checked)
        {
            auto const& began = all[it.checked];
            auto records = began.records;
            records.erase(cell::owner_key);
            m_incomplete += records != newest_before(began.token - 1) ? 1 : 0;
            m_repeated += m_tokens.insert(began.token).second ? 0 : 1;
            it.next = began.next;
            it.writing = false;
        }
    }

    void write(process& it)
    {
        if (it.next == 0 || it.writing || !chance(0.5))
        {
            return;
        }
        it.writing = true;
        auto const who = it.base.self.instance;
        auto const key = "j:" + std::to_string(below(20));
        auto const value = who + " " + std::to_string(it.next);
        m_log.append(
            it.next, {{key, value}}, milliseconds{100},
            [this, weak = weak_of(it), token = it.base.owner.owner().token](
                cell::append_result const& end) { written(weak, token, end); });
    }

    std::weak_ptr<process> weak_of(process const& it) const
    {
        for (auto const& each : m_processes)
        {
            if (each.get() == &it)
            {
                return each;
            }
        }
        return {};
    }

    void written(std::weak_ptr<process> const& by,
                 std::uint64_t token,
                 cell::append_result const& end)
    {
        m_writes += end.outcome == cell::append_outcome::stored ? 1 : 0;
        auto const it = by.lock();
        if (!it || it->next == 0 || it->base.owner.owner().token != token)
        {
            return;
        }
        it->writing = false;
        if (end.outcome == cell::append_outcome::stored)
        {
            ++it->next;
            return;
        }
        if (end.outcome != cell::append_outcome::refused)
        {
            // What is stored at its offset is not known, so it gives up.
            it->next = 0;
            it->base.owner.lose_ownership("append");
        }
    }

    std::mt19937_64 m_random;
    boost::asio::io_context m_loop;
    fake_log m_log{m_loop};
    std::vector<std::shared_ptr<process>> m_processes;
    std::vector<std::shared_ptr<process>> m_gone;
    std::size_t m_started{0};
    std::set<std::uint64_t> m_tokens;
    std::size_t m_incomplete{0};
    std::size_t m_repeated{0};
    std::size_t m_writes{0};
};

constexpr auto run_limit = std::chrono::seconds{30};

/// A takeover without disturbances takes well below a second.
constexpr auto undisturbed_limit = std::chrono::seconds{30};

} // namespace

BOOST_AUTO_TEST_SUITE(ownership_random)

/// Guards against an owner that works on fewer records than were stored before
/// its claim: a process claims before it has read them, and reads them while
/// pages are lost, others claim, and appends of former owners arrive late.
BOOST_DATA_TEST_CASE(owner_begins_with_all_records_before_its_claim,
                     boost::unit_test::data::xrange(1, 5),
                     seed)
{
    random_cell cell{static_cast<std::uint64_t>(seed)};
    cell.run(run_limit);
    // While processes are silenced at random, nothing has to happen in a given
    // time; afterwards it does.
    BOOST_TEST(cell.run_undisturbed(undisturbed_limit));
    BOOST_TEST(cell.enough());
    BOOST_TEST(cell.incomplete() == 0U);
    BOOST_TEST(cell.repeated() == 0U);
}

/// The check above finds owners that have read too little.
BOOST_AUTO_TEST_CASE(an_owner_that_has_read_too_little_is_found)
{
    random_cell cell{1};
    cell.hide_newest_records();
    cell.run(run_limit);
    BOOST_TEST(cell.incomplete() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
