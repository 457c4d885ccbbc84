#include <cell/node.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

/// Allowance for the time between the confirmation of a version by the store or
/// another process and the reading of its answer.
constexpr base::duration confirmation_delay = std::chrono::milliseconds{300};

/// Allowance for the time between the acceptance of a newer version and its
/// first mention by another process.
constexpr base::duration hearing_delay = std::chrono::milliseconds{1'000};

/// Time after which the other processes watch a new owner.
constexpr base::duration peers_found = std::chrono::seconds{1};

/// Returns the last path segment: the job id, if the path names a job.
std::string_view last_segment(std::string_view target)
{
    auto const path = target.substr(0, target.find('?'));
    return path.substr(path.rfind('/') + 1);
}

} // namespace

/// Returns the other live processes. Watchers of the former owner need some
/// tenths of a second to find this one; until then the former owner's list is
/// used as well, or all advice requests would queue up on this machine.
std::vector<peer> node::others() const
{
    auto out = m_peer_service.watchers();
    if (m_clock.now() - m_owns_since > peers_found)
    {
        return out;
    }
    auto const self_address = self().address;
    for (auto const& it : m_ownership.peers())
    {
        if (it.address != self_address &&
            std::ranges::find(out, it) == out.end())
        {
            out.push_back(it);
        }
    }
    return out;
}

watch_answer node::view() const
{
    watch_answer out;
    out.owns = owns() && !m_stopping;
    out.restoring = owns() && !serves();
    out.taking_over = out.restoring || (owns() && m_taking_over);
    out.leaving = (m_stopping || m_ownership.released()) && !owns();
    out.overloaded_owners = m_overloaded_owners;
    out.owner = m_ownership.owner();
    out.owner_heard = m_ownership.owner_heard();
    out.stamp = m_clock.now().time_since_epoch().count();
    out.asks_evidence = m_handover.in_trouble();
    if (auto const& successor = m_handover.successor(); successor)
    {
        out.successor = successor->address;
    }
    out.replaced_owners = replaced_owners();
    out.configuration = configuration_here();
    if (m_owner)
    {
        out.store_stuck = m_owner->store_stuck();
        out.store_refuses = m_owner->store_refuses();
        out.list_end = m_owner->list_times().last_end(m_clock.now());
    }
    return out;
}

void node::on_owner_reported(owner_view const& it)
{
    m_ownership.on_owner_reported(it);
}

bool node::owns() const
{
    return serves() || m_ownership.state() == ownership_state::restoring;
}

bool node::serves() const
{
    return m_owner != nullptr;
}

void node::call_owner(job_call const& it, job_answer_handler done)
{
    m_owner->call(it, m_configuration, std::move(done));
}

void node::advise(advice_request const& it, advice_handler done)
{
    auto const name = base::capture(
        [&] { return workload::parse_task_name(it.step + ".0"); });
    if (!name)
    {
        done({});
        return;
    }
    m_adapter.advice->ask(name.value().step, it.instances, it.timeout,
                          std::move(done));
}

void node::take_job_call(network::http_request const& it,
                         network::responder answer)
{
    if (m_configuration.version == 0 || configuration_overdue())
    {
        refuse_without_configuration(it.target, answer);
        return;
    }
    auto decoded = m_adapter.jobs->decode(it, m_configuration);
    if (auto* const refused = std::get_if<refused_request>(&decoded);
        refused != nullptr)
    {
        refuse(it.target, std::move(*refused), answer);
        return;
    }
    auto call = std::get<job_call>(std::move(decoded));
    note_old_configuration(call);
    // What the answer needs of the call; a specification may take megabytes.
    auto spec = std::exchange(call.spec, {});
    auto const asked = call;
    call.spec = std::move(spec);
    m_router.call(std::move(call),
                  [this, asked, begun = m_clock.now(),
                   answer = std::move(answer)](call_outcome const& end)
                  { answer_call(asked, end, m_clock.now() - begun, answer); });
}

/// The configuration is unknown or overdue, so neither "no such queue" nor "no
/// such job" would be reliable; another process has the configuration.
void node::refuse_without_configuration(std::string const& target,
                                        network::responder const& answer)
{
    m_metrics.denied(status_unavailable);
    m_answers.request_denied(last_segment(target), status_unavailable,
                             m_configuration.version == 0 ? "no_configuration"
                                                          : "overdue",
                             {}, deciding());
    answer({status_unavailable, {{"Retry-After", "1"}}, {}});
}

/// Refuses a request. A newer configuration may allow what this one does not,
/// so a process that is not sure to have the newest one answers "unavailable"
/// instead of reporting an unknown key or queue.
void node::refuse(std::string const& target,
                  refused_request it,
                  network::responder const& answer)
{
    if (it.reason == refusal_reason::configuration && !sure_of_configuration())
    {
        it.response = {status_unavailable, {{"Retry-After", "1"}}, {}};
    }
    m_metrics.denied(it.response.status);
    m_answers.request_denied(last_segment(target), it.response.status,
                             it.reason == refusal_reason::configuration
                                 ? "configuration"
                                 : "request",
                             it.key_digest, deciding());
    answer(std::move(it.response));
}

/// Returns whether this version is the one to judge by. A newer version can
/// only have been accepted after this one was last confirmed, and has
/// `configuration_ms` to come into force.
bool node::sure_of_configuration() const
{
    if (m_propagation.newest() > m_configuration.version)
    {
        return false;
    }
    auto const demanded =
        std::chrono::milliseconds{m_settings.bounds.configuration_ms};
    return m_propagation.age(m_clock.now()) < demanded - confirmation_delay;
}

/// Returns whether a newer version has been known for so long that it should be
/// in force, but has not arrived.
bool node::configuration_overdue() const
{
    auto const demanded =
        std::chrono::milliseconds{m_settings.bounds.configuration_ms};
    return m_propagation.behind(m_clock.now()) > demanded - hearing_delay;
}

/// Logs the version that a call is served under if that may not be the newest.
void node::note_old_configuration(job_call const& it) const
{
    if (sure_of_configuration())
    {
        return;
    }
    base::log(base::log_level::info, "call_by_old_configuration",
              {{"job", text_of(it.job)},
               {"call", name_of(it.kind)},
               {"queue", it.queue},
               {"version", m_configuration.version},
               {"newest", m_propagation.newest()},
               {"age_s", base::seconds_of(m_propagation.age(m_clock.now()))}});
}

std::int64_t node::newest_configuration() const
{
    return std::max(m_propagation.newest(), m_configuration.version);
}

deciding_configuration node::deciding() const
{
    return {m_configuration.version, newest_configuration(),
            m_propagation.age(m_clock.now())};
}

void node::answer_call(job_call const& call,
                       call_outcome const& end,
                       base::duration took,
                       network::responder const& answer)
{
    auto response = m_adapter.jobs->encode(call, end.answer);
    m_metrics.answered(call.kind, end.answer.kind, took);
    m_answers.call_ended(call, end, response.status, took, deciding());
    answer(std::move(response));
}

bool node::ready() const
{
    return !m_stopping && m_configuration.version != 0 &&
           !configuration_overdue() && m_ownership.owner_serves();
}

void node::take_readiness(network::responder const& answer)
{
    auto const now = ready();
    if (std::exchange(m_was_ready, now) != now)
    {
        base::log(base::log_level::info, "readiness_changed",
                  {{"ready", now ? 1 : 0},
                   {"version", m_configuration.version},
                   {"newest", m_propagation.newest()},
                   {"overdue", configuration_overdue() ? 1 : 0},
                   {"owner_heard", m_ownership.owner_heard() ? 1 : 0}});
    }
    answer({now ? status_ok : status_unavailable, {}, {}});
}

void node::take_metrics(network::responder const& answer)
{
    node_metrics::readings now;
    now.owns = owns();
    now.ready = ready();
    now.token = m_ownership.owner().token;
    now.configuration_version = m_configuration.version;
    now.newest_configuration = newest_configuration();
    now.configuration_age = m_propagation.age(m_clock.now());
    now.loop_lag = m_lag.average();
    now.processor_cores = m_processor.cores();
    now.connections = m_callers.connections();
    now.connection_bytes = m_connection_memory->held();
    for (auto const& it : m_limit_logs)
    {
        m_metrics.read_server(it.listener(), it.counts());
    }
    now.order_connections_opened = m_order_client.connections_opened();
    if (m_owner)
    {
        now.decisions = &m_owner->decisions();
        now.outdated_instances =
            now.decisions->outdated_instances(m_clock.now());
        now.store_stuck = m_owner->store_stuck();
        now.confirmed_ago = m_owner->confirmed_ago();
    }
    if (auto const& it = m_store.outage(); it)
    {
        now.store_outage = it->last - it->since;
    }
    now.successors_named = m_handover.named();
    answer({status_ok, {}, m_metrics.text(now), "text/plain; version=0.0.4"});
}

} // namespace berylhill::cell
