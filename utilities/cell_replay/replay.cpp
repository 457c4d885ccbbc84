#include <cell_replay/replay.hpp>

#include <cell_replay/replay_time.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylhill::cell_replay
{

namespace
{

using std::chrono::milliseconds;

/// To another machine, which asks for advice, and back.
constexpr base::duration way_to_advice{milliseconds{8}};
constexpr base::duration stop_takes{milliseconds{100}};
/// As the process has them (libraries/cell).
constexpr base::duration round_pause{milliseconds{3}};
constexpr base::duration tick_pause{milliseconds{10}};
constexpr base::duration linger{milliseconds{30}};
constexpr base::duration urgent_linger{milliseconds{10}};
/// Clients ask for a job's end so often.
constexpr base::duration look_pause{milliseconds{50}};
/// After the last arrival jobs may still end.
constexpr double finish_s = 14;
constexpr double largest_share = 0.1;

std::string instance_name(std::uint32_t number, std::uint32_t life)
{
    return "i-" + std::to_string(number) + '-' + std::to_string(life);
}

/// Instances are listed once here, so their entries must stay valid.
scheduler::policy without_heartbeats(scheduler::policy it)
{
    it.max_entry_age = std::chrono::hours{1};
    return it;
}

} // namespace

replay::replay(cell_load const& load,
               std::vector<drawn_job> const& jobs,
               scheduler::policy rules)
    : m_load{load}
    , m_jobs{jobs}
    , m_start{m_time.now()}
    , m_decisions{without_heartbeats(rules), m_log, m_start}
{
    workload::cell_configuration configuration;
    for (auto const& it : load.kinds)
    {
        configuration.queues.push_back(it.queue);
    }
    if (load.accounts > 0)
    {
        configuration.accounts = workload::account_table{accounts_of(load)};
    }
    m_decisions.set_configuration(configuration);
    m_decisions.restore({}, 0, m_time.now());
    for (std::uint32_t n = 1; n < load.machines; ++n)
    {
        m_peers.push_back({{}, {"10.0.0.1", static_cast<std::uint16_t>(n)}, 0});
    }
    m_decisions.set_advice_machines(load.machines);
}

replay_figures replay::run()
{
    for (std::uint32_t n = 0; n < m_load.instances; ++n)
    {
        list_instance(n, 0);
    }
    auto const leaving =
        static_cast<std::uint32_t>(m_load.leaving_share * m_load.instances);
    for (std::uint32_t n = 0; n < leaving; ++n)
    {
        auto const at_s = m_load.leaving.at_s +
                          m_load.leaving.for_s * n / std::max(1U, leaving);
        m_time.after(span_of(at_s), [this, n] { leave(n); });
    }
    submit_all();
    tick();
    look_for_ends();
    m_time.after(span_of(m_load.seconds), [this] { count_waiting(); });
    m_time.run_until(m_time.now() + span_of(m_load.seconds + finish_s));
    add_credits();
    for (auto const number : m_unfinished)
    {
        auto& it =
            m_figures.kinds[m_load.kinds[m_jobs[number - 1].kind].queue.name];
        ++it.not_ended;
        it.never_started += m_started.contains(number) ? 0 : 1;
    }
    m_figures.cores_used /= m_load.seconds;
    return std::move(m_figures);
}

void replay::count_waiting()
{
    constexpr base::duration long_wait = std::chrono::seconds{20};
    for (auto const number : m_unfinished)
    {
        auto const& job = m_jobs[number - 1];
        if (!m_started.contains(number) &&
            m_start + job.arrives + long_wait < m_time.now())
        {
            ++m_figures.kinds[m_load.kinds[job.kind].queue.name].waiting_long;
        }
    }
}

void replay::add_credits()
{
    std::map<std::size_t, std::vector<drawn_job const*>> by_kind;
    for (auto const& it : m_jobs)
    {
        by_kind[it.kind].push_back(&it);
    }
    for (auto& [kind, jobs] : by_kind)
    {
        auto mean = 0.0;
        for (auto const* const it : jobs)
        {
            mean += it->work / static_cast<double>(jobs.size());
        }
        std::ranges::sort(jobs, std::ranges::greater{}, &drawn_job::work);
        auto const largest = static_cast<std::size_t>(
            std::ceil(largest_share * static_cast<double>(jobs.size())));
        for (std::size_t n = 0; n < jobs.size(); ++n)
        {
            add_credit(*jobs[n], mean, n < largest);
        }
    }
}

/// A job is worth more the more work it is, as its users see it: 0.3 of the
/// kind's worth and 0.7 by its work, four times at most.
void replay::add_credit(drawn_job const& job, double mean_work, bool largest)
{
    constexpr double fixed = 0.3;
    constexpr double most = 4;
    constexpr int worthless_after = 3;
    auto const& kind = m_load.kinds[job.kind];
    auto& it = m_figures.kinds[kind.queue.name];
    auto const size =
        std::min(most, fixed + (1 - fixed) * job.work / mean_work);
    auto earned = 0.0;
    if (auto const at = m_completed.find(job.spec.id.number);
        at != m_completed.end())
    {
        auto const took = at->second - m_start - job.arrives;
        earned = took <= job.objective                     ? kind.worth
                 : took <= worthless_after * job.objective ? kind.late_worth
                                                           : 0;
    }
    it.owed += size * kind.worth;
    it.earned += size * earned;
    it.largest_owed += largest ? size * kind.worth : 0;
    it.largest_earned += largest ? size * earned : 0;
}

void replay::list_instance(std::uint32_t number, std::uint32_t life)
{
    scheduler::instance_info info;
    info.id = instance_name(number, life);
    info.service = "service";
    info.address = "a-" + std::to_string(number);
    info.capacity = m_load.capacity;
    info.labels = {"kind", "rack-" + std::to_string(number / m_load.rack)};
    m_instances[info.id] = std::make_unique<replayed_instance>(
        info.id, m_load.speeds[number % m_load.speeds.size()]);
    m_decisions.instance_listed(info, m_time.now(), m_time.now());
    hold(info.id);
}

void replay::leave(std::uint32_t number)
{
    // What runs there ends when it goes.
    auto const id = instance_name(number, 0);
    constexpr base::duration notice{milliseconds{6'000}};
    auto info = m_decisions.instances().all().at(id)->info();
    info.draining = true;
    info.min_stay = notice;
    m_decisions.instance_listed(info, m_time.now(), m_time.now());
    m_time.after(notice,
                 [this, id, number]
                 {
                     m_decisions.instance_replaced(id, m_time.now());
                     m_instances.erase(id);
                     list_instance(number, 1);
                     soon();
                 });
    soon();
}

void replay::submit_all()
{
    for (auto const& it : m_jobs)
    {
        m_time.after(it.arrives,
                     [this, &it]
                     {
                         m_decisions.submit(it.spec, 0, m_time.now());
                         m_unfinished.push_back(it.spec.id.number);
                         soon();
                     });
    }
}

void replay::tick()
{
    m_decisions.ownership_confirmed(m_time.now());
    m_decisions.tick(0, m_time.now());
    soon();
    m_time.after(tick_pause, [this] { tick(); });
}

void replay::soon()
{
    if (std::exchange(m_round_due, true))
    {
        return;
    }
    m_time.after(round_pause,
                 [this]
                 {
                     m_round_due = false;
                     round();
                 });
}

void replay::round()
{
    auto const began = std::chrono::steady_clock::now();
    m_decisions.decide(m_time.now());
    std::chrono::duration<double> const took =
        std::chrono::steady_clock::now() - began;
    constexpr double us_per_s = 1e6;
    m_figures.rounds.add(took.count() * us_per_s);
    m_figures.rounds_s += took.count();
    carry_out(m_decisions.take_orders());
    store();
}

base::duration replay::append_time() const
{
    auto const now_s = seconds_since(m_start, m_time.now());
    auto const& slow = m_load.slow_store;
    return now_s >= slow.at_s && now_s < slow.at_s + slow.for_s
               ? m_load.slow_append
               : m_load.append;
}

void replay::store()
{
    if (m_appending || !m_decisions.batch_pending())
    {
        return;
    }
    m_appending = true;
    m_time.after(m_decisions.batch_urgent() ? urgent_linger : linger,
                 [this]
                 {
                     std::ignore = m_decisions.take_batch(m_time.now());
                     m_time.after(append_time(),
                                  [this]
                                  {
                                      m_appending = false;
                                      m_decisions.batch_stored(m_time.now());
                                      carry_out(m_decisions.take_orders());
                                      soon();
                                  });
                 });
}

void replay::carry_out(std::vector<scheduler::order> const& orders)
{
    for (auto const& it : orders)
    {
        std::visit([this](auto const& each) { send(each); }, it);
    }
}

void replay::send(scheduler::start_order const& it)
{
    m_time.after(
        way,
        [this, it]
        {
            auto const at = m_instances.find(it.instance);
            if (at == m_instances.end())
            {
                return;
            }
            if (at->second->start(it, m_time.now()))
            {
                ++m_figures.starts;
                m_started.insert(it.attempt.task.step.job.number);
                begin(it.attempt, *at->second);
            }
            m_time.after(
                way,
                [this, it]
                {
                    m_decisions.start_answered(
                        {it.instance, it.attempt, it.send,
                         scheduler::start_answer::running,
                         m_time.now().time_since_epoch().count() / 1'000},
                        m_time.now());
                });
        });
}

void replay::send(scheduler::stop_order const& it)
{
    m_time.after(stop_takes,
                 [this, it]
                 {
                     auto const at = m_instances.find(it.instance);
                     if (at == m_instances.end())
                     {
                         return;
                     }
                     m_figures.stops +=
                         at->second->running().contains(it.attempt) ? 1 : 0;
                     ended(it.attempt, it.instance,
                           scheduler::end_reason::stopped);
                     m_decisions.stop_answered(it.instance, it.attempt,
                                               scheduler::stop_answer::accepted,
                                               m_time.now());
                     soon();
                 });
}

void replay::send(scheduler::advice_order const& it)
{
    auto const number = ++m_last_question;
    m_queue.add(number, it);
    m_questions.emplace(number, it);
    serve_advice();
}

void replay::serve_advice()
{
    while (auto const it = m_queue.next(m_peers, m_time.now()))
    {
        auto const& order = m_questions.at(it->request);
        ++m_figures.questions;
        m_figures.advice_s += base::seconds_of(order.expected);
        m_asked_by.emplace(it->request, it->sender);
        m_time.after(order.expected + way_to_advice,
                     [this, number = it->request] { answer_advice(number); });
    }
}

void replay::answer_advice(std::uint64_t question)
{
    auto const order = m_questions.extract(question).mapped();
    m_queue.ended(m_asked_by.extract(question).mapped(), true, m_time.now());
    auto const& job = m_jobs[order.step.job.number - 1];
    auto const& kind = m_load.kinds[job.kind];
    std::vector<scheduler::permission> allowed;
    for (auto const& id : order.instances)
    {
        if (chance_of(text_of(order.step) + id) < kind.allowed_share)
        {
            allowed.push_back({id, "t"});
        }
    }
    m_decisions.advice_answered(order.step, order.instances, allowed,
                                kind.queue.advice->validity, m_time.now());
    serve_advice();
    soon();
}

drawn_job const& replay::job_of(scheduler::attempt_name const& it) const
{
    return m_jobs[it.task.step.job.number - 1];
}

void replay::look_for_ends()
{
    std::erase_if(m_unfinished,
                  [this](std::uint64_t id)
                  {
                      auto const phase = m_decisions.phase_of({id});
                      if (!phase || !scheduler::finished(*phase))
                      {
                          return false;
                      }
                      if (*phase == scheduler::job_phase::completed)
                      {
                          m_completed[id] = m_time.now();
                      }
                      return true;
                  });
    m_time.after(look_pause, [this] { look_for_ends(); });
}

} // namespace berylhill::cell_replay
