#pragma once

#include <model/contract.hpp>
#include <model/job.hpp>
#include <model/resources.hpp>

#include <compare>
#include <cstdint>

namespace berylhill::placement
{

/// A possible placement of a task: a worker, or a group as described by its
/// digest.
struct candidate
{
    model::resources total;
    model::resources free;
    /// Number of tasks of the same job in this candidate, in its rack and in
    /// its zone.
    std::int32_t same_here{0};
    std::int32_t same_in_rack{0};
    std::int32_t same_in_zone{0};
    /// Whether the job failed here before.
    bool failed_here{false};
};

/// How well a candidate suits a task; compared lexicographically, less is
/// better.
struct rank
{
    /// Candidates where the job failed come last.
    bool failed_here{false};
    double spread{0};
    double fit{0};

    friend auto operator<=>(rank const&, rank const&) = default;
};

/// Ranks the candidates that fit a task. Stateless, hence thread-safe.
class policy
{
public:
    policy() = default;
    policy(policy const&) = delete;
    policy& operator=(policy const&) = delete;
    virtual ~policy() = default;

    /// Precondition: `need` fits in `it.free`.
    [[nodiscard]] virtual rank rank_of(candidate const& it,
                                       model::resources const& need) const = 0;
};

/// Spreads a service over zones, then racks, then workers, so that one fault
/// affects few of its tasks; prefers the emptiest among equal candidates.
class service_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// Best fit: prefers the candidate that has the least cores and memory left
/// afterwards, and keeps tasks without accelerators off those that have some.
class batch_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// Worst fit: prefers the emptiest candidate, so that a gang spans few groups
/// and needs holds from few owners.
class gang_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// The policy for a kind of job; valid for the life of the program.
[[nodiscard]] policy const& policy_for(model::job_kind kind,
                                       model::preference preferred) noexcept;

/// The largest share of `total` that `used` takes in any dimension. Dimensions
/// in which `total` is 0 count as 0.
[[nodiscard]] double dominant_share(model::resources const& used,
                                    model::resources const& total) noexcept;

} // namespace berylhill::placement
