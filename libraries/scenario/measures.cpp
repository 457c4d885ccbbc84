#include <scenario/measures.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr double s_us_per_s = 1e6;

/// The first attempt's name of a call that was tried again under new names.
std::string first_name(std::string const& call)
{
    return call.substr(0, call.find("-again"));
}

class customer_meter
{
public:
    std::map<std::string, customer_measures> measure(timeline const& seen)
    {
        for (auto const& it : seen)
        {
            take_call(it);
            take_job(it);
            take_task(it);
        }
        for (auto const& it : m_done)
        {
            auto const job = m_jobs.find(it.first.first);
            if (job == m_jobs.end())
            {
                continue;
            }
            auto& customer = m_customers[job->second.contract];
            ++(it.second == 1 ? customer.tasks_done_once
                              : customer.tasks_done_again);
        }
        return std::move(m_customers);
    }

private:
    struct known_job
    {
        std::string contract;
        std::int64_t accepted_us{0};
    };

    using task = std::pair<std::string, std::int64_t>;

    void take_call(event const& it)
    {
        if (it.kind == "call_sent")
        {
            m_sent.emplace(first_name(it.word("call")), it.at_us);
        }
        else if (it.kind == "call_given_up")
        {
            ++m_customers[it.subject].calls_unknown;
        }
        else if (it.kind == "call_refused_to_caller")
        {
            ++m_customers[it.subject].calls_refused;
        }
        else if (it.kind == "call_answered")
        {
            auto& customer = m_customers[it.subject];
            ++customer.calls_answered;
            auto const sent = m_sent[first_name(it.word("call"))];
            customer.call_s.push_back(static_cast<double>(it.at_us - sent) /
                                      s_us_per_s);
        }
    }

    void take_job(event const& it)
    {
        if (it.kind == "job_sent")
        {
            m_tasks[it.word("tag")] = static_cast<int>(it.number("tasks"));
        }
        else if (it.kind == "job_accepted")
        {
            auto& customer = m_customers[it.subject];
            ++customer.jobs_accepted;
            customer.tasks += m_tasks[it.word("tag")];
            m_jobs[it.word("id")] = {it.subject, it.at_us};
        }
        else if (it.kind == "job_ended" && it.word("state") == "succeeded")
        {
            ++m_customers[it.subject].jobs_succeeded;
        }
    }

    void take_task(event const& it)
    {
        task const one{it.word("job"), it.number("index")};
        if (it.kind == "end" && it.word("end") == "succeeded")
        {
            ++m_done[one];
        }
        if (it.kind != "start" || !m_started.insert(one).second)
        {
            return;
        }
        // The start may come before the caller has read the acceptance.
        auto const known = m_jobs.find(one.first);
        auto const accepted =
            known == m_jobs.end() ? it.at_us : known->second.accepted_us;
        m_customers[it.word("contract")].task_wait_s.push_back(
            static_cast<double>(it.at_us - accepted) / s_us_per_s);
    }

    std::map<std::string, customer_measures> m_customers;
    std::map<std::string, std::int64_t> m_sent;
    std::map<std::string, int> m_tasks;
    std::map<std::string, known_job> m_jobs;
    std::map<task, int> m_done;
    std::set<task> m_started;
};

/// What is planned on the workers that run something.
class packing_meter
{
public:
    double measure(timeline const& seen)
    {
        for (auto const& it : seen)
        {
            if (it.kind == "start" || it.kind == "end")
            {
                pass_to(it.at_us);
                take(it);
            }
        }
        return m_room == 0 ? 0 : m_planned / m_room;
    }

private:
    struct worker
    {
        std::int64_t capacity{0};
        std::map<std::string, std::int64_t> running;
    };

    void pass_to(std::int64_t at_us)
    {
        auto const passed = static_cast<double>(at_us - m_at_us);
        m_at_us = at_us;
        for (auto const& it : m_workers)
        {
            if (it.second.running.empty())
            {
                continue;
            }
            m_room += passed * static_cast<double>(it.second.capacity);
            for (auto const& attempt : it.second.running)
            {
                m_planned += passed * static_cast<double>(attempt.second);
            }
        }
    }

    void take(event const& it)
    {
        auto const attempt = it.word("job") + "/" +
                             std::to_string(it.number("index")) + "#" +
                             std::to_string(it.number("attempt"));
        auto& here = m_workers[it.subject];
        if (it.kind == "end")
        {
            here.running.erase(attempt);
            return;
        }
        here.capacity = it.details["capacity"]["millicores"].asInt64();
        here.running[attempt] = it.details["planned"]["millicores"].asInt64();
    }

    std::map<std::string, worker> m_workers;
    std::int64_t m_at_us{0};
    double m_planned{0};
    double m_room{0};
};

} // namespace

double quantile(std::vector<double> samples, double share)
{
    assert(share >= 0 && share <= 1);
    if (samples.empty())
    {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    auto const rank = std::ceil(share * static_cast<double>(samples.size()));
    auto const index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return samples[index];
}

std::map<std::string, customer_measures> measure_customers(timeline const& seen)
{
    return customer_meter{}.measure(seen);
}

double measure_packing(timeline const& seen)
{
    return packing_meter{}.measure(seen);
}

} // namespace berylhill::scenario
