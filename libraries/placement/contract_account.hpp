#pragma once

#include <model/contract.hpp>
#include <model/job.hpp>
#include <placement/job_record.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::placement
{

/// What one contract uses and has waiting. Not thread-safe.
class contract_account
{
public:
    explicit contract_account(model::contract it);
    contract_account(contract_account const&) = delete;
    contract_account& operator=(contract_account const&) = delete;
    /// Waiting jobs and their class own each other; this ends it.
    ~contract_account();

    [[nodiscard]] model::contract const& contract() const noexcept
    {
        return m_contract;
    }

    void set_contract(model::contract it);

    /// Whether one more task of this size is within the contract now.
    [[nodiscard]] bool allows(model::resources const& need,
                              std::int32_t tasks) const;
    /// Whether it may go ahead of normal work.
    [[nodiscard]] bool allows_urgent(model::resources const& need,
                                     std::int32_t tasks) const;

    void charge(task_record& it);
    void refund(task_record& it);

    /// The dominant share of what the cell has, over the weight: the contract
    /// with the least is served first.
    [[nodiscard]] double weighted_share(model::resources const& cell) const;

    [[nodiscard]] model::resources const& used() const noexcept
    {
        return m_used;
    }

    [[nodiscard]] std::int64_t tasks() const noexcept
    {
        return m_tasks;
    }

    /// A token is gained for each share of first starts, and a retry takes
    /// one. Guards against retry storms: they show as failing tasks that take
    /// the place of work which would succeed; the guard holds because retries
    /// stay a fixed share of first starts.
    void note_first_start();
    [[nodiscard]] bool take_retry();

    std::int64_t jobs{0};
    /// Classes with jobs that wait.
    std::vector<std::shared_ptr<work_class>> active;
    /// How many of them are urgent.
    std::int32_t active_urgent{0};
    /// Every class that some job is of, by its key.
    std::unordered_map<std::string, std::weak_ptr<work_class>> classes;

private:
    model::contract m_contract;
    model::resources m_used;
    model::resources m_urgent_used;
    std::int64_t m_tasks{0};
    double m_retry_tokens;
};

} // namespace berylhill::placement
