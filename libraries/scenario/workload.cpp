#include <scenario/workload.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr int s_callers = 48;
constexpr int s_most_attempts = 40;
constexpr auto s_retry_after = std::chrono::milliseconds{250};
constexpr auto s_poll = std::chrono::milliseconds{50};

std::string numbered(std::string const& name, int number, int attempt)
{
    auto text = name + "-" + std::to_string(number);
    return attempt == 0 ? text : text + "-again" + std::to_string(attempt);
}

} // namespace

workload::workload(api_client& api, journal& seen)
    : m_api{api}
    , m_journal{seen}
    , m_follower{[this]
                 {
                     follow();
                 }}
{
}

workload::~workload()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& it : m_threads)
    {
        it.join();
    }
    m_follower.join();
}

bool workload::pause(base::duration it)
{
    std::unique_lock lock{m_mutex};
    return !m_changed.wait_for(lock, it, [this] { return m_stopping; });
}

void workload::start(call_batch const& it)
{
    {
        std::lock_guard const lock{m_mutex};
        m_tallies[it.contract].calls += it.count;
    }
    auto const next = std::make_shared<std::atomic<int>>(0);
    auto const begin = m_clock.now();
    for (int n = 0; n < std::min(s_callers, it.count); ++n)
    {
        m_threads.emplace_back([this, it, next, begin]
                               { run_calls(it, *next, begin); });
    }
}

void workload::run_calls(call_batch const& it,
                         std::atomic<int>& next,
                         base::instant start)
{
    while (true)
    {
        auto const number = next++;
        auto const due = start + base::from_seconds(number / it.rate);
        if (number >= it.count || !pause(due - m_clock.now()))
        {
            return;
        }
        call_until_answered(it, number);
    }
}

void workload::call_until_answered(call_batch const& batch, int number)
{
    auto const begin = m_clock.now();
    for (int attempt = 0; attempt < s_most_attempts; ++attempt)
    {
        auto const result =
            m_api.call({numbered(batch.prefix, number, attempt), batch.contract,
                        batch.service, batch.safety, batch.deadline});
        {
            std::lock_guard const lock{m_mutex};
            auto& it = m_tallies[batch.contract];
            if (result == call_result::answered)
            {
                ++it.answered;
                it.waited_s.push_back(base::seconds_of(m_clock.now() - begin));
                return;
            }
            ++(result == call_result::not_run ? it.refused : it.unknown);
            // Of a call that must run once, "unknown" is the last word.
            if (result == call_result::unknown &&
                batch.safety == model::rerun::at_most_once)
            {
                ++it.given_up;
                Json::Value details;
                details["call"] = numbered(batch.prefix, number, attempt);
                m_journal.add("call_given_up", batch.contract, details);
                return;
            }
        }
        if (!pause(s_retry_after))
        {
            return;
        }
    }
}

void workload::start(job_batch const& it)
{
    {
        std::lock_guard const lock{m_mutex};
        m_tallies[it.request.contract].jobs += it.count;
    }
    m_threads.emplace_back([this, it] { run_jobs(it); });
}

void workload::run_jobs(job_batch const& it)
{
    for (int number = 0; number < it.count; ++number)
    {
        submit_until_accepted(it, number);
        if (!pause(it.gap))
        {
            return;
        }
    }
}

void workload::submit_until_accepted(job_batch const& batch, int number)
{
    for (int attempt = 0; attempt < s_most_attempts; ++attempt)
    {
        auto const tag = numbered(batch.tag, number, attempt);
        auto request = batch.request;
        auto command = batch.command;
        command["tag"] = tag;
        request.key = tag;
        request.command = model::text_of(command);
        auto const id =
            base::capture([&] { return m_api.submit(request, tag); });
        if (id)
        {
            std::lock_guard const lock{m_mutex};
            ++m_tallies[request.contract].accepted;
            m_unfinished[id.value()] = {tag, request.contract, m_clock.now()};
            return;
        }
        if (id.error().code != base::failure_code::refused ||
            !pause(s_retry_after))
        {
            return;
        }
    }
}

void workload::follow()
{
    while (pause(s_poll))
    {
        std::vector<std::string> ids;
        {
            std::lock_guard const lock{m_mutex};
            for (auto const& it : m_unfinished)
            {
                ids.push_back(it.first);
            }
        }
        for (auto const& it : ids)
        {
            auto const state = base::capture([&] { return m_api.job(it); });
            if (state)
            {
                note_state(it, state.value());
            }
        }
    }
}

void workload::note_state(std::string const& id, Json::Value const& state)
{
    auto const name = state["state"].asString();
    if (name == "queued" || name == "running")
    {
        return;
    }
    Json::Value details;
    details["id"] = id;
    details["state"] = name;
    details["tasks_done"] = state["tasks_done"];
    std::lock_guard const lock{m_mutex};
    auto const job = m_unfinished.find(id);
    if (job == m_unfinished.end())
    {
        return;
    }
    details["tag"] = job->second.tag;
    m_journal.add("job_ended", job->second.contract, details);
    auto& it = m_tallies[job->second.contract];
    ++it.ended[name];
    it.tasks_done +=
        state["tasks_done"].isInt64() ? state["tasks_done"].asInt64() : 0;
    it.job_s.push_back(base::seconds_of(m_clock.now() - job->second.accepted));
    m_unfinished.erase(job);
}

void workload::cancel(std::string const& tag, int count)
{
    std::vector<std::string> ids;
    {
        std::lock_guard const lock{m_mutex};
        for (auto const& it : m_unfinished)
        {
            if (it.second.tag.starts_with(tag) &&
                static_cast<int>(ids.size()) < count)
            {
                ids.push_back(it.first);
            }
        }
    }
    for (auto const& id : ids)
    {
        m_threads.emplace_back(
            [this, id]
            {
                for (int n = 0; n < s_most_attempts; ++n)
                {
                    if (base::capture([&] { return m_api.cancel(id); }) ||
                        !pause(s_retry_after))
                    {
                        return;
                    }
                }
            });
    }
}

std::map<std::string, tally> workload::tallies() const
{
    std::lock_guard const lock{m_mutex};
    return m_tallies;
}

int workload::answered() const
{
    int sum = 0;
    for (auto const& it : tallies())
    {
        sum += it.second.answered;
    }
    return sum;
}

int workload::refused() const
{
    int sum = 0;
    for (auto const& it : tallies())
    {
        sum += it.second.refused;
    }
    return sum;
}

int workload::ended(std::string const& state) const
{
    int sum = 0;
    for (auto const& it : tallies())
    {
        auto const known = it.second.ended.find(state);
        sum += known == it.second.ended.end() ? 0 : known->second;
    }
    return sum;
}

} // namespace berylhill::scenario
