#pragma once

#include "fake_log.hpp"
#include "idle_platform.hpp"
#include "line_list.hpp"
#include "printing.hpp"

#include <cell/call_check.hpp>
#include <cell/cell_owner.hpp>
#include <network/http_client.hpp>
#include <tests/support/run_until.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// An advice service that answers when the test says so.
class held_advice final : public cell::advice_client
{
public:
    void ask(workload::step_name const& step,
             std::vector<std::string> const&,
             base::duration,
             cell::advice_handler done) override
    {
        asked.push_back(step.job.number);
        open.push_back(std::move(done));
    }

    void answer_all()
    {
        while (!open.empty())
        {
            auto const done = std::move(open.front());
            open.pop_front();
            done({true, {}, std::chrono::seconds{1}});
        }
    }

    /// The jobs of all requests so far.
    std::vector<std::uint64_t> asked;
    std::deque<cell::advice_handler> open;
};

/// Instances whose answers to holds the test gives.
class held_instances final : public no_instances
{
public:
    void hold(cell::order_target const&,
              scheduler::hold_order const&,
              base::duration,
              cell::hold_handler done) override
    {
        ++holds;
        open = std::move(done);
    }

    void answer_hold()
    {
        cell::hold_result it;
        it.outcome = cell::order_outcome::done;
        std::exchange(open, nullptr)(it);
    }

    std::size_t holds{0};
    cell::hold_handler open;
};

/// An owner whose store gives no answer, so that the first submission may be
/// stored at any time.
struct cell_owner_fixture
{
    using told = std::shared_ptr<std::optional<cell::job_answer_kind>>;

    cell_owner_fixture()
    {
        constexpr std::size_t many = 10'000;
        log.append_behaviors.assign(many, fate::delay);
        configuration.version = 1;
        auto& queue = configuration.queues.emplace_back();
        queue.name = "a";
        queue.service = "service";
        configuration.services.emplace_back().name = "service";
        take_over({});
    }

    /// Replaces the owner by one that got this from its predecessor.
    void take_over(cell::write_times list_times)
    {
        owner = std::make_unique<cell::cell_owner>(
            cell::owner_parts{&loop, &clock, &log, &listed, &orders, &desk,
                              &reader, &decisions, &latency},
            scheduler::policy{}, configuration,
            std::map<std::string, std::string>{},
            cell::won_claim{1, 0, clock.now() - restoring},
            std::move(list_times), [this](char const*) { lost = true; });
    }

    [[nodiscard]] cell::job_call submission(std::uint64_t id,
                                            base::duration timeout) const
    {
        cell::job_call it;
        it.kind = cell::job_call_kind::submit;
        it.queue = "a";
        it.account = "team";
        it.configuration = 1;
        it.route_hash = cell::hash_of_route(configuration.queues.front());
        it.key_digest = cell::digest_of_key("key");
        it.job = {id};
        it.spec.id = {id};
        it.spec.queue = "a";
        it.spec.account = "team";
        workload::step_spec step;
        step.tasks = 1;
        it.spec.steps.push_back(step);
        it.timeout = timeout;
        return it;
    }

    told submit(std::uint64_t id, base::duration timeout)
    {
        return call(submission(id, timeout));
    }

    told call(cell::job_call const& it)
    {
        auto out = std::make_shared<std::optional<cell::job_answer_kind>>();
        owner->call(it, in_force ? *in_force : configuration,
                    [out](cell::job_answer const& end) { *out = end.kind; });
        return out;
    }

    template <class Done>
    bool run_until(Done done)
    {
        return test_support::run_until(loop, done, std::chrono::seconds{5});
    }

    /// Replaces the owner by one that has read all records.
    void take_over_records()
    {
        std::map<std::string, std::string> records;
        for (auto const& it : log.log)
        {
            records[it.key] = it.value;
        }
        auto const next = log.log.size();
        owner = std::make_unique<cell::cell_owner>(
            cell::owner_parts{&loop, &clock, &log, &listed, &orders, &desk,
                              &reader, &decisions, &latency},
            scheduler::policy{}, configuration, records,
            cell::won_claim{next, next, clock.now() - restoring},
            cell::write_times{}, [](char const*) {});
    }

    void submit_and_wait(std::uint64_t id)
    {
        log.append_behaviors.clear();
        auto const end = submit(id, long_timeout);
        BOOST_REQUIRE(run_until([&] { return end->has_value(); }));
        BOOST_REQUIRE((**end == cell::job_answer_kind::accepted));
    }

    void cancel_and_wait(std::uint64_t id)
    {
        auto const end = cancel_of(id);
        BOOST_REQUIRE(run_until([&] { return end->has_value(); }));
        BOOST_REQUIRE((**end == cell::job_answer_kind::accepted));
    }

    /// Waits for the answer.
    cell::job_answer_kind answer_to(told const& it)
    {
        BOOST_REQUIRE(run_until([&] { return it->has_value(); }));
        return **it;
    }

    told status_of(std::uint64_t id)
    {
        auto it = submission(id, long_timeout);
        it.kind = cell::job_call_kind::status;
        return call(it);
    }

    told cancel_of(std::uint64_t id)
    {
        auto it = submission(id, long_timeout);
        it.kind = cell::job_call_kind::cancel;
        return call(it);
    }

    /// Puts a newer configuration in force in the owner's process, without the
    /// callers' key or without their queue.
    void change_configuration(cell::job_answer_kind removed)
    {
        in_force = configuration;
        in_force->version = 2;
        if (removed == cell::job_answer_kind::no_queue)
        {
            in_force->queues.clear();
        }
        in_force->accounts = workload::account_table{{{"team", {}, 1, {}}}};
    }

    /// Submits the job; its record has been sent to the store, and the client
    /// has heard that the outcome is unknown.
    void submit_without_outcome(std::uint64_t id)
    {
        auto const first = submit(id, short_timeout);
        BOOST_REQUIRE(run_until([&] { return first->has_value(); }));
        BOOST_TEST((**first == cell::job_answer_kind::outcome_unknown));
        BOOST_TEST(log.appends > 0U);
    }

    /// Requests advice that the service takes long to give, for a step of the
    /// job.
    void ask_advice(std::uint64_t job)
    {
        scheduler::advice_order it;
        it.step.job = {job};
        it.instances = {"i"};
        it.expected = std::chrono::milliseconds{800};
        it.needed_by = clock.now();
        desk.ask(it, [](cell::advice_result const&) {});
    }

    /// How long an owner answers by one confirmation.
    static constexpr base::duration max_unconfirmed =
        std::chrono::milliseconds{500};

    /// Lets the time pass after which the owner needs a new confirmation that
    /// it owns the work.
    void outlast_confirmation()
    {
        BOOST_REQUIRE(run_until(
            [&] { return owner->confirmed_ago() > max_unconfirmed; }));
    }

    static constexpr base::duration short_timeout =
        std::chrono::milliseconds{250};
    static constexpr base::duration long_timeout = std::chrono::seconds{4};
    /// From an owner's claim until it has read the records.
    static constexpr base::duration restoring = std::chrono::seconds{1};

    workload::cell_configuration configuration;
    /// What the owner's process has in force if that is newer.
    std::optional<workload::cell_configuration> in_force;
    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    fake_log listed{loop};
    network::http_client client{loop, {}};
    cell::peer_client peers{client};
    held_instances orders;
    held_advice advice;
    cell::advice_dispatcher desk{clock, advice, peers,
                                 []
                                 {
                                     return std::vector<cell::peer>{};
                                 }};
    no_documents reader;
    line_list decisions;
    cell::store_latency latency;
    std::unique_ptr<cell::cell_owner> owner;
    /// An owner has detected that it was overtaken.
    bool lost{false};
};

/// When another owner takes over.
enum class owner_change : std::uint8_t
{
    none,
    between_calls,
    after_submission,
};

inline std::ostream& operator<<(std::ostream& to, owner_change it)
{
    return to << static_cast<int>(it);
}

} // namespace berylhill::cell_test
