#include "cell_fixture.hpp"
#include "stand_ins/documents.hpp"
#include "stand_ins/store_gate.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::platform_test;

namespace
{

struct loss_case
{
    char const* name;
    int signal;
};

std::ostream& operator<<(std::ostream& to, loss_case const& it)
{
    return to << it.name;
}

loss_case const loss_cases[] = {
    {"it is killed", SIGKILL},
    {"it is stopped for maintenance", SIGTERM},
    {"it freezes", SIGSTOP},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(whole_path, cell_fixture)

BOOST_AUTO_TEST_CASE(jobs_go_through_any_process)
{
    BOOST_REQUIRE(all_ready());
    for (std::uint64_t id = 1; id <= 6; ++id)
    {
        BOOST_TEST(submit(id % processes, id) == 200U);
    }
    // The same again is the same job.
    BOOST_TEST(submit(0, 1) == 200U);
    for (std::uint64_t id = 1; id <= 6; ++id)
    {
        BOOST_TEST(
            run_until([&] { return completed((id + 1) % processes, id); }));
    }
    BOOST_TEST(started.size() == 18U);
    for (auto const& [task, n] : started)
    {
        BOOST_TEST(n == 1, task);
    }
    BOOST_TEST(call(0, network::http_method::get, "/q/00000000000000ff") ==
               410U);
    BOOST_TEST(call(0, network::http_method::get, "/none/") == 404U);
    BOOST_TEST(call(0, network::http_method::get, "/q/") == 200U);
    BOOST_TEST(last_body() == R"({"pending":0})");
    BOOST_TEST(call(1, network::http_method::remove, "/q/0000000000000001") ==
               200U);
}

/// A user whose job was accepted sees it completed once, whatever becomes of
/// the process that owns the work: another claims it, asks the instances what
/// runs, and goes on.
BOOST_DATA_TEST_CASE(work_goes_on_when_its_owner_is_lost,
                     boost::unit_test::data::make(loss_cases))
{
    BOOST_REQUIRE(all_ready());
    auto const first = owner();
    BOOST_REQUIRE(first.has_value());
    auto const other = (*first + 1) % processes;
    for (std::uint64_t id = 1; id <= 4; ++id)
    {
        BOOST_TEST(submit(other, id) == 200U);
    }
    cells[*first]->signal(sample.signal);
    BOOST_TEST(run_until([&] { return submit(other, 5) == 200U; }));
    for (std::uint64_t id = 1; id <= 5; ++id)
    {
        BOOST_TEST(run_until([&] { return completed(other, id); }));
    }
    for (auto const& [task, n] : started)
    {
        BOOST_TEST(n == 1, task);
    }
    if (sample.signal == SIGTERM)
    {
        BOOST_TEST(run_until([&] { return cells[*first]->ended(); }));
        BOOST_TEST(cells[*first]->status() == 0);
    }
    cells[*first]->signal(SIGCONT);
}

/// A user's job that was accepted before all processes were killed at once is
/// completed after they are back: nothing but the store remembers it.
BOOST_AUTO_TEST_CASE(accepted_work_outlives_all_processes)
{
    BOOST_REQUIRE(all_ready());
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        BOOST_TEST(submit(0, id) == 200U);
    }
    for (auto const& it : cells)
    {
        it->signal(SIGKILL);
    }
    BOOST_TEST(run_until(
        [&] {
            return cells[0]->ended() && cells[1]->ended() && cells[2]->ended();
        }));
    for (std::size_t n = 0; n < processes; ++n)
    {
        start_process(n);
    }
    BOOST_REQUIRE(all_ready());
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        BOOST_TEST(run_until([&] { return completed(1, id); }));
    }
    for (auto const& [task, n] : started)
    {
        BOOST_TEST(n == 1, task);
    }
}

/// A user is told at once, and truthfully, that a job does not run while the
/// store takes nothing, and can hand it in when it is back.
BOOST_AUTO_TEST_CASE(while_the_store_is_down_new_work_is_refused)
{
    BOOST_REQUIRE(all_ready());
    BOOST_TEST(submit(0, 1) == 200U);
    BOOST_TEST(run_until([&] { return completed(0, 1); }));
    store->set_down(true);
    for (std::size_t n = 0; n < 4; ++n)
    {
        BOOST_TEST(submit(n % processes, 2) == 503U);
    }
    BOOST_TEST(started.size() == 3U);
    store->set_down(false);
    BOOST_TEST(run_until([&] { return submit(1, 2) == 200U; }));
    BOOST_TEST(run_until([&] { return completed(2, 2); }));
}

/// Guards against one accepted job stopping all others: the store rejects its
/// records for good, and each owner appended them again without end.
BOOST_AUTO_TEST_CASE(a_job_with_rejected_records_stops_no_other)
{
    BOOST_REQUIRE(all_ready());
    BOOST_TEST(submit(0, 1) == 200U);
    store->set_rejected_key("0000000000000001");
    std::uint64_t next = 2;
    for (int takeover = 0; takeover < 3; ++takeover)
    {
        auto const first = owner();
        BOOST_REQUIRE(first.has_value());
        auto const other = (*first + 1) % processes;
        BOOST_TEST(run_until([&] { return submit(other, next) == 200U; }));
        BOOST_TEST(run_until([&] { return completed(other, next); }));
        ++next;
        BOOST_TEST(run_until([&] { return store->rejected() > 0; }));
        // Known to all owners, whatever becomes of it.
        BOOST_TEST(call(other, network::http_method::get,
                        "/q/0000000000000001") == 200U);
        if (takeover < 2)
        {
            stop_process(*first);
            start_process(*first);
            BOOST_TEST(run_until([&] { return ready(*first); }));
        }
    }
    store->set_rejected_key({});
    BOOST_TEST(
        run_until([&] { return completed(0, 1); }, std::chrono::seconds{40}));
    for (auto const& [task, n] : started)
    {
        BOOST_TEST(n == 1, task);
    }
}

/// Users are refused though the store takes all that is sent to it: it is
/// slow, and who waits behind an append under way was refused for that.
BOOST_AUTO_TEST_CASE(a_slow_store_takes_all_new_work)
{
    BOOST_REQUIRE(all_ready());
    store->set_append_delay(std::chrono::milliseconds{800});
    std::array<std::optional<unsigned>, 6> ends;
    for (std::size_t n = 0; n < ends.size(); ++n)
    {
        submit_beside(n % processes, n + 1, ends[n]);
        run_until([] { return false; }, std::chrono::milliseconds{150});
    }
    BOOST_TEST(run_until(
        [&]
        {
            return std::ranges::all_of(ends, [](auto const& it)
                                       { return it.has_value(); });
        }));
    for (auto const& it : ends)
    {
        BOOST_TEST((it == 200U));
    }
}

/// Somebody's program is called again and again by the cell, and a user's job
/// waits for it. Another writer has put entries among those of the instances:
/// of an unknown service or state, with members missing, and no JSON at all.
BOOST_AUTO_TEST_CASE(entries_of_another_writer_name_no_instance)
{
    std::size_t calls = 0;
    network::http_server stranger{loop, [&](auto const&, auto answer)
                                  {
                                      ++calls;
                                      answer({200, {}, "{}"});
                                  }};
    auto const& at = spare_address();
    BOOST_REQUIRE(base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(stranger.listen(at));
            return base::done{};
        }));
    auto const good = instances.front()->heartbeat(at);
    auto const with = [&](std::string const& from, std::string const& to)
    {
        auto out = good;
        out.replace(out.find(from), from.size(), to);
        return out;
    };
    store->put(instances_topic, "i-state", with("\"ready\"", "\"paused\""));
    store->put(instances_topic, "i-service", with("\"svc\"", "\"other\""));
    store->put(instances_topic, "i-missing", with("\"zone\":\"a\",", ""));
    store->put(instances_topic, "i-type", with("\"slots\":8", "\"slots\":[]"));
    store->put(instances_topic, "i-bytes", "\xff\x01{" + good);
    BOOST_REQUIRE(all_ready());
    for (std::uint64_t id = 1; id <= 8; ++id)
    {
        BOOST_TEST(submit(id % processes, id) == 200U);
        BOOST_TEST(run_until([&] { return completed(0, id); }));
    }
    BOOST_TEST(calls == 0U);
}

/// All processes end, or no longer see which instances there are. Another
/// writer has put odd entries among those of the instances, and in place of one
/// that works.
BOOST_AUTO_TEST_CASE(odd_entries_hide_no_others)
{
    std::size_t calls = 0;
    network::http_server stranger{loop, [&](auto const&, auto answer)
                                  {
                                      ++calls;
                                      answer({200, {}, "{}"});
                                  }};
    auto const& at = spare_address();
    BOOST_REQUIRE(base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(stranger.listen(at));
            return base::done{};
        }));
    auto const good = instances.front()->heartbeat(at);
    auto const with = [&](std::string const& from, std::string const& to)
    {
        auto out = good;
        out.replace(out.find(from), from.size(), to);
        return out;
    };
    constexpr std::size_t levels = 100'000;
    auto const more = [&](std::string const& it)
    {
        return with("\"sequence\":1", "\"sequence\":1," + it);
    };
    std::string const odd[] = {
        more("\"more\":" + std::string(levels, '[') + std::string(levels, ']')),
        with("\"cpu\":8000", "\"cpu\":9223372036854775807"),
        with("\"cpu\":8000", "\"cpu\":1e300"),
        more("\"remainingMs\":1e300"),
        more("\"born\":9223372036854775807"),
        with(text_of(at), at.host + ":65536"),
        with(text_of(at), at.host + ":0"),
        with("\"k\"", "\"" + std::string(250'000, 'k') + "\",7"),
    };
    BOOST_REQUIRE(all_ready());
    std::uint64_t id = 0;
    auto const works_only = [&](instance_stand_in& worker)
    {
        for (auto const& it : instances)
        {
            it->set_cpu(it.get() == &worker ? instance_stand_in::cpu_millis
                                            : 0);
            store->put(instances_topic, it->id(), it->heartbeat());
        }
        run_until([] { return false; }, std::chrono::milliseconds{500});
        ++id;
        BOOST_TEST(submit(id % processes, id) == 200U);
        BOOST_TEST(run_until([&] { return !worker.running().empty(); }));
    };
    works_only(*instances.front());
    for (std::size_t n = 0; n < std::size(odd); ++n)
    {
        store->put(instances_topic, "i-odd-" + std::to_string(n), odd[n]);
        store->put(instances_topic, instances.front()->id(), odd[n]);
    }
    BOOST_TEST(run_until([&] { return completed(1, id); }));
    // It reads them among the newest of the list.
    stop_process(2);
    start_process(2);
    BOOST_REQUIRE(all_ready());
    for (auto const& it : instances)
    {
        works_only(*it);
        BOOST_TEST(run_until([&] { return completed(0, id); }));
    }
    for (auto const& [task, n] : started)
    {
        BOOST_TEST(n == 1, task);
    }
    BOOST_TEST(calls == 0U);
    for (auto const& it : cells)
    {
        BOOST_TEST(!it->ended());
    }
}

/// A user gets no answer any more from a process that is well. Whoever reads
/// its log has stopped reading, the pipe is full, and the process waits in a
/// write.
BOOST_AUTO_TEST_CASE(a_log_that_nobody_reads_holds_up_nothing)
{
    BOOST_REQUIRE(all_ready());
    stop_process(0);
    auto const pipe = log_path(0);
    std::filesystem::remove(pipe);
    BOOST_REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    auto const reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
    BOOST_REQUIRE(reader >= 0);
    start_process(0);
    BOOST_REQUIRE(all_ready());
    stop_process(1);
    stop_process(2);
    BOOST_REQUIRE(run_until([&] { return owner() == 0; }));
    auto const waiting = [&]
    {
        int n = 0;
        BOOST_REQUIRE(::ioctl(reader, FIONREAD, &n) == 0);
        return n;
    };
    // Each job writes some ten lines of 150 bytes; a pipe holds up to 64 kB.
    constexpr std::uint64_t jobs = 90;
    for (std::uint64_t id = 1; id <= jobs; ++id)
    {
        BOOST_TEST(submit(0, id) == 200U);
    }
    BOOST_TEST(run_until([&] { return completed(0, jobs); }));
    auto const full = waiting();
    for (std::uint64_t id = jobs + 1; id <= 2 * jobs; ++id)
    {
        BOOST_TEST(submit(0, id) == 200U);
    }
    BOOST_TEST(run_until([&] { return completed(0, 2 * jobs); }));
    // What was written since had no room in the pipe.
    constexpr int half_a_pipe = 32'768;
    BOOST_TEST(full > half_a_pipe);
    BOOST_TEST(waiting() == full);
    ::close(reader);
}

/// No work is accepted any more: the store turns the owner and another process
/// away, and serves the third.
BOOST_AUTO_TEST_CASE(work_goes_to_the_process_that_the_store_serves)
{
    std::array<std::unique_ptr<store_gate>, processes> gates;
    for (std::size_t n = 0; n < processes; ++n)
    {
        gates[n] = std::make_unique<store_gate>(loop, link_address(n),
                                                local(store_port()));
        stop_process(n);
        start_process(n, link_address(n).port);
    }
    BOOST_REQUIRE(all_ready());
    BOOST_REQUIRE(submit(0, 1) == 200U);
    auto const first = owner();
    BOOST_REQUIRE(first.has_value());
    auto const served = (*first + 1) % processes;
    for (std::size_t n = 0; n < processes; ++n)
    {
        gates[n]->set_turning_away(n != served);
    }
    // Something to store shows the owner that it is turned away.
    std::optional<unsigned> status;
    submit_beside(served, 2, status);
    BOOST_TEST(
        run_until([&] { return owner() == served; }, std::chrono::seconds{2}));
    BOOST_TEST(run_until([&] { return status.has_value(); }));
    for (std::uint64_t id = 3; id <= 5; ++id)
    {
        BOOST_TEST(submit(id % processes, id) == 200U);
        BOOST_TEST(run_until([&] { return completed(served, id); }));
    }
    BOOST_TEST((owner() == served));
}

BOOST_AUTO_TEST_SUITE_END()
