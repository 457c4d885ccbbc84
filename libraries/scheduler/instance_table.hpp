#pragma once

#include <scheduler/instance.hpp>
#include <scheduler/instance_life.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// All instances that are listed or on which attempts may still run. Not
/// thread-safe; references stay valid until `forget_idle`.
class instance_table
{
public:
    using instance_map =
        std::map<std::string, std::shared_ptr<instance>, std::less<>>;

    /// `former_lease_end`: the time by which all leases granted before this
    /// table was created have certainly expired; `former_life_lease_end`: the
    /// same for instances that tell their birth, where a later life may have
    /// granted the longest lease instead.
    instance_table(base::instant former_lease_end,
                   base::instant former_life_lease_end)
        : m_former_lease_end{former_lease_end}
        , m_former_life_lease_end{former_life_lease_end}
    {
    }

    /// The resources that client accounts use on all instances.
    [[nodiscard]] account_ledger& accounts() noexcept
    {
        return *m_accounts;
    }

    [[nodiscard]] account_ledger const& accounts() const noexcept
    {
        return *m_accounts;
    }

    /// How many attempts of each task are on all instances.
    [[nodiscard]] attempt_count const& attempts() const noexcept
    {
        return *m_attempts;
    }

    /// Adds or updates an instance from the platform's endpoint list.
    void list(instance_info it,
              std::optional<base::instant> written_after,
              base::instant now);

    /// The platform's endpoint list no longer contains the instance.
    void unlist(std::string const& id);

    /// Returns the instance and creates it if it is unknown, since a former
    /// owner may have placed attempts there.
    [[nodiscard]] instance& get(std::string const& id);

    /// Returns null if the instance is unknown.
    [[nodiscard]] instance* find(std::string const& id);
    [[nodiscard]] instance const* find(std::string const& id) const;

    /// The names of all known lives of the instance `id`.
    [[nodiscard]] std::vector<std::string> lives(std::string const& id) const;

    /// The names of the known lives before this one.
    [[nodiscard]] std::vector<std::string>
    former_lives(instance_life const& it) const;

    /// The names of the known lives after this one.
    [[nodiscard]] std::vector<std::string>
    later_lives(instance_life const& it) const;

    /// Whether a later life has reported under the present owner's token.
    [[nodiscard]] bool replaced_by_later_life(instance_life const& it) const;

    /// As `find`, for callers that keep the instance. The object outlives its
    /// entry in this table and is then not listed.
    [[nodiscard]] std::shared_ptr<instance> share(std::string_view id) const;

    [[nodiscard]] instance_map& all() noexcept
    {
        return m_instances;
    }

    [[nodiscard]] instance_map const& all() const noexcept
    {
        return m_instances;
    }

    /// Returns at most `most` instances for which `fits` returns true, in
    /// descending order of free processor time. If there are more, the next
    /// call continues after the last instance examined.
    [[nodiscard]] std::vector<instance const*>
    select_by_free_cpu(std::size_t most,
                       std::function<bool(instance const&)> const& fits);

    /// Removes instances that are not listed and have no attempts, except those
    /// whose entry is awaited, and lives to which something was sent in the
    /// last `max_request_delay`: a later life may still carry it out.
    void forget_idle(base::instant now, base::duration max_request_delay);

private:
    /// Declared before the instances, which refer to it in their destructors.
    std::unique_ptr<account_ledger> m_accounts{
        std::make_unique<account_ledger>()};
    std::unique_ptr<attempt_count> m_attempts{
        std::make_unique<attempt_count>()};
    instance_map m_instances;
    base::instant m_former_lease_end;
    base::instant m_former_life_lease_end;
    std::uint32_t m_last_number{0};
    /// Id of the instance that `select_by_free_cpu` examined last.
    std::string m_looked_at;
};

} // namespace berylhill::scheduler
