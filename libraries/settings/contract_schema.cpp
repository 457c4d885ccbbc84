#include <settings/contract_schema.hpp>

#include <model/json.hpp>
#include <settings/schema.hpp>

namespace berylhill::settings
{

namespace
{

constexpr double s_longest_s = 31'536'000;
constexpr double s_most_calls = 1'000'000;
constexpr std::size_t s_longest_key = 200;
constexpr std::size_t s_longest_command = 65'536;
constexpr std::int32_t s_most_tasks = 100'000;

kind_pointer<model::resources> resources_kind()
{
    using section = model::resources;
    auto it = std::make_shared<schema<section>>();
    it->add({"millicores", "1/1000 core", "Processors."}, &section::millicores,
            integer(0));
    it->add({"memory_mb", "MiB", "Memory."}, &section::memory_mb, integer(0));
    it->add({"accelerators", "devices", "Accelerators."},
            &section::accelerators, integer(0));
    return it;
}

void add_name(schema<model::contract>& it)
{
    using section = model::contract;
    it.add({"name", "", "The customer's name, unique among contracts.",
            presence::required},
           &section::name, identifier());
    it.add({"side", "", "The data centre that serves this customer.",
            presence::required},
           &section::side, identifier());
    it.add({"weight", "", "Share against others when all want more."},
           &section::weight, number(0.001, 1'000));
    it.add({"preferred", "", "Which measure placement serves first."},
           &section::preferred,
           choice_of_names(
               {model::preference::packing, model::preference::waiting}));
    it.add({"preempted", "",
            "Whether running tasks may be checkpointed and moved for others."},
           &section::preempted,
           choice_of_names(
               {model::preemption::never, model::preemption::by_checkpoint}));
}

void add_calls(schema<model::contract>& it)
{
    using section = model::contract;
    it.add({"services", "", "Services that its callers may call."},
           &section::services, list_of(identifier()));
    it.add({"calls_per_s", "calls/s", "Rate over all entries together."},
           &section::calls_per_s, number(0, s_most_calls));
    it.add({"call_burst", "calls", "May arrive at once above the rate."},
           &section::call_burst, integer(0, 1'000'000));
    it.add({"calls_at_once", "calls", "In progress at once."},
           &section::calls_at_once, integer(0, 1'000'000));
    it.add({"longest_call_s", "s", "A longer deadline is cut to this."},
           &section::longest_call_s, number(0.01, 3'600));
}

void add_jobs(schema<model::contract>& it)
{
    using section = model::contract;
    it.add({"quota", "", "What all its running tasks may use together."},
           &section::quota, resources_kind());
    it.add({"urgent_quota", "",
            "What urgent tasks may use together, within the quota; all zero "
            "where none are allowed."},
           &section::urgent_quota, resources_kind());
    it.add({"jobs_at_once", "jobs", "Unfinished at once."},
           &section::jobs_at_once, integer(0, 1'000'000));
    it.add({"tasks_at_once", "tasks", "Unfinished at once."},
           &section::tasks_at_once, integer(0, 10'000'000));
    it.add({"retention_s", "s", "How long a finished job can be asked for."},
           &section::retention_s, number(60, s_longest_s));
}

void check_quota(located_value const& at,
                 model::contract const& it,
                 base::findings& found)
{
    auto const wants_tasks = it.jobs_at_once > 0 && it.tasks_at_once > 0;
    if (wants_tasks && (it.quota.millicores == 0 || it.quota.memory_mb == 0))
    {
        found.add(at.wrong("quota has no processors or no memory, so no job "
                           "of this contract could ever run; set jobs_at_once "
                           "to 0 where that is meant"));
    }
    if (!it.urgent_quota.fits_in(it.quota))
    {
        found.add(at.wrong("urgent_quota is above quota; urgent work counts "
                           "against both"));
    }
}

void check_services(located_value const& at,
                    model::contract const& it,
                    base::findings& found)
{
    for (std::size_t i = 0; i < it.services.size(); ++i)
    {
        auto const here = it.services.begin() + static_cast<std::ptrdiff_t>(i);
        if (std::find(it.services.begin(), here, *here) != here)
        {
            found.add(at.member("services")
                          .item(static_cast<Json::ArrayIndex>(i))
                          .wrong("\"" + *here + "\" stands twice"));
        }
    }
}

kind_pointer<model::contract> make_contract_schema()
{
    auto it = std::make_shared<schema<model::contract>>();
    add_name(*it);
    add_calls(*it);
    add_jobs(*it);
    it->check({"quota", "urgent_quota", "jobs_at_once", "tasks_at_once"},
              check_quota);
    it->check({"services"}, check_services);
    return it;
}

void add_what(schema<model::job_request>& it)
{
    using section = model::job_request;
    it.add({"contract", "", "The contract that it runs under.",
            presence::required},
           &section::contract, identifier());
    it.add(
        {"name", "", "The same for jobs that are alike.", presence::required},
        &section::name, identifier());
    it.add({"kind", "",
            "service: replaced when they end; batch: run to an end in any "
            "order; gang: all tasks together or none."},
           &section::kind,
           choice_of_names({model::job_kind::service, model::job_kind::batch,
                            model::job_kind::gang}));
    it.add({"tasks", "tasks", "How many."}, &section::tasks,
           small_integer(1, s_most_tasks));
    it.add({"declared", "", "What one task needs.", presence::required},
           &section::declared, resources_kind());
    it.add({"declared_run_s", "s", "How long one task runs."},
           &section::declared_run_s, number(0.001, s_longest_s));
    it.add({"command", "", "Passed to the worker as it is."}, &section::command,
           text(s_longest_command));
}

void add_how(schema<model::job_request>& it)
{
    using section = model::job_request;
    it.add({"urgent", "", "Urgent work counts against urgent_quota too."},
           &section::urgent,
           choice_of_names({model::urgency::normal, model::urgency::urgent}));
    it.add({"safety", "",
            "Whether a task may run again when it is not known how its last "
            "attempt ended."},
           &section::safety,
           choice_of_names(
               {model::rerun::idempotent, model::rerun::at_most_once}));
    it.add({"deadline_s", "s", "From acceptance; 0 for none."},
           &section::deadline_s, number(0, s_longest_s));
    it.add({"key", "",
            "A second submission with the same key gets the first one's job."},
           &section::key, text(s_longest_key));
}

kind_pointer<model::job_request> make_job_schema()
{
    auto it = std::make_shared<schema<model::job_request>>();
    add_what(*it);
    add_how(*it);
    it->check(
        {"declared"},
        [](auto const& at, auto const& read, auto& found)
        {
            if (read.declared.millicores == 0 || read.declared.memory_mb == 0)
            {
                found.add(
                    at.member("declared")
                        .wrong("a task needs some processor and some memory"));
            }
        });
    return it;
}

template <class T>
T read_whole(value_kind<T> const& kind,
             std::string const& source,
             std::string const& text,
             base::findings& found)
{
    T value;
    document const from{source, text, found};
    if (from.readable())
    {
        kind.read(from.root(), value, found);
    }
    return value;
}

} // namespace

kind_pointer<model::contract> contract_kind()
{
    static auto const s_schema = make_contract_schema();
    return s_schema;
}

value_kind<model::contract> const& contract_schema()
{
    return *contract_kind();
}

value_kind<model::job_request> const& job_request_schema()
{
    static auto const s_schema = make_job_schema();
    return *s_schema;
}

model::contract read_contract(std::string const& source,
                              std::string const& text,
                              base::findings& found)
{
    return read_whole(contract_schema(), source, text, found);
}

model::job_request read_job_request(std::string const& source,
                                    std::string const& text,
                                    base::findings& found)
{
    return read_whole(job_request_schema(), source, text, found);
}

} // namespace berylhill::settings
