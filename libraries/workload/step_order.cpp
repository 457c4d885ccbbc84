#include <workload/step_order.hpp>

#include <cstddef>
#include <numeric>

namespace berylhill::workload
{

namespace
{

/// For each step, the steps that depend on it: those of step `n` are
/// `steps[begin[n]]` to `steps[begin[n + 1] - 1]`. Two lists for all steps,
/// since a list for each takes more memory than the job.
struct dependents
{
    std::vector<std::uint32_t> begin;
    std::vector<std::uint32_t> steps;
};

dependents dependents_of(std::vector<step_spec> const& steps)
{
    dependents out;
    out.begin.assign(steps.size() + 1, 0);
    for (auto const& it : steps)
    {
        for (auto const before : it.depends_on)
        {
            ++out.begin[before + 1];
        }
    }
    std::partial_sum(out.begin.begin(), out.begin.end(), out.begin.begin());
    out.steps.resize(out.begin.back());
    auto next = out.begin;
    for (std::uint32_t n = 0; n < steps.size(); ++n)
    {
        for (auto const before : steps[n].depends_on)
        {
            out.steps[next[before]++] = n;
        }
    }
    return out;
}

} // namespace

std::optional<std::vector<std::uint32_t>>
order_of_steps(std::vector<step_spec> const& steps)
{
    auto const after = dependents_of(steps);
    std::vector<std::uint32_t> out;
    out.reserve(steps.size());
    std::vector<std::size_t> open(steps.size());
    for (std::uint32_t n = 0; n < steps.size(); ++n)
    {
        open[n] = steps[n].depends_on.size();
        if (open[n] == 0)
        {
            out.push_back(n);
        }
    }
    for (std::size_t done = 0; done < out.size(); ++done)
    {
        auto const it = out[done];
        for (auto n = after.begin[it]; n < after.begin[it + 1]; ++n)
        {
            if (--open[after.steps[n]] == 0)
            {
                out.push_back(after.steps[n]);
            }
        }
    }
    return out.size() == steps.size() ? std::optional{std::move(out)}
                                      : std::nullopt;
}

} // namespace berylhill::workload
