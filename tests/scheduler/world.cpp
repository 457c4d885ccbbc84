#include "world.hpp"

#include <utility>

namespace berylhill::scheduler_test
{

namespace
{

constexpr int instances = 6;
constexpr base::duration moment = std::chrono::milliseconds{100};
constexpr base::duration client_patience = std::chrono::milliseconds{1'500};

/// Two queues, one of which requires advice.
workload::cell_configuration configuration()
{
    workload::cell_configuration out;
    out.version = 1;
    workload::queue_spec plain;
    plain.name = "plain";
    plain.service = "svc";
    plain.max_attempts = 3;
    plain.stretch = 2;
    plain.target_latency = std::chrono::milliseconds{500};
    auto advised = plain;
    advised.name = "advised";
    advised.max_attempts = 2;
    advised.advice = workload::advice_spec{std::chrono::milliseconds{20},
                                           std::chrono::milliseconds{1},
                                           std::chrono::milliseconds{2'000}};
    out.queues = {plain, advised};
    return out;
}

/// Two accounts, one of which has this cap.
void set_cap(workload::cell_configuration& in, std::int64_t cpu_millis)
{
    in.accounts = workload::account_table{
        {{"capped", {}, 0, {cpu_millis, 0, 0}}, {"other", {}, 0, {}}}};
}

} // namespace

world::world(std::uint64_t seed, fault_rates rough, planted fault)
    : m_random{seed}
    , m_drain_random{seed}
    , m_freeze_random{seed}
    , m_late_random{seed}
    , m_twice_random{seed}
    , m_cap_random{seed}
    , m_crash_random{seed}
    , m_resize_random{seed}
    , m_reject_random{seed}
    , m_spell_random{seed}
    , m_hold_random{seed}
    , m_beat_random{seed}
    , m_place_random{seed}
    , m_life_random{seed}
    , m_part_random{seed}
    , m_record_random{seed}
    , m_island_random{seed}
    , m_rough{rough}
    , m_fault{fault}
    , m_configuration{configuration()}
    , m_now{std::chrono::seconds{1'000}}
    , m_log{[this]
            {
                return base::seconds_of(m_now.time_since_epoch());
            }}
{
    if (rough.capped > 0 && fault != planted::no_caps)
    {
        set_cap(m_configuration, largest_cap_millis);
    }
    // Finished jobs are kept until the end of the run.
    m_rules.status_kept = std::chrono::hours{1};
    if (rough.island > 0)
    {
        shorten_leases();
    }
    if (partitions())
    {
        m_rules.layout = {1, 2};
    }
    if (!beats() || fault == planted::trust_old_entries)
    {
        // Without heartbeats an instance is listed only when it changes.
        m_rules.max_entry_age = std::chrono::hours{1};
    }
    if (fault == planted::no_wait_for_lapse)
    {
        m_rules.lapse_margin = -m_rules.lease - m_rules.ownership_lease;
    }
    constexpr std::uint32_t never = 1'000'000;
    if (fault == planted::never_give_up)
    {
        m_rules.crashes_to_give_up = never;
        m_rules.losses_to_give_up = never;
    }
    if (fault == planted::give_up_at_once)
    {
        m_rules.losses_to_give_up = 1;
    }
    for (int n = 0; n < instances; ++n)
    {
        add_instance("a" + std::to_string(n), first_place(n));
    }
}

void world::set_store_up(bool it)
{
    m_store_up = it;
    m_store_changed_at = m_now;
    m_log.write(base::log_level::debug, "world_store", {{"up", it ? 1 : 0}});
}

void world::after(base::duration pause, std::function<void()> what)
{
    m_events.emplace(std::pair{m_now + pause, m_sequence++}, std::move(what));
}

bool world::chance(double p)
{
    return std::uniform_real_distribution<>{0, 1}(m_random) < p;
}

bool world::chance(std::mt19937_64& of, double p)
{
    return p > 0 && std::uniform_real_distribution<>{0, 1}(of) < p;
}

std::int64_t world::between(std::int64_t a, std::int64_t b)
{
    return std::uniform_int_distribution<std::int64_t>{a, b}(m_random);
}

base::duration world::hop()
{
    return base::duration{between(200, 3'000)};
}

void world::broken(std::string what)
{
    m_broken.push_back(std::to_string(m_now.time_since_epoch().count()) + ": " +
                       std::move(what));
}

std::vector<std::string> world::run(base::duration trouble, base::duration calm)
{
    take_over();
    run_tick();
    auto const troubled = m_now + trouble;
    auto const until = troubled + calm;
    while (!m_events.empty() && m_now < until && m_broken.empty())
    {
        auto const first = m_events.begin();
        m_now = first->first.first;
        auto const what = std::move(first->second);
        m_events.erase(first);
        what();
        if (m_trouble && m_now >= troubled)
        {
            m_trouble = false;
            set_store_up(true);
            if (m_configuration.accounts)
            {
                set_cap(m_configuration, largest_cap_millis);
            }
            m_island_until = m_now;
            for (auto const& [id, it] : m_instances)
            {
                it->cut = false;
                set_capacity(*it, whole_instance);
            }
            take_over();
        }
        if (!m_trouble && all_ended())
        {
            break;
        }
    }
    if (m_broken.empty())
    {
        check_ends(m_broken);
    }
    return m_broken;
}

void world::run_tick()
{
    lapse_leases();
    check_pending();
    if (m_trouble)
    {
        if (chance(0.6))
        {
            submit_something();
        }
        if (chance(0.03))
        {
            cancel_something();
        }
        if (chance(m_rough.owner_change))
        {
            take_over();
        }
        if (m_fault != planted::no_caps &&
            chance(m_cap_random, m_rough.capped / 20))
        {
            change_cap();
        }
        if (chance(m_rough.store_down) && m_store_up)
        {
            set_store_up(false);
            after(std::chrono::milliseconds{between(300, 4'000)},
                  [this] { set_store_up(true); });
        }
        if (m_store_up && chance(m_beat_random, m_rough.outage))
        {
            begin_store_outage();
        }
        if (chance(m_reject_random, m_rough.reject))
        {
            begin_rejections();
        }
        if (m_now >= m_spell_until &&
            chance(m_spell_random, m_rough.late_spell))
        {
            begin_late_spell();
        }
        if (chance(m_record_random, m_rough.reject_records))
        {
            reject_some_job();
        }
        if (chance(m_place_random, m_rough.move_queue))
        {
            move_queue();
        }
        std::vector<fake_instance*> up;
        for (auto const& [id, it] : m_instances)
        {
            if (it->up && !it->cut)
            {
                up.push_back(it.get());
            }
        }
        if (!up.empty())
        {
            auto& any = *up[static_cast<std::size_t>(
                between(0, static_cast<std::int64_t>(up.size()) - 1))];
            if (chance(m_rough.crash))
            {
                crash(any);
            }
            else if (chance(m_rough.cut))
            {
                cut(any);
            }
            else if (!any.drains_since && chance(m_drain_random, m_rough.drain))
            {
                drain(any);
            }
            else if (chance(m_resize_random, m_rough.resize))
            {
                resize(any);
            }
        }
    }
    after(moment, [this] { run_tick(); });
}

/// The operator lowers a cap, possibly below the current usage, or restores it.
void world::change_cap()
{
    auto const now = m_configuration.accounts->all()[0].cap.cpu_millis;
    set_cap(m_configuration, now == largest_cap_millis ? smallest_cap_millis
                                                       : largest_cap_millis);
    m_owner->decisions->set_configuration(m_configuration);
}

void world::submit_something()
{
    if (!m_owner || !m_owner->alive)
    {
        return;
    }
    workload::job_spec spec;
    spec.id = {m_next_job++};
    auto const advised = chance(0.3);
    spec.queue = advised ? "advised" : "plain";
    spec.payload = "payload " + text_of(spec.id);
    auto const steps = between(1, 3);
    for (std::int64_t n = 0; n < steps; ++n)
    {
        workload::step_spec step;
        step.tasks = static_cast<std::uint32_t>(between(1, 5));
        step.need = {between(1, 4) * 1'000, between(1, 4) * 1'000, 0};
        step.estimate_ms = between(100, 2'500);
        lengthen(step);
        step.gang = chance(0.3);
        if (step.gang)
        {
            // Any single instance can hold the gang, so that it can always run.
            step.need = {1'000, 1'000, 0};
        }
        step.can_checkpoint = chance(0.3);
        if (!step.gang && chance(0.2))
        {
            step.max_per_instance = 2;
        }
        if (n > 0 && chance(0.8))
        {
            step.depends_on = {static_cast<std::uint32_t>(n - 1)};
        }
        spec.steps.push_back(step);
    }
    narrow(spec);
    repeat(spec);
    if (chance(m_cap_random, m_rough.capped))
    {
        spec.account = "capped";
    }
    if (chance(m_crash_random, m_rough.crashers))
    {
        m_crashers.insert({{spec.id, 0, 0}, 0});
    }
    m_submitted.emplace(spec.id, spec);
    submit_job(spec);
    if (chance(m_twice_random, m_rough.twice))
    {
        after(std::chrono::milliseconds{300},
              [this, spec] { submit_job(spec); });
    }
    if (chance(m_twice_random, m_rough.cancel_new))
    {
        auto const soon = std::uniform_int_distribution<std::int64_t>{5, 1'000}(
            m_twice_random);
        after(std::chrono::milliseconds{soon},
              [this, id = spec.id] { cancel(id); });
    }
}

/// A client's call reaches the current owner and waits for its batch.
void world::submit_job(workload::job_spec const& it)
{
    if (!m_owner->alive || m_now < m_owner->frozen_until)
    {
        return;
    }
    m_refused.erase(it.id);
    if (m_owner->decisions->phase_of(it.id))
    {
        m_accepted.insert(it.id);
        return;
    }
    m_owner->decisions->submit(as_submitted(it), wall_ms(), m_now);
    auto* const asked = m_owner.get();
    m_owner->clients.add({[this, asked, id = it.id](auto const& answer)
                          {
                              if (answer.kind ==
                                  cell::job_answer_kind::accepted)
                              {
                                  m_accepted.insert(id);
                              }
                              else if (asked == m_owner.get())
                              {
                                  note_refused(id);
                              }
                          },
                          it.id, m_now + client_patience, it.id});
    pump(m_owner);
}

/// The rejection holds for this client; for the job only while no other
/// client's submission has been accepted.
void world::note_refused(workload::job_id it)
{
    if (!m_accepted.contains(it))
    {
        m_refused.insert(it);
    }
}

void world::cancel_something()
{
    if (!m_owner || !m_owner->alive || m_accepted.empty())
    {
        return;
    }
    auto it = m_accepted.begin();
    std::advance(it,
                 between(0, static_cast<std::int64_t>(m_accepted.size()) - 1));
    cancel(*it);
}

void world::cancel(workload::job_id it)
{
    if (!m_owner->alive || m_now < m_owner->frozen_until)
    {
        return;
    }
    m_cancelled.insert(it);
    m_owner->decisions->cancel(it, {}, m_now);
    pump(m_owner);
}

} // namespace berylhill::scheduler_test
