#include <scheduler/scheduler.hpp>
#include <scheduler/timing.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// So many waiting gangs keep instances free at a time. More of them would
/// empty the cell faster than they can use it.
constexpr std::size_t most_reserving_gangs = 2;

/// Tasks as short as this may use instances that are kept free: they are gone
/// before the gang's room has come together.
constexpr auto short_task = std::chrono::milliseconds{1'000};

/// A gang keeps this many times the slots that it needs, since not all of
/// them come free in time.
constexpr double reserve_factor = 1.5;

} // namespace

workload::queue_spec const* scheduler::queue_of(job const& it) const
{
    auto const at = m_queues.find(it.spec().queue);
    return at == m_queues.end() ? nullptr : &at->second;
}

void scheduler::decide(base::instant now)
{
    m_reserved.clear();
    m_reserving_gangs = 0;
    for (auto const& it : turns(now))
    {
        decide_step(it, now);
    }
}

/// What can still be in time goes first, the most pressing before the others;
/// then what is worth less because it is late; last what is worth nothing.
std::vector<scheduler::turn> scheduler::turns(base::instant now)
{
    std::vector<turn> out;
    out.reserve(m_jobs.ready().size());
    for (auto const& name : m_jobs.ready())
    {
        auto* const of = m_jobs.find(name.job);
        auto const* const queue = queue_of(*of);
        if (queue == nullptr)
        {
            continue;
        }
        auto const until = timing_of(*of, name, *queue);
        auto const tier = now <= until.latest_start ? 0
                          : now <= until.last_start ? 1
                                                    : 2;
        out.push_back({tier, until.latest_start, name});
    }
    std::ranges::sort(out);
    return out;
}

void scheduler::decide_step(turn const& it, base::instant now)
{
    auto& of = *m_jobs.find(it.name.job);
    auto const& queue = *queue_of(of);
    auto const& spec = of.spec_of(it.name);
    if (spec.gang && of.find(it.name)->placed() > 0)
    {
        return;
    }
    auto const from = candidates(of, it.name, queue, now);
    if (spec.gang)
    {
        decide_gang(of, it, from, now);
    }
    else
    {
        decide_tasks(of, it, from, now);
    }
    if (queue.advice && of.find(it.name)->waiting > 0)
    {
        ask_advice(of, it.name, queue, now);
    }
}

bool scheduler::eligible(instance const& it,
                         workload::step_spec const& spec,
                         workload::queue_spec const& queue,
                         base::instant now) const
{
    return it.usable(now) && it.info().service == queue.service &&
           (spec.requirement.empty() || it.has_label(spec.requirement)) &&
           workload::fits(spec.counted_need(), it.info().capacity);
}

bool scheduler::has_ticket(advice_state const& known,
                           std::string const& id,
                           base::instant now) const
{
    auto const at = known.allowed.find(id);
    return at != known.allowed.end() &&
           now + m_rules.ticket_margin < at->second.until;
}

std::vector<candidate> scheduler::candidates(job& of,
                                             workload::step_name const& name,
                                             workload::queue_spec const& queue,
                                             base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const& in = *of.find(name);
    std::vector<candidate> out;
    for (auto const& [id, at] : m_instances.all())
    {
        if (!eligible(*at, spec, queue, now) ||
            (queue.advice && !has_ticket(in.advice, id, now)))
        {
            continue;
        }
        out.push_back(
            {id, at->rack(), at->room(), at->info().capacity,
             spec.most_per_instance == 0 ? 0 : tasks_on(name, in, id)});
    }
    return out;
}

std::uint32_t scheduler::tasks_on(workload::step_name const& of,
                                  step const& in,
                                  std::string const& id) const
{
    // The ledger counts attempts that are being stopped as well.
    auto const& all = m_instances.all().at(id)->attempts();
    std::uint32_t n = 0;
    auto it = all.lower_bound(attempt_name{{of, 0}, 0});
    for (; it != all.end() && it->first.task.of == of && n < in.tasks.size();
         ++it)
    {
        ++n;
    }
    return n;
}

void scheduler::decide_tasks(job& of,
                             turn const& it,
                             std::vector<candidate> const& from,
                             base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto const passing =
        std::chrono::milliseconds{spec.estimate_ms} <= short_task;
    auto usable = from;
    if (!passing)
    {
        std::erase_if(usable, [&](candidate const& entry)
                      { return m_reserved.contains(entry.instance); });
    }
    auto& in = *of.find(it.name);
    auto const chosen = choose_for_tasks(spec, in.waiting, usable);
    auto next = chosen.begin();
    for (std::uint32_t n = 0; n < in.tasks.size() && next != chosen.end(); ++n)
    {
        if (in.tasks[n].phase != task_phase::waiting)
        {
            continue;
        }
        place(of, {it.name, n}, usable[*next].instance, in.tasks[n].run + 1,
              now);
        ++next;
    }
    if (!chosen.empty())
    {
        m_jobs.refresh_ready(of);
    }
}

void scheduler::decide_gang(job& of,
                            turn const& it,
                            std::vector<candidate> const& from,
                            base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto& in = *of.find(it.name);
    auto const may_spread = now > it.latest_start;
    auto const chosen = choose_for_gang(spec, from, may_spread);
    if (chosen.empty())
    {
        preempt(of, it, from, now);
        reserve(spec, from);
        return;
    }
    std::uint32_t run = 0;
    std::string checkpoint;
    for (auto const& task : in.tasks)
    {
        run = std::max(run, task.run);
        // One from any member holds for all; they have to start from the
        // same one.
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        in.tasks[n].checkpoint = checkpoint;
        place(of, {it.name, n}, from[chosen[n]].instance, run + 1, now);
    }
    m_jobs.refresh_ready(of);
}

/// Keeps the emptiest instances that it may use free for a gang that waits,
/// or smaller tasks would take each slot as it comes free.
void scheduler::reserve(workload::step_spec const& spec,
                        std::vector<candidate> from)
{
    if (m_reserving_gangs >= most_reserving_gangs || from.empty())
    {
        return;
    }
    ++m_reserving_gangs;
    std::ranges::sort(from, std::ranges::greater{},
                      [](candidate const& it) { return it.room.cpu_millis; });
    auto const wanted = static_cast<double>(spec.tasks) * reserve_factor;
    auto slots = 0.0;
    for (auto const& it : from)
    {
        if (slots >= wanted)
        {
            break;
        }
        slots += slots_in(spec, it.capacity, 0);
        m_reserved.insert(it.instance);
    }
}

void scheduler::place(job& of,
                      workload::task_name const& name,
                      std::string const& on,
                      std::uint32_t run,
                      base::instant now)
{
    auto& in = *of.find(name.of);
    auto& it = in.tasks[name.index];
    it.phase = task_phase::placed;
    it.run = run;
    it.instance = on;
    --in.waiting;
    attempt made;
    made.need = of.spec_of(name.of).counted_need();
    made.checkpoint = it.checkpoint;
    made.began_at = now;
    if (auto const at = in.advice.allowed.find(on);
        at != in.advice.allowed.end())
    {
        made.ticket = at->second.text;
    }
    auto const named = attempt_name{name, run};
    m_instances.get(on).add(named, made);
    m_jobs.touch(of.spec().id);
    m_open.starts.push_back(
        {on, named, of.spec().payload, made.checkpoint, made.ticket, 0});
    m_log->write(base::log_level::info, "task_placed",
                 {{"task", text_of(name)},
                  {"run", run},
                  {"instance", on},
                  {"waited_s", base::seconds_of(now - of.accepted_at)}});
}

/// Asks about instances whose leave is not known or has lapsed, unless those
/// with leave have room enough. Naming more of them costs little until the
/// time for the names reaches that of the decision.
void scheduler::ask_advice(job& of,
                           workload::step_name const& name,
                           workload::queue_spec const& queue,
                           base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto& known = of.find(name)->advice;
    if (known.asking || now < known.next_ask)
    {
        return;
    }
    auto slots = std::uint32_t{0};
    std::vector<instance const*> open;
    for (auto const& [id, at] : m_instances.all())
    {
        if (!eligible(*at, spec, queue, now) || known.refused.contains(id))
        {
            continue;
        }
        if (has_ticket(known, id, now))
        {
            slots += slots_in(spec, at->room(), 0);
            continue;
        }
        open.push_back(at.get());
    }
    if (open.empty() || slots >= of.find(name)->waiting)
    {
        return;
    }
    std::ranges::sort(open, std::ranges::greater{},
                      [](instance const* it) { return it->room().cpu_millis; });
    auto const& costs = *queue.advice;
    auto most = m_rules.advice_instances;
    if (costs.per_instance.count() > 0)
    {
        auto const n = costs.decision / costs.per_instance;
        most = std::min(most, static_cast<std::size_t>(
                                  std::max<std::int64_t>(n, spec.tasks)));
    }
    advice_order out;
    out.step = name;
    out.priority = queue.priority;
    for (std::size_t n = 0; n < open.size() && n < most; ++n)
    {
        out.instances.push_back(open[n]->info().id);
    }
    out.expected =
        costs.decision +
        costs.per_instance * static_cast<std::int64_t>(out.instances.size());
    known.asking = true;
    m_orders.emplace_back(std::move(out));
}

} // namespace berylhill::scheduler
