#include <cell/cell_owner.hpp>

#include <base/log.hpp>
#include <cell/call_check.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Interval of the timer that handles retries, lease expiry and client
/// deadlines.
constexpr base::duration tick = std::chrono::milliseconds{10};

/// When a client is to come back whose job found no room: work that runs to its
/// end makes it, not a change of owner.
constexpr base::duration no_room_retry_after = std::chrono::seconds{2};

/// New work is refused once the store has refused all appends for this long.
constexpr base::duration refused_limit = std::chrono::milliseconds{600};

/// The instance log changes with each heartbeat; this limits how often it is
/// read.
constexpr follow_options instances_follow_options{
    std::chrono::milliseconds{500}, std::chrono::milliseconds{250},
    std::chrono::milliseconds{700}, std::chrono::milliseconds{100}};

std::int64_t wall_ms(base::clock const& it)
{
    constexpr std::int64_t us_per_ms = 1'000;
    return it.wall_us() / us_per_ms;
}

} // namespace

cell_owner::cell_owner(owner_parts parts,
                       scheduler::policy rules,
                       workload::cell_configuration const& configuration,
                       std::map<std::string, std::string> const& records,
                       won_claim const& claim,
                       write_times list_times,
                       ownership_lost_handler on_ownership_lost)
    : m_parts{parts}
    , m_decisions{rules, *parts.log, parts.clock->now()}
    , m_token{claim.token}
    , m_next{claim.next}
    , m_on_ownership_lost{std::move(on_ownership_lost)}
    , m_append{*parts.loop, *parts.clock, *parts.cell, *parts.latency,
               parts.limits}
    , m_instances{*parts.loop, *parts.clock, *parts.instances, "instances",
                  instances_follow_options}
    , m_tick{*parts.loop}
    , m_round{*parts.loop}
    , m_confirmed_at{claim.sent_at}
{
    m_decisions.set_token(m_token);
    m_decisions.ownership_confirmed(m_confirmed_at);
    m_decisions.set_configuration(configuration);
    m_decisions.restore(records, wall_ms(*parts.clock), parts.clock->now());
    m_instances.assume_write_times(std::move(list_times));
    m_instances.on_change(
        [this](auto const& key, auto const& value, auto written_after)
        { instance_changed(key, value, written_after); });
    m_instances.on_caught_up([this] { schedule_round(); });
    m_instances.start();
    // Restoring the records of a large cell takes time and is no pause.
    m_last_turn = parts.clock->now();
    every_tick();
}

cell_owner::~cell_owner()
{
    *m_alive = false;
    for (auto const& it : m_unconfirmed)
    {
        it.done({job_answer_kind::not_owner, {}, 0, {}});
    }
    drop_advice_requests();
    // Calls whose records were never sent to the store have certainly not taken
    // effect. A job that waits for the next batch may be in an earlier one.
    for (auto const& it :
         m_waiting.refuse_unsent([this](workload::job_id job)
                                 { return m_decisions.withdraw(job); }))
    {
        it.done({job_answer_kind::not_owner, {}, 0, {}});
    }
    for (auto const& it : m_waiting.take_unsent())
    {
        auto const submitted = it.submitted_job.number != 0;
        it.done({submitted ? job_answer_kind::interrupted
                           : job_answer_kind::not_owner,
                 {},
                 0,
                 {}});
    }
    for (auto const& it : m_waiting.take_sent())
    {
        it.done({job_answer_kind::interrupted, {}, 0, {}});
    }
}

/// The service answers one request at a time for each process: requests of this
/// owner would be sent before those of the next one, which needs the answers.
void cell_owner::drop_advice_requests()
{
    if (auto const n = m_parts.advice->drop_waiting(); n > 0)
    {
        m_parts.log->write(
            base::log_level::info, "advice_dropped",
            {{"requests", std::uint64_t{n}}, {"token", m_token}});
    }
}

void cell_owner::set_configuration(workload::cell_configuration const& it)
{
    m_decisions.set_configuration(it);
    schedule_round();
}

bool cell_owner::store_blocked() const
{
    return store_stuck() >
           (store_refuses() ? refused_limit : m_parts.latency->stuck_limit());
}

void cell_owner::call(job_call const& it,
                      workload::cell_configuration const& configuration,
                      job_answer_handler done)
{
    auto const verdict = check(it, configuration);
    if (verdict == call_verdict::allowed)
    {
        carry_out(it, std::move(done));
        return;
    }
    if (!has_taken_effect(it))
    {
        auto const end = verdict == call_verdict::no_queue
                             ? job_answer_kind::no_queue
                             : job_answer_kind::no_key;
        log_outdated(it, configuration.version, end);
        done({end, {}, 0, {}});
        return;
    }
    if (it.repeated)
    {
        log_outdated(it, configuration.version, job_answer_kind::accepted);
        carry_out(it, std::move(done));
        return;
    }
    log_outdated(it, configuration.version, job_answer_kind::outcome_unknown);
    done({job_answer_kind::outcome_unknown, {}, 0, {}});
}

/// Returns whether this call or an equal one took effect: the job is known, or
/// has ended before it is cancelled. A rejection would then be false, even if
/// the call is not marked as repeated: processes of older releases do not mark
/// it. Only a repeated one may be answered with success, since the key of a
/// client's new request may have been revoked.
bool cell_owner::has_taken_effect(job_call const& it) const
{
    auto const account = m_decisions.account_of(it.job);
    if (!account || !may_use(it.account, *account))
    {
        return false;
    }
    if (it.kind == job_call_kind::cancel)
    {
        auto const phase = m_decisions.phase_of(it.job);
        return phase && scheduler::finished(*phase);
    }
    return it.kind == job_call_kind::submit && m_decisions.submitted(it.job);
}

void cell_owner::log_outdated(job_call const& it,
                              std::int64_t version,
                              job_answer_kind end) const
{
    m_parts.log->write(base::log_level::info, "call_outdated",
                       {{"job", text_of(it.job)},
                        {"call", name_of(it.kind)},
                        {"queue", it.queue},
                        {"end", name_of(end)},
                        {"repeated", it.repeated ? 1 : 0},
                        {"known", m_decisions.account_of(it.job) ? 1 : 0},
                        {"decided_by", it.configuration},
                        {"version", version},
                        {"token", m_token}});
}

void cell_owner::carry_out(job_call const& it, job_answer_handler done)
{
    if (m_releasing || m_lost)
    {
        // The record of a known job may be on its way to the store.
        auto const may_be_stored = it.kind == job_call_kind::submit &&
                                   m_decisions.account_of(it.job).has_value();
        done({may_be_stored ? job_answer_kind::interrupted
                            : job_answer_kind::not_owner,
              {},
              0,
              {}});
        return;
    }
    if (auto const of = m_decisions.account_of(it.job);
        of && m_decisions.submitted(it.job) && !may_use(it.account, *of))
    {
        m_parts.log->write(base::log_level::info, "call_forbidden",
                           {{"job", text_of(it.job)},
                            {"call", name_of(it.kind)},
                            {"account", it.account}});
        done({job_answer_kind::forbidden, {}, 0, {}});
        return;
    }
    switch (it.kind)
    {
    case job_call_kind::submit:
        submit(it, std::move(done));
        return;
    case job_call_kind::cancel:
        cancel(it, std::move(done));
        return;
    case job_call_kind::status:
    {
        auto const phase = m_decisions.phase_of(it.job);
        if (!phase)
        {
            answer_unknown(it, std::move(done));
            return;
        }
        done({job_answer_kind::phase, *phase, 0, {}});
        return;
    }
    case job_call_kind::pending:
        done({job_answer_kind::pending, {}, m_decisions.pending(it.queue), {}});
        return;
    }
}

void cell_owner::submit(job_call const& it, job_answer_handler done)
{
    auto const phase = m_decisions.phase_of(it.job);
    if (phase)
    {
        done({job_answer_kind::accepted, *phase, 0, {}});
        return;
    }
    // The record of a known job may be on its way to the store, so its client
    // waits; if the batch is taken back, all clients of the job are refused.
    if (store_blocked() && !m_decisions.account_of(it.job))
    {
        log_refusal(it.job, store_stuck_reason);
        done({job_answer_kind::refused, {}, 0, default_retry_after});
        return;
    }
    auto const now = m_parts.clock->now();
    auto const taken =
        m_decisions.submit(it.spec, wall_ms(*m_parts.clock), now);
    if (taken == scheduler::submission::over_cap)
    {
        done({job_answer_kind::over_cap, {}, 0, {}});
        return;
    }
    if (taken == scheduler::submission::too_large)
    {
        done({job_answer_kind::too_large, {}, 0, {}});
        return;
    }
    if (taken == scheduler::submission::no_room)
    {
        log_refusal(it.job, no_room_reason);
        done({job_answer_kind::refused, {}, 0, no_room_retry_after});
        return;
    }
    if (taken == scheduler::submission::accepted)
    {
        m_parts.log->write(base::log_level::info, "job_taken",
                           {{"job", text_of(it.job)},
                            {"queue", it.spec.queue},
                            {"account", it.spec.account},
                            {"steps", std::uint64_t{it.spec.steps.size()}}});
    }
    if (taken == scheduler::submission::already_cancelled)
    {
        m_parts.log->write(base::log_level::info,
                           "submission_after_cancellation",
                           {{"job", text_of(it.job)}, {"token", m_token}});
    }
    wait_for_batch(it, job_answer_kind::accepted, std::move(done));
}

void cell_owner::cancel(job_call const& it, job_answer_handler done)
{
    if (store_blocked())
    {
        log_refusal(it.job, store_stuck_reason);
        done({job_answer_kind::refused, {}, 0, default_retry_after});
        return;
    }
    log_cancellation(it.job);
    switch (m_decisions.cancel(it.job, it.account, m_parts.clock->now()))
    {
    case scheduler::cancellation::refused:
        log_refusal(it.job, too_many_reason);
        done({job_answer_kind::refused, {}, 0, default_retry_after});
        return;
    case scheduler::cancellation::unknown_stored:
        done({job_answer_kind::unknown_job, {}, 0, {}});
        return;
    case scheduler::cancellation::already_finished:
        done({job_answer_kind::accepted, {}, 0, {}});
        return;
    case scheduler::cancellation::unknown:
        wait_for_batch(it, job_answer_kind::unknown_job, std::move(done));
        return;
    case scheduler::cancellation::accepted:
        wait_for_batch(it, job_answer_kind::accepted, std::move(done));
        return;
    }
}

/// Logs what this owner knew when it took a cancellation, and how sure it was
/// that it still owned the work.
void cell_owner::log_cancellation(workload::job_id it) const
{
    auto const phase = m_decisions.phase_of(it);
    auto const known = m_decisions.account_of(it).has_value();
    m_parts.log->write(base::log_level::info, "cancellation_taken",
                       {{"job", text_of(it)},
                        {"known", known ? 1 : 0},
                        {"stored", phase ? scheduler::name_of(*phase) : "no"},
                        {"token", m_token},
                        {"next", m_next},
                        {"confirmed_s", base::seconds_of(confirmed_ago())}});
}

/// Coalesces events that arrive together into one scheduling round and one
/// batch.
void cell_owner::schedule_round()
{
    if (std::exchange(m_scheduled, true) || m_lost)
    {
        return;
    }
    auto const round = [this, alive = m_alive]
    {
        if (*alive)
        {
            m_scheduled = false;
            run_round();
        }
    };
    auto const now = m_parts.clock->now();
    auto const at = m_pace.next();
    if (now >= at)
    {
        boost::asio::post(*m_parts.loop, round);
        return;
    }
    m_round.expires_after(at - now);
    m_round.async_wait([round](auto) { round(); });
}

void cell_owner::run_round()
{
    if (m_lost)
    {
        return;
    }
    auto const now = m_parts.clock->now();
    m_pace.began(now);
    if (!m_releasing)
    {
        m_decisions.decide(now);
    }
    send_orders();
    commit();
    send_due_holds();
    m_pace.ended(m_parts.clock->now());
    if (!m_decisions.round_complete())
    {
        schedule_round();
    }
}

void cell_owner::instance_changed(std::string const& key,
                                  std::string const& value,
                                  std::optional<base::instant> written_after)
{
    auto const now = m_parts.clock->now();
    auto const id = m_parts.reader->instance_id(key);
    if (value.empty())
    {
        m_decisions.instance_unlisted(id, now);
        return;
    }
    auto const read =
        base::capture([&] { return m_parts.reader->instance(key, value); });
    if (!read)
    {
        m_parts.log->write(base::log_level::warning, "instance_unreadable",
                           {{"key", key}, {"error", read.error().message}});
        return;
    }
    m_decisions.instance_listed(read.value(), written_after, now);
    m_holds.add(read.value().id);
}

void cell_owner::every_tick()
{
    m_tick.expires_after(tick);
    m_tick.async_wait(
        [this, alive = m_alive](auto ec)
        {
            if (ec || !*alive || m_lost)
            {
                return;
            }
            note_turn();
            confirm_regularly();
            report_unconfirmed();
            auto const now = m_parts.clock->now();
            m_decisions.set_advice_machines(m_parts.advice->sender_count());
            m_decisions.tick(wall_ms(*m_parts.clock), now);
            if (store_blocked())
            {
                take_back_batch();
                refuse_unsent();
            }
            expire_waiting();
            refuse_unconfirmed();
            if (m_released && now > m_release_by)
            {
                std::exchange(m_released, nullptr)();
                if (!*alive)
                {
                    return;
                }
            }
            schedule_round();
            every_tick();
        });
}

void cell_owner::release(base::duration limit, std::function<void()> done)
{
    m_releasing = true;
    m_release_by = m_parts.clock->now() + limit;
    m_released = std::move(done);
    schedule_round();
}

void cell_owner::ownership_lost(char const* why)
{
    if (std::exchange(m_lost, true))
    {
        return;
    }
    // The handler destroys this object, so it must not run within one of its
    // functions.
    boost::asio::post(*m_parts.loop,
                      [alive = m_alive, handler = m_on_ownership_lost, why]
                      {
                          if (*alive)
                          {
                              handler(why);
                          }
                      });
}

} // namespace berylhill::cell
