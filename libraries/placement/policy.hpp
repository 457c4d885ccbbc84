#pragma once

#include <model/contract.hpp>
#include <model/job.hpp>
#include <model/resources.hpp>

#include <compare>
#include <cstdint>

namespace berylhill::placement
{

/// A place that could take a task: a worker, or a group seen through its
/// digest.
struct candidate
{
    model::resources total;
    model::resources free;
    /// Tasks of the same job that are there already, and in the whole zone and
    /// rack that it belongs to.
    std::int32_t same_here{0};
    std::int32_t same_in_rack{0};
    std::int32_t same_in_zone{0};
    /// The job failed here before.
    bool failed_here{false};
};

/// How well a candidate suits; less is better.
struct rank
{
    /// Places where the job failed come last.
    bool failed_here{false};
    double spread{0};
    double fit{0};

    friend auto operator<=>(rank const&, rank const&) = default;
};

/// Ranks the candidates that fit. Stateless, hence thread-safe.
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
/// takes few of its tasks; among equals the emptiest place.
class service_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// Packs tightly: takes the place that has the least left afterwards in its
/// fullest dimension, and spares accelerators from tasks that need none.
class batch_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// Takes the emptiest places first, so that a gang spans few groups and has
/// few owners to ask.
class gang_policy final : public policy
{
public:
    [[nodiscard]] rank rank_of(candidate const& it,
                               model::resources const& need) const override;
};

/// The policy for this kind of job; lives as long as the program.
[[nodiscard]] policy const& policy_for(model::job_kind kind,
                                       model::preference preferred) noexcept;

/// The largest share that `used` takes of `total` in any dimension; 0 for
/// dimensions that `total` lacks.
[[nodiscard]] double dominant_share(model::resources const& used,
                                    model::resources const& total) noexcept;

} // namespace berylhill::placement
