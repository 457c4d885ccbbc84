#include <cell/node_metrics.hpp>

#include <base/buffered_log.hpp>

namespace berylhill::cell
{

namespace
{

using counts = scheduler::scheduler_counts;

/// A gauge that shows one of the owner's counters since its claim.
struct scheduler_gauge
{
    char const* name;
    char const* help;
    std::uint64_t counts::*count;
};

constexpr scheduler_gauge scheduler_gauges[] = {
    {"berylhill_cell_starts", "Tasks started by this owner.", &counts::starts},
    {"berylhill_cell_ends_done", "Attempts that ended done.",
     &counts::ends_done},
    {"berylhill_cell_ends_failed", "Attempts that ended failed.",
     &counts::ends_failed},
    {"berylhill_cell_ends_other", "Attempts that were stopped or lapsed.",
     &counts::ends_other},
    {"berylhill_cell_ends_lost",
     "Attempts whose instance was lost or gave no answer.", &counts::ends_lost},
    {"berylhill_cell_tasks_given_up",
     "Tasks not started again: instances were lost under them.",
     &counts::tasks_given_up},
    {"berylhill_cell_losses_withdrawn",
     "Losses of instances that turned out to have lived on.",
     &counts::losses_withdrawn},
    {"berylhill_cell_attempts_unexpected",
     "Attempts found running that this owner did not expect.",
     &counts::unexpected},
    {"berylhill_cell_starts_withheld", "Starts that were decided and not sent.",
     &counts::withheld},
    {"berylhill_cell_lives_replaced",
     "Instances that started again under their id.", &counts::lives_replaced},
    {"berylhill_cell_records_rejected",
     "Times that the store rejected the records of a job.", &counts::rejected},
    {"berylhill_cell_refused_for_room",
     "Submissions refused because accepted work takes too much memory.",
     &counts::refused_for_room},
    {"berylhill_cell_preempted", "Attempts stopped for more urgent work.",
     &counts::preempted},
};

} // namespace

node_metrics::node_metrics()
{
    // Created here so that the first scrape contains all of them.
    for (auto const kind : {job_call_kind::submit, job_call_kind::status,
                            job_call_kind::cancel, job_call_kind::pending})
    {
        (void)m_metrics.latency("berylhill_cell_call_seconds",
                                "From a client's call to its answer.",
                                {{"call", name_of(kind)}});
    }
}

void node_metrics::answered(job_call_kind kind,
                            job_answer_kind end,
                            base::duration took)
{
    m_metrics
        .counter("berylhill_cell_calls_total", "Calls of clients by their end.",
                 {{"call", name_of(kind)}, {"end", name_of(end)}})
        .add();
    m_metrics
        .latency("berylhill_cell_call_seconds",
                 "From a client's call to its answer.",
                 {{"call", name_of(kind)}})
        .record(took);
}

void node_metrics::denied(unsigned status)
{
    m_metrics
        .counter("berylhill_cell_denied_total",
                 "Requests that make no call, by status.",
                 {{"status", std::to_string(status)}})
        .add();
}

void node_metrics::read_decisions(scheduler::scheduler const& it)
{
    auto const set = [&](char const* name, char const* help, double value)
    {
        m_metrics.gauge(name, help).set(value);
    };
    for (auto const& each : scheduler_gauges)
    {
        set(each.name, each.help, static_cast<double>(it.counts().*each.count));
    }
    set("berylhill_cell_jobs", "Jobs known, finished ones included.",
        static_cast<double>(it.jobs().all().size()));
    set("berylhill_cell_jobs_held",
        "Jobs whose records the store rejects; none of their tasks is started.",
        static_cast<double>(it.held_jobs_count()));
    set("berylhill_cell_work_bytes", "Memory that accepted work takes.",
        static_cast<double>(it.room().used()));
    set("berylhill_cell_steps_waiting", "Steps with tasks that wait.",
        static_cast<double>(it.jobs().ready().size()));
    set("berylhill_cell_instances", "Instances listed or holding work.",
        static_cast<double>(it.instances().all().size()));
    set("berylhill_cell_instances_reachable",
        "Listed instances that gave an answer.",
        static_cast<double>(it.reachable_instances()));
}

void node_metrics::read_server(char const* listener,
                               network::server_counts const& it)
{
    for (auto const& each : network::by_reason(it))
    {
        m_metrics
            .gauge("berylhill_cell_limits_met",
                   "Times that a limit of a listener was met.",
                   {{"listener", listener}, {"reason", each.reason}})
            .set(static_cast<double>(each.count));
    }
}

std::string node_metrics::text(readings const& it)
{
    auto const set = [&](char const* name, char const* help, double value)
    {
        m_metrics.gauge(name, help).set(value);
    };
    set("berylhill_cell_instances_outdated",
        "Listed instances that get no start until their entry is renewed.",
        static_cast<double>(it.outdated_instances));
    set("berylhill_cell_owns", "1 while this process owns the work.",
        it.owns ? 1 : 0);
    set("berylhill_cell_ready", "1 while it reports itself ready.",
        it.ready ? 1 : 0);
    set("berylhill_cell_owner_token", "The token of the owner it knows.",
        static_cast<double>(it.token));
    set("berylhill_cell_configuration_version", "The version in force.",
        static_cast<double>(it.configuration_version));
    set("berylhill_cell_configuration_newest", "The newest version heard of.",
        static_cast<double>(it.newest_configuration));
    set("berylhill_cell_configuration_age_seconds",
        "Since the version in force was known to be the newest.",
        base::seconds_of(it.configuration_age));
    set("berylhill_cell_loop_lag_seconds",
        "How late the event loop runs timers that are due.",
        base::seconds_of(it.loop_lag));
    set("berylhill_cell_processor_cores",
        "Processor time that the process gets.", it.processor_cores);
    set("berylhill_cell_connections", "Open connections of callers.",
        static_cast<double>(it.connections));
    set("berylhill_cell_connection_bytes",
        "Memory that connections to all listeners hold.",
        static_cast<double>(it.connection_bytes));
    set("berylhill_cell_order_connections_opened",
        "Connections opened to instances.",
        static_cast<double>(it.order_connections_opened));
    set("berylhill_cell_store_stuck_seconds",
        "For how long the store has not taken what should be stored.",
        base::seconds_of(it.store_stuck));
    set("berylhill_cell_ownership_confirmed_seconds",
        "How long ago the owner last knew that it owns the work.",
        base::seconds_of(it.confirmed_ago));
    set("berylhill_cell_store_outage_seconds",
        "Length of the store's outage up to its last call not served.",
        base::seconds_of(it.store_outage));
    set("berylhill_cell_successors_named",
        "Times that it asked another process to take over from it.",
        static_cast<double>(it.successors_named));
    auto const log = base::buffered_log_counts();
    set("berylhill_cell_log_lines", "Lines of the log.",
        static_cast<double>(log.lines));
    set("berylhill_cell_log_dropped",
        "Lines left out because the reader did not keep up.",
        static_cast<double>(log.dropped));
    if (it.decisions != nullptr)
    {
        read_decisions(*it.decisions);
    }
    return m_metrics.text();
}

} // namespace berylhill::cell
