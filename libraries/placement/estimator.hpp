#pragma once

#include <model/job.hpp>
#include <model/resources.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace berylhill::placement
{

/// What is expected of one task.
struct estimate
{
    /// What to plan for it; at most what the largest worker holds.
    model::resources peak;
    /// The same without the room above what was seen, or was declared.
    model::resources least;
    /// A run time that few will exceed; the declaration before anything else
    /// is known.
    double run_s{0};
    /// 0 when nothing is known, towards 1 with each task that ended.
    double confidence{0};

    friend bool operator==(estimate const&, estimate const&) = default;
};

/// Learns peak use and run time by contract and job name, as ratios to what was
/// declared, from the ends of tasks. Not thread-safe.
class estimator
{
public:
    /// One task has ended well; `peak` and `run_s` are what it took.
    /// Tasks of one job are alike, so a job counts once, by its largest task.
    /// True when so much is new that running tasks should be planned again.
    bool learn(std::string const& job,
               model::job_request const& request,
               model::resources const& peak,
               double run_s);

    /// A task that still runs uses this much, which raises the estimate where
    /// it is more than was expected.
    void learn_use(model::job_request const& request,
                   model::resources const& used);

    /// Precondition: `largest` is what the largest worker holds.
    [[nodiscard]] estimate of(model::job_request const& request,
                              model::resources const& largest) const;

private:
    static constexpr std::size_t s_kept = 32;

    struct history
    {
        std::array<float, s_kept> cores{};
        std::array<float, s_kept> memory{};
        std::array<float, s_kept> run{};
        std::array<std::uint64_t, s_kept> jobs{};
        std::uint32_t count{0};
        float largest_cores{0};
        float largest_memory{0};
        float long_run{0};
    };

    static std::string key_of(model::job_request const& request);
    static void summarize(history& it);

    std::unordered_map<std::string, history> m_histories;
};

} // namespace berylhill::placement
