#include "fake_log.hpp"
#include "idle_platform.hpp"
#include "ownership_process.hpp"
#include "printing.hpp"

#include <cell/call_check.hpp>
#include <cell/call_router.hpp>
#include <cell/peer_paths.hpp>
#include <cell/peer_service.hpp>
#include <scheduler/record.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::job_answer_kind;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t accounts = 6;

std::string account_name(std::size_t n)
{
    return "account-" + std::to_string(n);
}

/// Version of the configuration in which one account has no key, and in every
/// third one queue is gone.
workload::cell_configuration configuration_of(std::int64_t version)
{
    workload::cell_configuration out;
    out.version = version;
    out.services.emplace_back().name = "service";
    for (std::size_t n = 0; n < accounts; ++n)
    {
        auto const gone = version % 3 == 0 &&
                          n == static_cast<std::size_t>(version / 3) % accounts;
        if (!gone)
        {
            auto& queue = out.queues.emplace_back();
            queue.name = "queue-" + std::to_string(n);
            queue.service = "service";
            queue.host = "h";
            queue.path_prefix = "/" + queue.name + "/";
        }
    }
    std::vector<workload::account_spec> all;
    for (std::size_t n = 0; n < accounts; ++n)
    {
        auto const revoked = n == static_cast<std::size_t>(version) % accounts;
        auto& it = all.emplace_back();
        it.name = account_name(n);
        it.weight = 1;
        if (!revoked)
        {
            it.keys.push_back("key-" + std::to_string(n));
        }
    }
    out.accounts = workload::account_table{std::move(all)};
    return out;
}

/// A process of a cell: it claims the work, serves the others' calls and sends
/// its callers' to the owner. Lives on the test's loop.
class cell_process final : public cell::ownership::listener,
                           public cell::peer_service::backend
{
public:
    cell_process(boost::asio::io_context& loop,
                 fake_log& log,
                 std::string name,
                 std::int64_t version)
        : m_loop{loop}
        , m_log{log}
        , m_listed{loop}
        , m_self{std::move(name), free_address(), 250}
        , m_server{loop,
                   [this](auto const& it, network::responder answer)
                   {
                       serve(it, std::move(answer));
                   }}
        , m_http{loop, {}}
        , m_ownership{loop,    m_clock,         log,
                      m_peers, m_latency,       m_store,
                      m_self,  m_self.instance, *this}
        , m_service{loop, m_clock, *this}
        , m_router{loop, m_clock, m_peers, m_ownership,
                   [this](auto const& it, auto const& done)
                   {
                       return call_here(it, done);
                   }}
        , m_configuration{configuration_of(version)}
    {
        network::server_limits limits;
        limits.body_bytes = 100'000;
        limits.header_bytes = 4'000;
        limits.request_time = std::chrono::seconds{2};
        limits.idle_time = std::chrono::seconds{5};
        limits.connections = 200;
        m_server.set_limits(limits);
        BOOST_REQUIRE(listens(m_server, m_self.address));
        m_ownership.start();
    }

    // cell::ownership::listener
    void claimed() override {}
    void began(std::map<std::string, std::string> const& records,
               cell::won_claim const& claim) override
    {
        ++takeovers;
        m_owner = std::make_unique<cell::cell_owner>(
            cell::owner_parts{&m_loop, &m_clock, &m_log, &m_listed, &m_orders,
                              &m_desk, &m_reader, &m_decisions, &m_latency},
            scheduler::policy{}, m_configuration, records, claim,
            cell::write_times{},
            [this](char const* why) { m_ownership.lose_ownership(why); });
        m_service.wake();
    }
    void ended() override
    {
        m_owner.reset();
        m_service.wake();
    }
    [[nodiscard]] cell::configuration_age configuration_here() const override
    {
        return {};
    }
    void on_configuration_reported(cell::configuration_age const&,
                                   base::instant,
                                   network::socket_address const&) override
    {
    }
    void on_list_end_reported(cell::log_end_age const&, base::instant) override
    {
    }

    // cell::peer_service::backend
    [[nodiscard]] cell::watch_answer view() const override
    {
        cell::watch_answer out;
        out.owns = owns();
        out.restoring = owns() && !serves();
        out.leaving = m_ownership.released() && !owns();
        out.owner = m_ownership.owner();
        out.owner_heard = m_ownership.owner_heard();
        return out;
    }
    void on_owner_reported(cell::owner_view const& it) override
    {
        m_ownership.on_owner_reported(it);
    }
    void on_version_reported(std::int64_t,
                             network::socket_address const&) override
    {
    }
    void
    on_evidence_reported(cell::peer const&,
                         std::optional<cell::store_evidence> const&) override
    {
    }
    [[nodiscard]] cell::configuration_record configuration() const override
    {
        return {};
    }
    [[nodiscard]] std::optional<std::string> compressed_configuration() override
    {
        return std::nullopt;
    }
    [[nodiscard]] bool owns() const override
    {
        return serves() ||
               m_ownership.state() == cell::ownership_state::restoring;
    }
    [[nodiscard]] bool serves() const override
    {
        return m_owner != nullptr;
    }
    void call_owner(cell::job_call const& it,
                    cell::job_answer_handler done) override
    {
        m_owner->call(it, m_configuration, std::move(done));
    }
    void advise(cell::advice_request const&, cell::advice_handler) override {}

    /// Submits a job of an account if this process's configuration allows it.
    /// `done` is not called after `kill`.
    bool submit(workload::job_id job,
                std::size_t account,
                cell::call_router::handler done)
    {
        auto const* const queue =
            m_configuration.find_queue("queue-" + std::to_string(account));
        auto const key = "key-" + std::to_string(account);
        if (queue == nullptr || !m_configuration.accounts ||
            m_configuration.accounts->find_by_key(key) == nullptr)
        {
            return false;
        }
        cell::job_call it;
        it.kind = cell::job_call_kind::submit;
        it.queue = queue->name;
        it.account = account_name(account);
        it.configuration = m_configuration.version;
        it.route_hash = cell::hash_of_route(*queue);
        it.key_digest = cell::digest_of_key(key);
        it.job = job;
        it.spec.id = job;
        it.spec.queue = queue->name;
        it.spec.account = it.account;
        workload::step_spec step;
        step.tasks = 1;
        it.spec.steps.push_back(step);
        it.timeout = milliseconds{1'500};
        m_router.call(it,
                      [this, done = std::move(done)](auto const& end)
                      {
                          if (!m_killed)
                          {
                              done(end);
                          }
                      });
        return true;
    }

    void install(std::int64_t version)
    {
        if (version > m_configuration.version)
        {
            m_configuration = configuration_of(version);
            if (m_owner)
            {
                m_owner->set_configuration(m_configuration);
            }
        }
    }

    /// Ends without an answer to anybody; what it sent may still arrive.
    void kill()
    {
        m_killed = true;
        m_server.close_connections();
        m_ownership.leave();
        m_owner.reset();
    }

    /// The next answers to calls are lost with their connections.
    void lose_answers(std::size_t n)
    {
        m_answers_to_lose = n;
    }

    [[nodiscard]] bool killed() const noexcept
    {
        return m_killed;
    }

    std::size_t takeovers{0};

private:
    void serve(network::http_request const& it, network::responder answer)
    {
        if (m_killed)
        {
            return;
        }
        if (!it.target.starts_with(cell::peer_paths::job))
        {
            m_service.handle(it, std::move(answer));
            return;
        }
        m_service.handle(it,
                         [this, answer = std::move(answer)](auto response)
                         {
                             if (m_killed)
                             {
                                 return;
                             }
                             if (m_answers_to_lose > 0)
                             {
                                 --m_answers_to_lose;
                                 m_server.close_connections();
                                 return;
                             }
                             answer(std::move(response));
                         });
    }

    bool call_here(cell::job_call const& it,
                   cell::job_answer_handler const& done)
    {
        if (!m_owner)
        {
            return false;
        }
        call_owner(it, done);
        return true;
    }

    boost::asio::io_context& m_loop;
    fake_log& m_log;
    fake_log m_listed;
    cell::peer m_self;
    network::http_server m_server;
    base::system_clock m_clock;
    network::http_client m_http;
    cell::peer_client m_peers{m_http};
    cell::store_latency m_latency;
    cell::store_contact m_store;
    cell::ownership m_ownership;
    cell::peer_service m_service;
    no_instances m_orders;
    no_advice m_advice;
    cell::advice_dispatcher m_desk{m_clock, m_advice, m_peers,
                                   []
                                   {
                                       return std::vector<cell::peer>{};
                                   }};
    no_documents m_reader;
    no_log m_decisions;
    cell::call_router m_router;
    workload::cell_configuration m_configuration;
    std::unique_ptr<cell::cell_owner> m_owner;
    std::size_t m_answers_to_lose{0};
    bool m_killed{false};
};

/// Clients that hand each job in once, while keys are revoked, the store and
/// owners lose answers, and owners are killed. Real time, real sockets.
class random_cell
{
public:
    explicit random_cell(std::uint64_t seed)
        : m_random{seed}
    {
        for (std::size_t n = 0; n < process_count; ++n)
        {
            m_processes.push_back(nullptr);
            replace(n);
        }
    }

    /// Runs for `length` at least, until enough has happened, for `limit` at
    /// most.
    void run(milliseconds length, milliseconds limit)
    {
        auto const began = std::chrono::steady_clock::now();
        auto const passed = [&]
        {
            return std::chrono::steady_clock::now() - began;
        };
        while (passed() < length || (!enough() && passed() < limit))
        {
            turn();
            disturb();
            submit();
        }
        m_log.append_behaviors.clear();
        // Longer than any call waits.
        auto const settled = std::chrono::steady_clock::now() + settle_time;
        while (std::chrono::steady_clock::now() < settled)
        {
            turn();
            m_log.deliver_late();
        }
    }

    [[nodiscard]] bool enough() const
    {
        return takeovers() >= enough_takeovers &&
               told(job_answer_kind::accepted) >= enough_accepted;
    }

    /// Jobs that were rejected and are stored, with what their client was told.
    [[nodiscard]] std::vector<std::pair<workload::job_id, job_answer_kind>>
    false_rejections() const
    {
        std::vector<std::pair<workload::job_id, job_answer_kind>> out;
        auto const stored = stored_jobs();
        for (auto const& [job, told] : m_told)
        {
            if (is_rejection(told) && stored.contains(job))
            {
                out.emplace_back(job, told);
            }
        }
        return out;
    }

    /// Jobs that were accepted and are not stored.
    [[nodiscard]] std::size_t lost() const
    {
        auto const stored = stored_jobs();
        std::size_t out = 0;
        for (auto const& [job, told] : m_told)
        {
            out += told == job_answer_kind::accepted && !stored.contains(job)
                       ? 1
                       : 0;
        }
        return out;
    }

    [[nodiscard]] std::size_t told(job_answer_kind what) const
    {
        std::size_t out = 0;
        for (auto const& it : m_told)
        {
            out += it.second == what ? 1 : 0;
        }
        return out;
    }

    [[nodiscard]] std::size_t takeovers() const
    {
        std::size_t out = 0;
        for (auto const& it : m_all)
        {
            out += it->takeovers;
        }
        return out;
    }

private:
    static constexpr std::size_t process_count = 4;
    static constexpr std::size_t enough_takeovers = 3;
    static constexpr std::size_t enough_accepted = 50;
    static constexpr milliseconds step{4};
    static constexpr milliseconds settle_time{2'000};

    static bool is_rejection(job_answer_kind it)
    {
        return it != job_answer_kind::accepted &&
               it != job_answer_kind::outcome_unknown;
    }

    bool chance(double it)
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < it;
    }

    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(m_random);
    }

    void turn()
    {
        m_loop.restart();
        m_loop.run_for(step);
    }

    [[nodiscard]] std::set<workload::job_id> stored_jobs() const
    {
        std::set<workload::job_id> out;
        for (auto const& it : m_log.log)
        {
            auto const key = scheduler::parse_record_key(it.key);
            if (key.job.number != 0)
            {
                out.insert(key.job);
            }
        }
        return out;
    }

    void replace(std::size_t at)
    {
        if (auto const& gone = m_processes.at(at); gone)
        {
            gone->kill();
        }
        m_processes.at(at) = std::make_shared<cell_process>(
            m_loop, m_log, "process-" + std::to_string(m_all.size()),
            m_version);
        m_all.push_back(m_processes.at(at));
    }

    void disturb()
    {
        if (chance(0.02))
        {
            ++m_version;
        }
        for (auto const& it : m_processes)
        {
            // Each process learns of a version at a time of its own.
            if (chance(0.02))
            {
                it->install(m_version);
            }
        }
        for (std::size_t n = 0; n < m_processes.size(); ++n)
        {
            auto& it = *m_processes[n];
            if (it.serves() && chance(0.008))
            {
                replace(n);
                return;
            }
            if (it.serves() && chance(0.02))
            {
                it.lose_answers(1 + below(4));
            }
        }
        if (chance(0.05))
        {
            constexpr fate fates[] = {fate::delay, fate::store_silently,
                                      fate::store_silently, fate::silent,
                                      fate::refuse};
            m_log.append_behaviors.push_back(fates[below(std::size(fates))]);
        }
        if (chance(0.03))
        {
            m_log.deliver_late();
        }
    }

    void submit()
    {
        workload::job_id const job{m_random() | 1U};
        auto& at = *m_processes.at(below(m_processes.size()));
        at.submit(job, below(accounts),
                  [this, job](cell::call_outcome const& end)
                  { m_told.emplace(job, end.answer.kind); });
    }

    std::mt19937_64 m_random;
    boost::asio::io_context m_loop;
    fake_log m_log{m_loop};
    std::int64_t m_version{1};
    std::vector<std::shared_ptr<cell_process>> m_processes;
    std::vector<std::shared_ptr<cell_process>> m_all;
    std::map<workload::job_id, job_answer_kind> m_told;
};

/// Number of seeds; `BERYLHILL_SEEDS` sets another one.
int last_seed()
{
    constexpr int in_ci = 4;
    auto const* const text = std::getenv("BERYLHILL_SEEDS");
    return text == nullptr ? in_ci : std::atoi(text);
}

constexpr milliseconds run_length{3'000};
constexpr milliseconds run_limit{30'000};

} // namespace

BOOST_AUTO_TEST_SUITE(rejections_random)

/// Guards against a client that is told that its job was rejected, while the
/// job is stored and runs.
BOOST_DATA_TEST_CASE(a_rejected_submission_is_never_stored,
                     boost::unit_test::data::xrange(1, last_seed() + 1),
                     seed)
{
    random_cell cell{static_cast<std::uint64_t>(seed)};
    cell.run(run_length, run_limit);
    for (auto const& [job, told] : cell.false_rejections())
    {
        BOOST_ERROR("job " << text_of(job) << " is stored, its client was told "
                           << told);
    }
    BOOST_TEST(cell.lost() == 0U);
    BOOST_TEST(cell.enough());
}

BOOST_AUTO_TEST_SUITE_END()
