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

/// Resource use and waiting work of one contract. Not thread-safe.
class contract_account
{
public:
    explicit contract_account(model::contract it);
    contract_account(contract_account const&) = delete;
    contract_account& operator=(contract_account const&) = delete;
    /// Waiting jobs and their class hold shared pointers to each other; this
    /// breaks the cycle.
    ~contract_account();

    [[nodiscard]] model::contract const& contract() const noexcept
    {
        return m_contract;
    }

    void set_contract(model::contract it);

    /// Whether `tasks` more tasks of size `need` stay within the contract's
    /// quota and its limit of tasks.
    [[nodiscard]] bool allows(model::resources const& need,
                              std::int32_t tasks) const;
    /// Whether `tasks` more tasks of size `need` stay within the urgent quota,
    /// so that they may be placed before normal work.
    [[nodiscard]] bool allows_urgent(model::resources const& need,
                                     std::int32_t tasks) const;

    void charge(task_record& it);
    void refund(task_record& it);

    /// The contract's dominant share of the capacity `cell`, divided by its
    /// weight. The contract with the smallest value is served first.
    [[nodiscard]] double weighted_share(model::resources const& cell) const;

    [[nodiscard]] model::resources const& used() const noexcept
    {
        return m_used;
    }

    [[nodiscard]] std::int64_t tasks() const noexcept
    {
        return m_tasks;
    }

    /// Retry budget: each first start adds a fixed fraction of a token, and a
    /// retry takes a whole one. Prevents retry storms, in which failing tasks
    /// displace work that would succeed, because retries stay a fixed share of
    /// first starts.
    void on_first_start();
    [[nodiscard]] bool take_retry_token();

    std::int64_t jobs{0};
    /// Classes with waiting jobs.
    std::vector<std::shared_ptr<job_class>> active;
    /// The number of urgent classes in `active`.
    std::int32_t active_urgent{0};
    /// Every class that has a job, by its key.
    std::unordered_map<std::string, std::weak_ptr<job_class>> classes;

private:
    model::contract m_contract;
    model::resources m_used;
    model::resources m_urgent_used;
    std::int64_t m_tasks{0};
    double m_retry_tokens;
};

} // namespace berylhill::placement
