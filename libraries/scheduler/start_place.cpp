#include <scheduler/start_place.hpp>

namespace berylhill::scheduler
{

namespace
{

bool serves(instance const& at, workload::queue_spec const& queue)
{
    return at.info().service == queue.service;
}

bool has_required_label(instance const& at, workload::step_spec const& spec)
{
    return spec.required_label.empty() || at.has_label(spec.required_label);
}

} // namespace

std::uint32_t attempts_of_step(instance const& at,
                               workload::step_name const& of)
{
    auto const& all = at.attempts();
    std::uint32_t out = 0;
    auto it = all.lower_bound(attempt_name{{of, 0}, 0});
    for (; it != all.end() && it->first.task.step == of; ++it)
    {
        ++out;
    }
    return out;
}

bool suits(instance const& at,
           workload::step_spec const& spec,
           workload::queue_spec const& queue)
{
    return serves(at, queue) && has_required_label(at, spec);
}

start_place place_of(instance const& at,
                     workload::step_name const& of,
                     workload::step_spec const& spec,
                     workload::queue_spec const& queue)
{
    return {serves(at, queue), has_required_label(at, spec),
            attempts_of_step(at, of), spec.max_per_instance};
}

} // namespace berylhill::scheduler
