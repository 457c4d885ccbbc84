#include "cell_fixture.hpp"
#include "stand_ins/documents.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

using namespace berylhill;
using namespace berylhill::platform_test;

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t jobs = 5;
constexpr std::size_t first_tasks = 2;

/// Longer than a test looks: a task that is not stopped still runs at its end.
constexpr milliseconds work{30'000};

/// From an acknowledgement: the last start, and the stop of what was started.
constexpr milliseconds start_bound{3'000};
constexpr milliseconds stop_bound{900};
constexpr milliseconds quiet_bound = start_bound + stop_bound;

constexpr milliseconds watched_after_resume{4'000};
constexpr milliseconds until_resume{300};
constexpr milliseconds shown_within{2'000};
constexpr milliseconds delete_patience{5'000};

bool acknowledged(unsigned status)
{
    return (status >= 200 && status < 300) || status == 410;
}

bool all_set(std::array<std::optional<unsigned>, jobs> const& all)
{
    return std::ranges::all_of(all,
                               [](auto const& it) { return it.has_value(); });
}

std::string job_text(std::size_t n)
{
    return text_of(workload::job_id{n + 1});
}

bool is_of_job(std::string const& task, std::size_t n)
{
    return task.find(job_text(n)) != std::string::npos;
}

std::string path_of(std::size_t n)
{
    return "/q/" + job_text(n);
}

std::string document()
{
    return job_document(500, work.count(), first_tasks);
}

/// Stops a process of the cell until it is resumed, at the latest when this
/// object goes.
class process_pause
{
public:
    explicit process_pause(process& it)
        : m_process{it}
    {
        m_process.signal(SIGSTOP);
    }
    process_pause(process_pause const&) = delete;
    process_pause& operator=(process_pause const&) = delete;
    ~process_pause()
    {
        resume();
    }

    void resume()
    {
        if (!std::exchange(m_resumed, true))
        {
            m_process.signal(SIGCONT);
        }
    }

private:
    process& m_process;
    bool m_resumed{false};
};

class cancellation_fixture : public cell_fixture
{
public:
    cancellation_fixture()
    {
        for (auto const& it : instances)
        {
            it->set_work(work);
            it->on_end(
                [this](std::string const& task, std::string const&)
                {
                    for (std::size_t n = 0; n < jobs; ++n)
                    {
                        if (is_of_job(task, n))
                        {
                            last_end[n] = steady_clock::now();
                        }
                    }
                });
        }
    }

    void pass(milliseconds it)
    {
        run_until([] { return false; }, it);
    }

    [[nodiscard]] int starts(std::size_t job) const
    {
        int out = 0;
        for (auto const& [task, n] : started)
        {
            out += is_of_job(task, job) ? n : 0;
        }
        return out;
    }

    [[nodiscard]] bool runs(std::size_t job) const
    {
        return std::ranges::any_of(instances,
                                   [&](auto const& it)
                                   {
                                       return std::ranges::any_of(
                                           it->running(), [&](auto const& task)
                                           { return is_of_job(task, job); });
                                   });
    }

    /// Whether callers of this process are told that it doesn't go on.
    [[nodiscard]] bool shown_as_cancelled(std::size_t process, std::size_t job)
    {
        auto const status =
            call(process, network::http_method::get, path_of(job));
        return status == 410 ||
               (status == 200 &&
                last_body().find("cancelled") != std::string::npos);
    }

    void check_shown_as_cancelled(std::size_t process, std::size_t job)
    {
        BOOST_TEST(run_until([&] { return shown_as_cancelled(process, job); },
                             shown_within),
                   "job " << job << " is shown as " << last_body());
    }

    /// When the last task of each job ended.
    std::array<steady_clock::time_point, jobs> last_end{};
};

struct overtaken_case
{
    char const* name;
    /// Whether the process that is paused runs jobs of its own.
    bool busy;
    /// Whether the callers' connections to it were open before.
    bool connected;
};

std::ostream& operator<<(std::ostream& to, overtaken_case const& it)
{
    return to << it.name;
}

overtaken_case const overtaken_cases[] = {
    {"an idle owner, new connections", false, false},
    {"an owner with work, new connections", true, false},
    {"an idle owner, open connections", false, true},
    {"an owner with work, open connections", true, true},
};

struct entry_case
{
    char const* name;
    milliseconds patience;
    /// From the submission to the cancellation.
    milliseconds until_delete;
    bool delete_at_owner;
};

std::ostream& operator<<(std::ostream& to, entry_case const& it)
{
    return to << it.name;
}

entry_case const entry_cases[] = {
    {"its caller has left, cancelled at the owner", milliseconds{3'000},
     milliseconds{3'100}, true},
    {"its caller has left, cancelled at a third process", milliseconds{3'000},
     milliseconds{3'100}, false},
    {"its caller still waits, cancelled at the owner", milliseconds{8'000},
     milliseconds{500}, true},
    {"its caller still waits, cancelled at a third process",
     milliseconds{8'000}, milliseconds{500}, false},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cancellation, cancellation_fixture)

/// Guards against tasks that run to their end after their cancellation was
/// acknowledged by a paused owner that didn't know of its successor.
BOOST_DATA_TEST_CASE(an_overtaken_owner_acknowledges_what_holds,
                     boost::unit_test::data::make(overtaken_cases))
{
    BOOST_REQUIRE(all_ready());
    auto const first = owner();
    BOOST_REQUIRE(first.has_value());
    auto const other = (*first + 1) % processes;
    if (sample.busy)
    {
        BOOST_REQUIRE(submit(*first, jobs + 1) == 200U);
    }
    if (sample.connected)
    {
        std::array<std::optional<unsigned>, jobs> reads;
        for (std::size_t n = 0; n < jobs; ++n)
        {
            call_beside(*first, network::http_method::get, "/q/", {},
                        delete_patience, reads[n]);
        }
        BOOST_REQUIRE(run_until([&] { return all_set(reads); }));
    }
    process_pause paused{*cells[*first]};
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_REQUIRE(run_until(
            [&]
            {
                return call(other, network::http_method::post, path_of(n),
                            document()) == 200U;
            }));
    }
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_REQUIRE(run_until([&] { return runs(n); }));
    }
    std::array<std::optional<unsigned>, jobs> ends;
    std::array<steady_clock::time_point, jobs> acknowledged_at;
    for (std::size_t n = 0; n < jobs; ++n)
    {
        call_beside(*first, network::http_method::remove, path_of(n), {},
                    delete_patience, ends[n]);
    }
    pass(until_resume);
    paused.resume();
    BOOST_REQUIRE(run_until(
        [&]
        {
            for (std::size_t n = 0; n < jobs; ++n)
            {
                if (ends[n] && acknowledged_at[n] == steady_clock::time_point{})
                {
                    acknowledged_at[n] = steady_clock::now();
                }
            }
            return all_set(ends);
        }));
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_TEST_MESSAGE("job " << n << ": answered " << *ends[n]);
        if (!acknowledged(*ends[n]))
        {
            BOOST_TEST(run_until(
                [&]
                {
                    return acknowledged(
                        call(other, network::http_method::remove, path_of(n)));
                }));
            acknowledged_at[n] = steady_clock::now();
        }
    }
    for (std::size_t n = 0; n < jobs; ++n)
    {
        check_shown_as_cancelled(other, n);
    }
    auto const end = std::ranges::max(acknowledged_at) + quiet_bound;
    run_until([&] { return steady_clock::now() > end; });
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_TEST(!runs(n), "job " << n << " runs");
        BOOST_TEST((last_end[n] <= acknowledged_at[n] + quiet_bound),
                   "job " << n << " was stopped too late");
        check_shown_as_cancelled(other, n);
    }
}

/// Guards against tasks that start after the cancellation of their job was
/// acknowledged: its submission still waited in a paused process.
BOOST_DATA_TEST_CASE(a_paused_entry_starts_nothing_that_was_cancelled,
                     boost::unit_test::data::make(entry_cases))
{
    BOOST_REQUIRE(all_ready());
    auto const first = owner();
    BOOST_REQUIRE(first.has_value());
    auto const entry = (*first + 1) % processes;
    auto const third = (*first + 2) % processes;
    auto const other = sample.delete_at_owner ? *first : third;
    process_pause paused{*cells[entry]};
    std::array<std::optional<unsigned>, jobs> ends;
    for (std::size_t n = 0; n < jobs; ++n)
    {
        call_beside(entry, network::http_method::post, path_of(n), document(),
                    sample.patience, ends[n]);
    }
    pass(sample.until_delete);
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_TEST((!ends[n] || *ends[n] == 0U));
        auto const status =
            call(other, network::http_method::remove, path_of(n));
        BOOST_TEST((status == 410U || status == 200U),
                   "job " << n << ": cancellation answered " << status);
    }
    paused.resume();
    pass(watched_after_resume);
    BOOST_TEST(run_until([&] { return all_set(ends); }));
    for (std::size_t n = 0; n < jobs; ++n)
    {
        BOOST_TEST(starts(n) == 0, "job " << n << " was started");
        check_shown_as_cancelled(other, n);
        BOOST_TEST_MESSAGE("job " << n << ": submission answered "
                                  << ends[n].value_or(0) << ", shown as "
                                  << last_body());
    }
}

BOOST_AUTO_TEST_SUITE_END()
