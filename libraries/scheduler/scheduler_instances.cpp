#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

bool scheduler::may_call(instance const& it, base::instant now) const
{
    return !it.info().address.empty() && it.needs_reports(now) &&
           (m_queues.uses(it.info().service) || may_hold_work(it));
}

/// Whether work of this system may be on the instance, or an end that is not
/// acknowledged, whether a queue uses its service now or not.
bool scheduler::may_hold_work(instance const& it) const
{
    auto const ours = it.had_attempts() || m_queues.knows(it.info().service);
    return ours && it.may_have_news(m_since + m_rules.ownership_lease, m_rules);
}

void scheduler::instance_listed(instance_info it,
                                std::optional<base::instant> written_after,
                                base::instant now)
{
    auto const life = parse_life(it.id);
    auto const other_lives = other_lives_of_ours(it.id);
    if (!m_queues.knows(it.service) && !other_lives.empty())
    {
        // Another writer's entry under the id says nothing of the instance.
        m_log->write(base::log_level::warning, "entry_of_unknown_service",
                     {{"id", it.id}, {"service", it.service}});
        return;
    }
    if (std::ranges::any_of(other_lives,
                            [&](auto const& name) {
                                return parse_life(name).born_ms > life.born_ms;
                            }))
    {
        m_log->write(base::log_level::info, "entry_of_former_life",
                     {{"id", it.id}});
        return;
    }
    for (auto const& other : m_instances.lives(life.id))
    {
        if (other != it.id)
        {
            expect_later_life(m_instances.get(other), now);
            m_instances.unlist(other);
        }
    }
    auto const* const known = m_instances.find(it.id);
    auto const fresh = known == nullptr || !known->listed();
    if (fresh || known->info().draining != it.draining)
    {
        m_log->write(base::log_level::info, "instance_listed",
                     {{"id", it.id},
                      {"address", it.address},
                      {"zone", it.zone},
                      {"draining", it.draining ? 1 : 0}});
    }
    // The capacity is zero until the instance is listed for the first time.
    if (known != nullptr && known->info().capacity != workload::resources{} &&
        known->info().capacity != it.capacity)
    {
        auto const& before = known->info().capacity;
        m_log->write(base::log_level::info, "instance_capacity",
                     {{"id", it.id},
                      {"cpu_millis", it.capacity.cpu_millis},
                      {"cpu_millis_before", before.cpu_millis},
                      {"memory_mb", it.capacity.memory_mb},
                      {"memory_mb_before", before.memory_mb},
                      {"gpus", it.capacity.gpus},
                      {"gpus_before", before.gpus}});
    }
    keep_address(it);
    auto const id = it.id;
    // Another writer's entry under the id says nothing of the instance.
    auto const tells_of_it = written_after && m_queues.knows(it.service);
    // Two incarnations may be listed at one address in any order, the former
    // one for some more seconds. Only an answer shows which of them is alive.
    m_instances.list(std::move(it), written_after, now);
    if (tells_of_it)
    {
        instance_alive(id, *written_after, "entry");
    }
}

/// Whether the life is certainly one of an instance of this system. One that
/// has neither reported nor a service that any configuration named may be
/// another writer's.
bool scheduler::is_ours(instance const& it) const
{
    return it.fenced() || it.had_attempts() ||
           m_queues.knows(it.info().service);
}

/// The other known lives under the id of this one that are ours.
std::vector<std::string>
scheduler::other_lives_of_ours(std::string const& than) const
{
    auto out = m_instances.lives(parse_life(than).id);
    std::erase_if(out,
                  [&](auto const& name) {
                      return name == than || !is_ours(*m_instances.find(name));
                  });
    return out;
}

/// An entry that another writer puts in place of the instance's own must not
/// lead its orders to another address.
void scheduler::keep_address(instance_info& of) const
{
    auto const* const known = m_instances.find(of.id);
    if (known == nullptr || m_queues.knows(of.service) ||
        known->info().address.empty() || known->info().address == of.address ||
        !may_hold_work(*known))
    {
        return;
    }
    if (known->info().service != of.service)
    {
        m_log->write(base::log_level::warning, "entry_of_other_service",
                     {{"id", of.id},
                      {"service", of.service},
                      {"address", of.address},
                      {"kept_address", known->info().address}});
    }
    of.address = known->info().address;
}

void scheduler::instance_unlisted(std::string const& id, base::instant now)
{
    for (auto const& life : m_instances.lives(id))
    {
        auto& it = m_instances.get(life);
        if (!it.listed())
        {
            continue;
        }
        it.unlist();
        m_log->write(
            base::log_level::info, "instance_unlisted",
            {{"id", life},
             {"attempts", std::uint64_t{it.attempts().size()}},
             {"lease_left_s", base::seconds_of(it.lease_end() - now)}});
    }
}

void scheduler::instance_replaced(std::string const& id, base::instant now)
{
    m_unconfirmed_losses.confirm(id);
    auto* const it = m_instances.find(id);
    if (it == nullptr)
    {
        return;
    }
    m_log->write(
        base::log_level::info, "instance_gone",
        {{"id", id}, {"attempts", std::uint64_t{it->attempts().size()}}});
    auto const early = it->leaves_at() && now < *it->leaves_at();
    auto const left = it->info().draining && !early;
    auto const reason =
        left ? end_reason::instance_left : end_reason::instance_crashed;
    it->unlist();
    it->set_unreachable();
    end_sent_attempts(*it, reason, now);
    for (auto& [name, planned] : it->attempts())
    {
        // Cancelled when its batch is stored, before the order is sent.
        planned.stop_wanted = true;
    }
}

std::size_t scheduler::outdated_instances(base::instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_instances.all(),
        [&](auto const& it) {
            return it.second->listed() && !it.second->entry_valid(now, m_rules);
        }));
}

std::size_t scheduler::reachable_instances() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_instances.all(), [](auto const& it)
        { return it.second->listed() && it.second->reachable(); }));
}

} // namespace berylhill::scheduler
