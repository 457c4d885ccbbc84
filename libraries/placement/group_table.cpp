#include <placement/group_table.hpp>

#include <algorithm>
#include <limits>
#include <numeric>

namespace berylhill::placement
{

namespace
{

std::size_t at(std::int32_t index)
{
    return static_cast<std::size_t>(index);
}

model::resources smallest_of(model::resources const& a,
                             model::resources const& b)
{
    return {std::min(a.millicores, b.millicores),
            std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

std::int64_t count_fitting(model::resources const& capacity,
                           model::resources const& need)
{
    auto n = std::numeric_limits<std::int32_t>::max() * std::int64_t{1};
    auto const limit = [&n](std::int64_t have, std::int64_t want)
    {
        n = want > 0 ? std::min(n, have / want) : n;
    };
    limit(capacity.millicores, need.millicores);
    limit(capacity.memory_mb, need.memory_mb);
    limit(capacity.accelerators, need.accelerators);
    return n;
}

} // namespace

std::int32_t group_table::index_of(std::string const& group)
{
    auto const [it, added] = m_index.emplace(group, size());
    if (added)
    {
        m_groups.emplace_back().digest.group = group;
        m_capacities.emplace_back();
    }
    return it->second;
}

void group_table::update(group_digest const& it)
{
    auto const index = at(index_of(it.group));
    auto& known = m_groups[index];
    auto const total_changed =
        !(known.digest.total == it.total) ||
        !(known.digest.largest_worker == it.largest_worker);
    known.digest = it;
    known.zone =
        m_zones.emplace(it.zone, static_cast<std::int32_t>(m_zones.size()))
            .first->second;
    auto& capacity = m_capacities[index];
    capacity.total = it.total;
    capacity.free = model::largest_of(it.free - known.in_flight, {});
    capacity.largest_free = smallest_of(it.largest_free, capacity.free);
    capacity.has_refused = false;
    capacity.reserved = !known.reserved_for.empty() || !it.reserved_for.empty();
    if (total_changed)
    {
        update_totals();
    }
}

void group_table::remove(std::string const& group)
{
    auto const it = m_index.find(group);
    if (it == m_index.end())
    {
        return;
    }
    group_digest empty;
    empty.group = group;
    empty.zone = m_groups[at(it->second)].digest.zone;
    update(empty);
}

void group_table::update_totals()
{
    m_total = {};
    m_largest_worker = {};
    for (auto const& it : m_groups)
    {
        m_total = m_total + it.digest.total;
        m_largest_worker =
            model::largest_of(m_largest_worker, it.digest.largest_worker);
    }
}

bool group_table::reserved_for_other(std::size_t index,
                                     job_record const& job,
                                     double run_s,
                                     base::instant now) const
{
    auto const& it = m_groups[index];
    if (!it.reserved_for.empty() && now < it.reserved_until)
    {
        return it.reserved_for != job.id &&
               now + base::from_seconds(run_s) > it.frees_at;
    }
    return !it.digest.reserved_for.empty() && it.digest.reserved_for != job.id;
}

bool group_table::fits(std::size_t index,
                       job_record const& job,
                       model::resources const& need,
                       double run_s,
                       base::instant now) const
{
    auto const& capacity = m_capacities[index];
    if (!need.fits_in(capacity.largest_free))
    {
        return false;
    }
    if (capacity.has_refused && capacity.refused.fits_in(need))
    {
        return false;
    }
    return !capacity.reserved || !reserved_for_other(index, job, run_s, now);
}

std::int32_t group_table::choose(job_record const& job,
                                 model::resources const& need,
                                 double run_s,
                                 base::instant now,
                                 policy const& order) const
{
    std::int32_t best = -1;
    rank best_rank;
    auto const spread = job.request.kind == model::job_kind::service;
    for (std::size_t index = 0; index < m_capacities.size(); ++index)
    {
        if (!fits(index, job, need, run_s, now))
        {
            continue;
        }
        candidate option;
        option.total = m_capacities[index].total;
        option.free = m_capacities[index].free;
        option.failed_here =
            !job.failed_groups.empty() &&
            job.failed_groups.contains(static_cast<std::int32_t>(index));
        if (spread)
        {
            for (auto const& [group, n] : job.spread)
            {
                auto const& other = m_groups[at(group)];
                auto const same_zone = other.zone == m_groups[index].zone;
                option.same_in_zone += same_zone ? n : 0;
                option.same_in_rack += at(group) == index ? n : 0;
            }
        }
        auto const option_rank = order.rank_of(option, need);
        if (best < 0 || option_rank < best_rank)
        {
            best = static_cast<std::int32_t>(index);
            best_rank = option_rank;
        }
    }
    return best;
}

std::int32_t group_table::slots(std::int32_t index,
                                job_record const& job,
                                model::resources const& need,
                                double run_s,
                                base::instant now) const
{
    if (!fits(at(index), job, need, run_s, now))
    {
        return 0;
    }
    auto const n = count_fitting(m_capacities[at(index)].free, need);
    return static_cast<std::int32_t>(std::min<std::int64_t>(n, 1'000'000));
}

std::int64_t group_table::slots_when_empty(model::resources const& need) const
{
    std::int64_t slots = 0;
    for (auto const& it : m_groups)
    {
        slots +=
            count_fitting(it.digest.largest_worker, need) * it.digest.workers;
    }
    return slots;
}

std::int32_t group_table::choose_preemptible(model::resources const& need) const
{
    std::int32_t best = -1;
    std::int64_t largest_preemptible = 0;
    for (std::size_t index = 0; index < m_groups.size(); ++index)
    {
        auto const& it = m_groups[index].digest;
        auto const capacity = it.preemptible + m_capacities[index].free;
        if (need.fits_in(capacity) && need.fits_in(it.largest_worker) &&
            it.preemptible.millicores > largest_preemptible)
        {
            largest_preemptible = it.preemptible.millicores;
            best = static_cast<std::int32_t>(index);
        }
    }
    return best;
}

void group_table::on_requested(std::int32_t index, model::resources const& need)
{
    auto& it = m_groups[at(index)];
    it.in_flight = it.in_flight + need;
    auto& capacity = m_capacities[at(index)];
    capacity.free = model::largest_of(capacity.free - need, {});
    capacity.largest_free = smallest_of(capacity.largest_free, capacity.free);
}

void group_table::on_answered(std::int32_t index, model::resources const& need)
{
    auto& it = m_groups[at(index)];
    it.in_flight = model::largest_of(it.in_flight - need, {});
}

void group_table::on_refused(std::int32_t index, model::resources const& need)
{
    auto& capacity = m_capacities[at(index)];
    if (!capacity.has_refused || need.fits_in(capacity.refused))
    {
        capacity.refused = need;
    }
    capacity.has_refused = true;
}

void group_table::reserve(std::int32_t index,
                          std::string const& job,
                          base::instant frees_at,
                          base::instant until)
{
    auto& it = m_groups[at(index)];
    it.reserved_for = job;
    it.frees_at = frees_at;
    it.reserved_until = until;
    m_capacities[at(index)].reserved = true;
}

void group_table::unreserve(std::string const& job)
{
    for (std::size_t index = 0; index < m_groups.size(); ++index)
    {
        auto& it = m_groups[index];
        if (it.reserved_for == job)
        {
            it.reserved_for.clear();
        }
        if (it.digest.reserved_for == job)
        {
            it.digest.reserved_for.clear();
        }
        m_capacities[index].reserved =
            !it.reserved_for.empty() || !it.digest.reserved_for.empty();
    }
}

std::vector<std::int32_t> group_table::in_order() const
{
    std::vector<std::int32_t> indices(m_groups.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::sort(indices.begin(), indices.end(),
              [&](auto a, auto b) {
                  return m_groups[at(a)].digest.group <
                         m_groups[at(b)].digest.group;
              });
    return indices;
}

} // namespace berylhill::placement
