#pragma once

#include <scheduler/instance.hpp>
#include <workload/queue_spec.hpp>
#include <workload/step_spec.hpp>
#include <workload/task_name.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// Whether an instance may run a task by the rules of its queue and its step,
/// whatever room there is. A value.
struct start_place
{
    /// The instance is one of the service that the queue's configuration names.
    bool serves_queue{false};
    /// The instance has the label that the step requires, if any.
    bool has_label{false};
    /// Attempts of the step's tasks there, this one and those that are being
    /// stopped included.
    std::uint32_t of_step{0};
    /// The maximum of `of_step`; 0: no limit.
    std::uint32_t max_of_step{0};

    [[nodiscard]] bool allowed() const noexcept
    {
        return serves_queue && has_label &&
               (max_of_step == 0 || of_step <= max_of_step);
    }

    friend bool operator==(start_place const&, start_place const&) = default;
};

/// Number of attempts of the step's tasks on the instance, those that are being
/// stopped included. Pure; not safe beside changes of the instance.
[[nodiscard]] std::uint32_t attempts_of_step(instance const& at,
                                             workload::step_name const& of);

/// Whether the instance serves the queue and has the label that the step
/// requires. Pure; not safe beside changes of the instance.
[[nodiscard]] bool suits(instance const& at,
                         workload::step_spec const& spec,
                         workload::queue_spec const& queue);

/// The place of an attempt that counts on the instance already. Pure; not safe
/// beside changes of the instance.
[[nodiscard]] start_place place_of(instance const& at,
                                   workload::step_name const& of,
                                   workload::step_spec const& spec,
                                   workload::queue_spec const& queue);

} // namespace berylhill::scheduler
