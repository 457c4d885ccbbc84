#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// Until a step for which there was nothing to ask is looked at again. A gang
/// waits for seconds, and its look costs more.
constexpr base::duration look_again = std::chrono::milliseconds{20};
constexpr base::duration gang_look_again = std::chrono::milliseconds{100};

/// The share of the instances that a policy allows, while nothing is known
/// of a queue's.
constexpr double unknown_share = 0.5;

/// The weight of the newest answer in a queue's share of allowed instances.
constexpr double newest_weight = 0.1;

/// A question names instances with room for this many times the tasks that
/// wait: others ask about the same ones, and the first to start gets the room.
constexpr double spare_room = 3.0;

/// Even a single task has so many to choose from, or it would not fit well.
constexpr std::size_t least_named = 12;

/// A question waits at most so many times as long as it takes for others that
/// are needed sooner: the many short ones of work with time to spare would
/// otherwise all wait for the few long ones of gangs, until it is late too.
constexpr int most_patience = 16;

} // namespace

bool scheduler::holds(advice_state::ticket const& it, base::instant now) const
{
    return it.at != nullptr && now + m_rules.ticket_margin < it.until;
}

double& scheduler::allowed_share(std::string const& queue)
{
    return m_allowed_shares.try_emplace(queue, unknown_share).first->second;
}

void scheduler::advice_answered(workload::step_name const& of,
                                std::vector<std::string> const& asked,
                                std::vector<permission> const& allowed,
                                base::duration validity,
                                base::instant now)
{
    m_budget.ended(of);
    auto* const job = m_jobs.find(of.job);
    auto* const in = job == nullptr ? nullptr : job->find(of);
    if (in == nullptr)
    {
        return;
    }
    auto& known = in->advice;
    question_ended(known, asked);
    in->next_look = {};
    known.next_ask = {};
    auto const first = known.allowed.empty() && known.refused.empty();
    for (auto const& id : asked)
    {
        if (auto const* const at = m_instances.find(id); at != nullptr)
        {
            known.allowed.erase(at->number());
            known.refused.insert(at->number());
        }
    }
    for (auto const& it : allowed)
    {
        if (auto const at = m_instances.share(it.instance); at != nullptr)
        {
            known.refused.erase(at->number());
            known.allowed[at->number()] = {at, it.ticket, now + validity};
        }
    }
    if (first && !asked.empty())
    {
        auto& share = allowed_share(job->spec().queue);
        auto const seen = static_cast<double>(allowed.size()) /
                          static_cast<double>(asked.size());
        share += newest_weight * (seen - share);
    }
    m_log->write(base::log_level::info, "advice_read",
                 {{"step", text_of(of)},
                  {"asked", std::uint64_t{asked.size()}},
                  {"allowed", std::uint64_t{allowed.size()}}});
}

void scheduler::advice_failed(workload::step_name const& of,
                              std::vector<std::string> const& asked,
                              base::instant now)
{
    m_budget.ended(of);
    auto* const job = m_jobs.find(of.job);
    auto* const in = job == nullptr ? nullptr : job->find(of);
    if (in == nullptr)
    {
        return;
    }
    question_ended(in->advice, asked);
    in->advice.next_ask = now + m_rules.advice_retry;
}

/// What the question named is not asked about any more. An instance that went
/// meanwhile is not known by its name; with the last question it goes too, or
/// the step would wait for an answer about it for good.
///
/// A job that was refused and came again gets the answers to the questions of
/// its first time too. They say nothing of those that are open now: counted
/// with these, the step would seem to have one open for good.
void scheduler::question_ended(advice_state& known,
                               std::vector<std::string> const& asked)
{
    auto const open = std::ranges::find(known.open, asked);
    if (open == known.open.end())
    {
        return;
    }
    known.open.erase(open);
    for (auto const& id : asked)
    {
        if (auto const* const at = m_instances.find(id); at != nullptr)
        {
            known.asked.erase(at->number());
        }
    }
    if (known.open.empty())
    {
        known.asked.clear();
    }
}

/// How many instances a question may name: naming more costs little until the
/// time for the names reaches that of the decision.
std::size_t scheduler::most_named(workload::step_spec const& spec,
                                  workload::queue_spec const& queue) const
{
    auto const& costs = *queue.advice;
    if (costs.per_instance.count() <= 0)
    {
        return m_rules.advice_instances;
    }
    auto const n = costs.decision / costs.per_instance;
    return std::min(
        m_rules.advice_instances,
        static_cast<std::size_t>(std::max<std::int64_t>(n, spec.tasks)));
}

/// Asks about instances whose leave is not known or has lapsed, unless those
/// with leave have room enough. The service answers one question at a time
/// for each machine, so only questions whose answer can be used are asked:
/// under a load that fills the cell, questions of steps without room would
/// hold up those of urgent work for seconds.
void scheduler::ask_advice(job& of,
                           turn const& at,
                           workload::queue_spec const& queue,
                           base::instant now)
{
    auto const& name = at.name;
    auto& known = of.find(name)->advice;
    auto const& spec = of.spec_of(name);
    if (now < known.next_ask || (!known.open.empty() && !spec.gang))
    {
        return;
    }
    m_looks += std::min(m_instances.all().size(), most_weighed);
    auto const named = spec.gang ? gang_question(of, at, queue, now)
                                 : task_question(of, name, queue, now);
    if (named.empty())
    {
        known.next_ask = now + (spec.gang ? gang_look_again : look_again);
        return;
    }
    auto const most = m_rules.advice_instances;
    auto const questions = (named.size() + most - 1) / most;
    for (std::size_t n = 0; n < questions; ++n)
    {
        // Of equal size, so that the answers come together.
        auto const first = named.size() * n / questions;
        auto const last = named.size() * (n + 1) / questions;
        send_question(known, at, queue,
                      {named.begin() + static_cast<std::ptrdiff_t>(first),
                       named.begin() + static_cast<std::ptrdiff_t>(last)},
                      now);
    }
}

void scheduler::send_question(advice_state& known,
                              turn const& at,
                              workload::queue_spec const& queue,
                              std::vector<instance const*> const& named,
                              base::instant now)
{
    advice_order out;
    out.step = at.name;
    out.late = at.tier != turn_tier::in_time;
    for (auto const* const it : named)
    {
        out.instances.push_back(it->info().id);
        known.asked.insert(it->number());
    }
    out.expected = queue.advice->decision +
                   queue.advice->per_instance *
                       static_cast<std::int64_t>(out.instances.size());
    out.needed_by = std::min(at.turn_at, now + most_patience * out.expected);
    known.open.push_back(out.instances);
    m_budget.asked(at.name, out.expected);
    m_orders.emplace_back(std::move(out));
}

/// How many more tasks of the step the instances with leave can take now.
std::uint32_t scheduler::slots_allowed(job& of,
                                       workload::step_name const& name,
                                       workload::queue_spec const& queue,
                                       base::instant now) const
{
    auto const& spec = of.spec_of(name);
    auto out = std::uint32_t{0};
    for (auto const& [number, ticket] : of.find(name)->advice.allowed)
    {
        if (holds(ticket, now) && open_to(*ticket.at, spec, now) &&
            eligible(*ticket.at, spec, queue, now))
        {
            out += slots_in(spec, ticket.at->room(), 0);
        }
    }
    return out;
}

/// Instances with room that are worth asking about for single tasks, those
/// with most room first; none where leave for room enough is there.
std::vector<instance const*>
scheduler::task_question(job& of,
                         workload::step_name const& name,
                         workload::queue_spec const& queue,
                         base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const& in = *of.find(name);
    auto const& known = in.advice;
    if (slots_allowed(of, name, queue, now) >= in.waiting)
    {
        return {};
    }
    auto const open = m_instances.roomiest(
        most_weighed,
        [&](instance const& it)
        {
            if (!open_to(it, spec, now) ||
                !may_allow(it, spec, queue, known, now) ||
                slots_in(spec, it.room(), 0) == 0)
            {
                return false;
            }
            auto const at = known.allowed.find(it.number());
            return at == known.allowed.end() || !holds(at->second, now);
        });
    auto const share = allowed_share(queue.name);
    auto const wanted = spare_room * in.waiting;
    auto const most = most_named(spec, queue);
    auto expected = 0.0;
    std::vector<instance const*> out;
    for (auto const* const it : open)
    {
        if (out.size() >= most ||
            (out.size() >= least_named && expected >= wanted))
        {
            break;
        }
        auto const sure = known.allowed.contains(it->number());
        expected += slots_in(spec, it->room(), 0) * (sure ? 1.0 : share);
        out.push_back(it);
    }
    return out;
}

/// An instance that could run the step, and that the service has not refused.
bool scheduler::may_allow(instance const& it,
                          workload::step_spec const& spec,
                          workload::queue_spec const& queue,
                          advice_state const& known,
                          base::instant now) const
{
    return eligible(it, spec, queue, now) &&
           !known.refused.contains(it.number());
}

} // namespace berylhill::scheduler
