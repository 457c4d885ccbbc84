#include "world.hpp"

#include <algorithm>
#include <utility>

namespace berylhill::scheduler_test
{

namespace
{

/// An accepted configuration is in force after this time.
constexpr base::duration configuration_limit = std::chrono::seconds{3};

std::string kind_of(int number)
{
    return "k" + std::to_string(number);
}

int any_of_two(std::mt19937_64& of)
{
    return std::uniform_int_distribution<>{0, 1}(of);
}

std::string other_service(std::string const& it)
{
    return it == "svc" ? "other" : "svc";
}

} // namespace

/// Each service has at least one instance of each kind, so that every step can
/// run.
fake_place world::first_place(int number)
{
    if (!places())
    {
        return {};
    }
    auto const kind = number / 2;
    fake_place const out{number % 2 == 0 ? "svc" : "other", kind_of(kind),
                         kind > 1};
    return next_incarnation(out);
}

fake_place world::next_incarnation(fake_place it)
{
    if (it.any_kind)
    {
        it.kind = kind_of(any_of_two(m_place_random));
    }
    return it;
}

/// Restricts where tasks of some of the job's steps may run.
void world::narrow(workload::job_spec& it)
{
    constexpr double bound_share = 0.4;
    constexpr double label_share = 0.25;
    if (!places())
    {
        return;
    }
    for (auto& step : it.steps)
    {
        if (chance(m_place_random, bound_share))
        {
            // The members of a gang have to run at the same time.
            auto const few = 1 + any_of_two(m_place_random);
            step.max_per_instance =
                static_cast<std::uint32_t>(step.gang ? 2 : few);
        }
        if (!step.gang && chance(m_place_random, label_share))
        {
            step.required_label = kind_of(any_of_two(m_place_random));
        }
    }
}

/// The job as the owner sees it.
workload::job_spec world::as_submitted(workload::job_spec it) const
{
    for (auto& step : it.steps)
    {
        if (m_fault == planted::ignore_step_bounds)
        {
            step.max_per_instance = 0;
        }
        if (m_fault == planted::ignore_labels)
        {
            step.required_label.clear();
        }
    }
    return it;
}

/// The operator moves one of the queues to the other service.
void world::move_queue()
{
    auto& queue = m_configuration.queues.at(
        static_cast<std::size_t>(any_of_two(m_place_random)));
    auto& former = m_former_services[queue.name];
    former[queue.service] = m_now;
    queue.service = other_service(queue.service);
    m_log.write(base::log_level::debug, "world_queue",
                {{"name", queue.name}, {"service", queue.service}});
    if (m_fault != planted::trust_old_services)
    {
        m_owner->decisions->set_configuration(m_configuration);
    }
}

void world::check_place(fake_instance const& at,
                        scheduler::start_order const& it)
{
    auto const& label = spec_of(it.attempt.task.step)->required_label;
    if (!label.empty() && label != at.place.kind)
    {
        broken("start on " + at.id +
               ", which is of another kind: " + text_of(it.attempt.task));
    }
    auto const& queue = m_submitted.at(it.attempt.task.step.job).queue;
    auto const now = std::ranges::find(m_configuration.queues, queue,
                                       &workload::queue_spec::name);
    if (now->service != at.place.service &&
        !m_former_services[queue].contains(at.place.service))
    {
        broken("start on " + at.id +
               ", which serves another queue: " + text_of(it.attempt.task));
    }
}

/// The owner is told of each configuration at once.
void world::check_service_sent_to(scheduler::start_order const& it)
{
    auto const& queue = m_submitted.at(it.attempt.task.step.job).queue;
    auto const now = std::ranges::find(m_configuration.queues, queue,
                                       &workload::queue_spec::name);
    auto const& service = m_instances.at(it.instance)->place.service;
    if (now->service == service)
    {
        return;
    }
    auto const& former = m_former_services[queue];
    auto const at = former.find(service);
    if (at == former.end() || m_now - at->second > configuration_limit)
    {
        broken("start of " + text_of(it.attempt.task) + " sent to " +
               it.instance + " by an old configuration");
    }
}

} // namespace berylhill::scheduler_test
