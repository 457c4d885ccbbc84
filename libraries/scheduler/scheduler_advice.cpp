#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// Delay before a step for which no request was sent is examined again. It is
/// longer for gangs, which wait for seconds and are more expensive to examine.
constexpr base::duration look_again = std::chrono::milliseconds{20};
constexpr base::duration gang_look_again = std::chrono::milliseconds{100};

/// Assumed share of instances that a queue's policy allows while no answer is
/// known.
constexpr double unknown_share = 0.5;

/// Weight of the newest answer in the moving average of a queue's share of
/// allowed instances.
constexpr double newest_weight = 0.1;

/// A request names instances with room for this many times the waiting tasks:
/// other steps ask about the same instances, and the first to start uses the
/// room.
constexpr double spare_room = 3.0;

/// Minimum number of instances in a request. With fewer, a single task would
/// have too little choice to fit well.
constexpr std::size_t least_named = 12;

/// A request waits for requests that are needed sooner for at most this many
/// times its own processing time. Without this bound, the many short requests
/// of work with time to spare would all wait for the few long ones of gangs
/// until that work is late too.
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
    advice_request_ended(known, asked);
    in->next_plan = {};
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
    advice_request_ended(in->advice, asked);
    in->advice.next_ask = now + m_rules.advice_retry;
}

/// Removes the request from the open ones. An instance that was removed
/// meanwhile cannot be looked up by its name; its mark is dropped with the
/// step's last open request, or the step would wait for an answer about it
/// forever.
///
/// A job that was rejected and submitted again also gets the answers to
/// requests of its first submission. They match no open request and are ignored
/// here; if they were counted, the step would seem to have an open request
/// forever.
void scheduler::advice_request_ended(advice_state& known,
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

/// Maximum number of instances in a request: more of them add little cost until
/// the time per instance adds up to the base time of a decision.
std::size_t scheduler::max_named(workload::step_spec const& spec,
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

/// Requests advice about instances without a valid ticket, unless those with
/// one have room enough. The service answers one request at a time for each
/// machine, so only requests whose answer can be used are sent: when the cell
/// is full, requests of steps without room would delay those of urgent work for
/// seconds.
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
    m_examined += std::min(m_instances.all().size(), max_examined);
    auto const named = spec.gang
                           ? instances_to_ask_for_gang(of, at, queue, now)
                           : instances_to_ask_for_tasks(of, name, queue, now);
    if (named.empty())
    {
        known.next_ask = now + (spec.gang ? gang_look_again : look_again);
        return;
    }
    auto const most = m_rules.advice_instances;
    auto const requests = (named.size() + most - 1) / most;
    for (std::size_t n = 0; n < requests; ++n)
    {
        // Requests of equal size, so that the answers arrive together.
        auto const first = named.size() * n / requests;
        auto const last = named.size() * (n + 1) / requests;
        send_advice_request(known, at, queue,
                            {named.begin() + static_cast<std::ptrdiff_t>(first),
                             named.begin() + static_cast<std::ptrdiff_t>(last)},
                            now);
    }
}

void scheduler::send_advice_request(advice_state& known,
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
    out.needed_by =
        std::min(at.start_target, now + most_patience * out.expected);
    known.open.push_back(out.instances);
    m_budget.asked(at.name, out.expected);
    m_orders.emplace_back(std::move(out));
}

/// How many more tasks of the step the instances with valid tickets can take
/// now.
std::uint32_t scheduler::slots_allowed(job& of,
                                       workload::step_name const& name,
                                       workload::queue_spec const& queue,
                                       base::instant now) const
{
    auto const& spec = of.spec_of(name);
    auto out = std::uint32_t{0};
    for (auto const& [number, ticket] : of.find(name)->advice.allowed)
    {
        if (holds(ticket, now) && available_for(*ticket.at, spec, now) &&
            eligible(*ticket.at, spec, queue, now))
        {
            out += slots_in(spec, ticket.at->room(), 0);
        }
    }
    return out;
}

/// Instances with room to request advice about for single tasks, in descending
/// order of room; none if the instances with valid tickets have room enough.
std::vector<instance const*>
scheduler::instances_to_ask_for_tasks(job& of,
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
    auto const open = m_instances.select_by_free_cpu(
        max_examined,
        [&](instance const& it)
        {
            if (!available_for(it, spec, now) ||
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
    auto const most = max_named(spec, queue);
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

/// Whether the instance could run the step and has not been refused by the
/// advice service.
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
