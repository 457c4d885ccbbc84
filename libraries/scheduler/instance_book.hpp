#pragma once

#include <scheduler/instance.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// All instances that are listed, or on which something may still run. Not
/// thread-safe; references stay valid until `forget_idle`.
class instance_book
{
public:
    using instance_map =
        std::map<std::string, std::shared_ptr<instance>, std::less<>>;

    /// `former_lease_end`: when leases granted before this book was made have
    /// surely lapsed.
    explicit instance_book(base::instant former_lease_end)
        : m_former_lease_end{former_lease_end}
    {
    }

    /// What the client accounts have running on all instances.
    [[nodiscard]] account_ledger& accounts() noexcept
    {
        return *m_accounts;
    }

    [[nodiscard]] account_ledger const& accounts() const noexcept
    {
        return *m_accounts;
    }

    /// The platform's list names it; made where it is not known.
    void list(instance_info it, base::instant now);

    /// The platform's list no longer names it.
    void unlist(std::string const& id);

    /// The instance, made where it is not known: a former owner may have
    /// placed work there.
    [[nodiscard]] instance& get(std::string const& id);

    /// Null where it is not known.
    [[nodiscard]] instance* find(std::string const& id);

    /// As `find`, for those who keep it: the object outlives its entry here,
    /// and is then not listed.
    [[nodiscard]] std::shared_ptr<instance> share(std::string_view id) const;

    [[nodiscard]] instance_map& all() noexcept
    {
        return m_instances;
    }

    [[nodiscard]] instance_map const& all() const noexcept
    {
        return m_instances;
    }

    /// So many at most of those that `fits` takes, with most processor time
    /// free first. Where there are more, the next call goes on with others.
    [[nodiscard]] std::vector<instance const*>
    roomiest(std::size_t most,
             std::function<bool(instance const&)> const& fits);

    /// Drops those that are not listed and hold nothing.
    void forget_idle();

private:
    /// Before the instances, which count in it to their end.
    std::unique_ptr<account_ledger> m_accounts{
        std::make_unique<account_ledger>()};
    instance_map m_instances;
    base::instant m_former_lease_end;
    std::uint32_t m_last_number{0};
    /// Which one was last looked at by `roomiest`.
    std::string m_looked_at;
};

} // namespace berylhill::scheduler
