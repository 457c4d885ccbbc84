#include "bench_cell.hpp"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace berylhill::bench
{

namespace
{

constexpr std::int32_t s_rack = 8;
constexpr std::int32_t s_names = 8;
constexpr base::duration s_hold_span{2'000'000};
constexpr base::duration s_step{100};
constexpr model::resources s_capacity{64'000, 262'144, 0};
constexpr model::resources s_declared{1'000, 4'096, 0};

model::contract contract_of(std::int32_t n)
{
    model::contract it;
    it.name = "contract-" + std::to_string(n);
    it.weight = 1 + n % 3;
    it.quota = {1'000'000'000, 1'000'000'000, 0};
    it.tasks_at_once = 1'000'000;
    it.jobs_at_once = 1'000'000;
    return it;
}

} // namespace

bench_cell::bench_cell(cell_size size, std::uint64_t seed)
    : m_random{seed}
    , m_size{size}
    , m_queue{seed}
{
    for (std::int32_t n = 0; n < size.workers; ++n)
    {
        auto const rack = n / s_rack;
        auto const group = "rack-" + std::to_string(rack);
        auto const zone = "zone-" + std::to_string(rack % 4);
        if (m_index.emplace(group, rack).second)
        {
            m_ledgers.emplace_back(group, zone, group);
        }
        model::endpoint it;
        it.id = "worker-" + std::to_string(n);
        it.capacity = s_capacity;
        m_ledgers.back().set_worker(it, m_now);
    }
    for (auto const& it : m_ledgers)
    {
        m_queue.update_group(it.digest(), m_now);
    }
    for (std::int32_t n = 0; n < size.contracts; ++n)
    {
        m_queue.set_contract(contract_of(n));
    }
    for (std::int32_t n = 0; n < size.tasks; ++n)
    {
        submit_one();
        decide(2);
        gossip();
    }
    while (m_queue.waiting_tasks() > 0 && decide(s_rack) > 0)
    {
        gossip();
    }
}

void bench_cell::submit_one()
{
    boost::random::uniform_int_distribution<std::int32_t> contract{
        0, m_size.contracts - 1};
    boost::random::uniform_int_distribution<std::int32_t> name{0, s_names - 1};
    model::job_request it;
    it.contract = "contract-" + std::to_string(contract(m_random));
    auto const n = name(m_random);
    it.name = "name-" + std::to_string(n);
    it.declared = s_declared;
    it.declared.millicores += std::int64_t{n} * 50;
    m_last_job = "job-" + std::to_string(m_next++);
    auto const taken =
        base::capture([&] { return m_queue.submit(m_last_job, it, m_now); });
    if (!taken)
    {
        std::abort();
    }
}

void bench_cell::end_one()
{
    m_now += s_step;
    boost::random::uniform_int_distribution<std::size_t> which{
        0, m_running.size() - 1};
    std::swap(m_running[which(m_random)], m_running.back());
    auto const it = m_running.back();
    m_running.pop_back();
    auto& ledger = m_ledgers[static_cast<std::size_t>(it.ledger)];
    ledger.on_finished(it.attempt, model::task_end::succeeded, m_now);
    m_queue.on_finished(
        {it.attempt, model::task_end::succeeded, "worker", s_declared, 60, {}},
        m_now);
    m_changed.insert(it.ledger);
}

void bench_cell::gossip()
{
    for (auto const it : m_changed)
    {
        m_queue.update_group(m_ledgers[static_cast<std::size_t>(it)].digest(),
                             m_now);
    }
    m_changed.clear();
}

std::int32_t bench_cell::start(placement::hold_order const& order)
{
    auto const index = m_index.at(order.group);
    auto& ledger = m_ledgers[static_cast<std::size_t>(index)];
    auto const attempt = order.request.attempt;
    auto const found =
        ledger.hold(order.request, m_now + s_hold_span, m_now).answer;
    if (found.state != placement::hold_state::held)
    {
        m_queue.on_refused(attempt, found.state, m_now);
        m_changed.insert(index);
        return 0;
    }
    m_changed.insert(index);
    ledger.commit(attempt, m_now);
    m_queue.on_started(attempt, order.group, m_now);
    m_running.push_back({attempt, index, order.request.need});
    return 1;
}

std::int32_t bench_cell::decide(std::int32_t most)
{
    m_now += s_step;
    std::int32_t n = 0;
    auto const actions = m_queue.decide(m_now, most);
    for (auto const& it : actions.resizes)
    {
        auto const index = m_index.at(it.group);
        m_ledgers[static_cast<std::size_t>(index)].resize(it.attempt, it.need);
        m_changed.insert(index);
    }
    for (auto const& it : actions.holds)
    {
        n += start(it);
    }
    return n;
}

void bench_cell::cancel(std::string const& job)
{
    m_queue.cancel(job, m_now);
}

} // namespace berylhill::bench
