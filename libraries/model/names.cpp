#include <model/names.hpp>

#include <array>
#include <string>

namespace berylhill::model
{

namespace
{

template <class Enum>
struct named
{
    Enum value;
    std::string_view name;
};

constexpr std::array s_job_kinds{
    named<job_kind>{job_kind::service, "service"},
    named<job_kind>{job_kind::batch, "batch"},
    named<job_kind>{job_kind::gang, "gang"},
};
constexpr std::array s_urgencies{
    named<urgency>{urgency::normal, "normal"},
    named<urgency>{urgency::urgent, "urgent"},
};
constexpr std::array s_reruns{
    named<rerun>{rerun::idempotent, "idempotent"},
    named<rerun>{rerun::at_most_once, "at_most_once"},
};
constexpr std::array s_task_ends{
    named<task_end>{task_end::succeeded, "succeeded"},
    named<task_end>{task_end::failed, "failed"},
    named<task_end>{task_end::stopped, "stopped"},
    named<task_end>{task_end::checkpointed, "checkpointed"},
    named<task_end>{task_end::lapsed, "lapsed"},
    named<task_end>{task_end::unknown, "unknown"},
};
constexpr std::array s_job_states{
    named<job_state>{job_state::queued, "queued"},
    named<job_state>{job_state::running, "running"},
    named<job_state>{job_state::succeeded, "succeeded"},
    named<job_state>{job_state::failed, "failed"},
    named<job_state>{job_state::cancelled, "cancelled"},
    named<job_state>{job_state::outcome_unknown, "outcome_unknown"},
};
constexpr std::array s_endpoint_kinds{
    named<endpoint_kind>{endpoint_kind::entry, "entry"},
    named<endpoint_kind>{endpoint_kind::worker, "worker"},
    named<endpoint_kind>{endpoint_kind::minion, "minion"},
};
constexpr std::array s_listed_states{
    named<listed_state>{listed_state::live, "live"},
    named<listed_state>{listed_state::leaving, "leaving"},
};
constexpr std::array s_preemptions{
    named<preemption>{preemption::never, "never"},
    named<preemption>{preemption::by_checkpoint, "by_checkpoint"},
};
constexpr std::array s_preferences{
    named<preference>{preference::packing, "packing"},
    named<preference>{preference::waiting, "waiting"},
};

template <class Table, class Enum>
std::string_view find_name(Table const& table, Enum value) noexcept
{
    for (auto const& it : table)
    {
        if (it.value == value)
        {
            return it.name;
        }
    }
    return "unknown";
}

template <class Enum, class Table>
base::result<Enum> find_value(Table const& table, std::string_view name)
{
    std::string known;
    for (auto const& it : table)
    {
        if (it.name == name)
        {
            return it.value;
        }
        known += (known.empty() ? "" : ", ") + std::string{it.name};
    }
    return base::fail(base::failure_code::invalid,
                      "'" + std::string{name} + "' is none of " + known);
}

} // namespace

std::string_view name_of(job_kind it) noexcept
{
    return find_name(s_job_kinds, it);
}
std::string_view name_of(urgency it) noexcept
{
    return find_name(s_urgencies, it);
}
std::string_view name_of(rerun it) noexcept
{
    return find_name(s_reruns, it);
}
std::string_view name_of(task_end it) noexcept
{
    return find_name(s_task_ends, it);
}
std::string_view name_of(job_state it) noexcept
{
    return find_name(s_job_states, it);
}
std::string_view name_of(endpoint_kind it) noexcept
{
    return find_name(s_endpoint_kinds, it);
}
std::string_view name_of(listed_state it) noexcept
{
    return find_name(s_listed_states, it);
}
std::string_view name_of(preemption it) noexcept
{
    return find_name(s_preemptions, it);
}
std::string_view name_of(preference it) noexcept
{
    return find_name(s_preferences, it);
}

template <>
base::result<job_kind> enum_from(std::string_view name)
{
    return find_value<job_kind>(s_job_kinds, name);
}
template <>
base::result<urgency> enum_from(std::string_view name)
{
    return find_value<urgency>(s_urgencies, name);
}
template <>
base::result<rerun> enum_from(std::string_view name)
{
    return find_value<rerun>(s_reruns, name);
}
template <>
base::result<task_end> enum_from(std::string_view name)
{
    return find_value<task_end>(s_task_ends, name);
}
template <>
base::result<job_state> enum_from(std::string_view name)
{
    return find_value<job_state>(s_job_states, name);
}
template <>
base::result<endpoint_kind> enum_from(std::string_view name)
{
    return find_value<endpoint_kind>(s_endpoint_kinds, name);
}
template <>
base::result<listed_state> enum_from(std::string_view name)
{
    return find_value<listed_state>(s_listed_states, name);
}
template <>
base::result<preemption> enum_from(std::string_view name)
{
    return find_value<preemption>(s_preemptions, name);
}
template <>
base::result<preference> enum_from(std::string_view name)
{
    return find_value<preference>(s_preferences, name);
}

} // namespace berylhill::model
