#pragma once

#include <base/time.hpp>
#include <placement/group_digest.hpp>
#include <placement/job_record.hpp>
#include <placement/policy.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::placement
{

/// A job owner's view of all groups: the last digest of each, minus what was
/// requested since. Not thread-safe.
class group_table
{
public:
    /// Applies a new digest; requests in flight stay subtracted.
    void update(group_digest const& it);
    void remove(std::string const& group);

    /// The index of a group, which stays the same for the life of the process.
    /// Adds the group if it is unknown.
    [[nodiscard]] std::int32_t index_of(std::string const& group);
    [[nodiscard]] std::string const& name_of(std::int32_t index) const
    {
        return m_groups[static_cast<std::size_t>(index)].digest.group;
    }

    /// The index of the best group for one task of this job by the policy, or
    /// -1 if none fits.
    [[nodiscard]] std::int32_t choose(job_record const& job,
                                      model::resources const& need,
                                      double run_s,
                                      base::instant now,
                                      policy const& order) const;

    /// Estimates how many such tasks fit into the group now; at most 1000000.
    [[nodiscard]] std::int32_t slots(std::int32_t index,
                                     job_record const& job,
                                     model::resources const& need,
                                     double run_s,
                                     base::instant now) const;

    /// How many such tasks fit into the whole cell when it is empty.
    [[nodiscard]] std::int64_t
    slots_when_empty(model::resources const& need) const;

    /// The index of the group with the most preemptible resources among those
    /// where preemption can make `need` fit, or -1.
    [[nodiscard]] std::int32_t
    choose_preemptible(model::resources const& need) const;

    void on_requested(std::int32_t index, model::resources const& need);
    void on_answered(std::int32_t index, model::resources const& need);
    /// The group's owner refused a task that fits according to the digest.
    /// Tasks that are at least as large are not sent there until the next
    /// digest.
    void on_refused(std::int32_t index, model::resources const& need);

    /// Reserves the group for a job until `until`: tasks of other jobs are sent
    /// there only if they are expected to end by `frees_at`.
    void reserve(std::int32_t index,
                 std::string const& job,
                 base::instant frees_at,
                 base::instant until);
    void unreserve(std::string const& job);

    [[nodiscard]] model::resources const& total() const noexcept
    {
        return m_total;
    }
    [[nodiscard]] model::resources const& largest_worker() const noexcept
    {
        return m_largest_worker;
    }
    [[nodiscard]] std::int32_t size() const noexcept
    {
        return static_cast<std::int32_t>(m_groups.size());
    }
    [[nodiscard]] group_digest const& digest_of(std::int32_t index) const
    {
        return m_groups[static_cast<std::size_t>(index)].digest;
    }
    /// All indices, ordered by group name: the same order at every owner.
    [[nodiscard]] std::vector<std::int32_t> in_order() const;

private:
    /// The data read by the scan over all groups, stored contiguously.
    struct capacity_view
    {
        model::resources total;
        model::resources free;
        model::resources largest_free;
        model::resources refused;
        bool has_refused{false};
        bool reserved{false};
    };

    struct group_view
    {
        group_digest digest;
        model::resources in_flight;
        std::string reserved_for;
        base::instant frees_at{};
        base::instant reserved_until{};
        std::int32_t zone{0};
    };

    [[nodiscard]] bool fits(std::size_t index,
                            job_record const& job,
                            model::resources const& need,
                            double run_s,
                            base::instant now) const;
    [[nodiscard]] bool reserved_for_other(std::size_t index,
                                          job_record const& job,
                                          double run_s,
                                          base::instant now) const;
    void update_totals();

    std::vector<capacity_view> m_capacities;
    std::vector<group_view> m_groups;
    std::unordered_map<std::string, std::int32_t> m_index;
    std::unordered_map<std::string, std::int32_t> m_zones;
    model::resources m_total;
    model::resources m_largest_worker;
};

} // namespace berylhill::placement
