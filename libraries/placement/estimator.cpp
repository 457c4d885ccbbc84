#include <placement/estimator.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace berylhill::placement
{

namespace
{

// Factor on the declared resources while no job of the name has ended, so that
// a task that uses half as much again as declared still fits its plan. Running
// tasks are planned again once there is history, which frees the excess.
constexpr double s_unknown_factor = 1.6;
constexpr double s_run_quantile = 0.9;
// Safety margin above the largest observed peak: s_first_margin / n for n jobs
// in the history, at least s_min_margin.
constexpr double s_min_margin = 0.05;
constexpr double s_first_margin = 0.5;
constexpr std::size_t s_max_names = 50'000;

float ratio(double observed, double declared)
{
    return declared > 0 ? static_cast<float>(observed / declared) : 1.0F;
}

std::int64_t scaled(std::int64_t declared, double factor)
{
    return static_cast<std::int64_t>(
        std::ceil(static_cast<double>(declared) * factor));
}

} // namespace

std::string estimator::key_of(model::job_request const& request)
{
    return request.contract + '/' + request.name;
}

bool estimator::learn(std::string const& job,
                      model::job_request const& request,
                      model::resources const& peak,
                      double run_s)
{
    if (peak.empty())
    {
        // The task ended before its use was measured.
        return false;
    }
    if (m_histories.size() >= s_max_names)
    {
        m_histories.clear();
    }
    auto& it = m_histories[key_of(request)];
    auto const id = base::hash_of(job);
    auto const known = std::find(it.jobs.begin(), it.jobs.end(), id);
    auto const is_known = known != it.jobs.end();
    auto const at = is_known ? static_cast<std::size_t>(known - it.jobs.begin())
                             : it.count % s_max_jobs;
    auto const& declared = request.declared;
    auto const store = [&](float& into, float value)
    {
        into = is_known ? std::max(into, value) : value;
    };
    store(it.cores[at], ratio(static_cast<double>(peak.millicores),
                              static_cast<double>(declared.millicores)));
    store(it.memory[at], ratio(static_cast<double>(peak.memory_mb),
                               static_cast<double>(declared.memory_mb)));
    store(it.run[at], ratio(run_s, request.declared_run_s));
    it.jobs[at] = id;
    it.count += is_known ? 0 : 1;
    summarize(it);
    return !is_known && std::has_single_bit(it.count);
}

void estimator::record_usage(model::job_request const& request,
                             model::resources const& used)
{
    auto const found = m_histories.find(key_of(request));
    if (found == m_histories.end())
    {
        return;
    }
    auto& it = found->second;
    auto const& declared = request.declared;
    it.largest_cores = std::max(
        it.largest_cores, ratio(static_cast<double>(used.millicores),
                                static_cast<double>(declared.millicores)));
    it.largest_memory = std::max(
        it.largest_memory, ratio(static_cast<double>(used.memory_mb),
                                 static_cast<double>(declared.memory_mb)));
}

void estimator::summarize(history& it)
{
    auto const n = std::min<std::size_t>(it.count, s_max_jobs);
    auto const largest = [n](auto const& all)
    {
        return *std::max_element(all.begin(), all.begin() + n);
    };
    it.largest_cores = largest(it.cores);
    it.largest_memory = largest(it.memory);
    auto run = it.run;
    auto const at = static_cast<std::size_t>(
        std::floor(s_run_quantile * static_cast<double>(n)));
    std::nth_element(run.begin(), run.begin() + at, run.begin() + n);
    it.long_run = run[at];
}

estimate estimator::estimate_for(model::job_request const& request,
                                 model::resources const& largest) const
{
    estimate result;
    double cores = 1;
    double memory = 1;
    auto margin = s_unknown_factor;
    result.run_s = request.declared_run_s;
    auto const found = m_histories.find(key_of(request));
    if (found != m_histories.end() && found->second.count > 0)
    {
        auto const& it = found->second;
        auto const n =
            static_cast<double>(std::min<std::size_t>(it.count, s_max_jobs));
        margin = 1 + std::max(s_min_margin, s_first_margin / n);
        cores = it.largest_cores;
        memory = it.largest_memory;
        result.run_s = request.declared_run_s * it.long_run;
        result.confidence = n / (n + 1);
    }
    auto const planned = [&](double by) -> model::resources
    {
        auto const& declared = request.declared;
        return {std::min(scaled(declared.millicores, cores * by),
                         largest.millicores),
                std::min(scaled(declared.memory_mb, memory * by),
                         largest.memory_mb),
                declared.accelerators};
    };
    result.peak = planned(margin);
    result.peak_without_margin = planned(1);
    return result;
}

} // namespace berylhill::placement
