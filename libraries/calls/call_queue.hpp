#pragma once

#include <calls/call.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::calls
{

/// Queue of calls that wait for a slot, served by weight (start-time fair
/// queueing): while both wait, a contract of weight 2 gets two turns for each
/// turn of a contract of weight 1. Within a contract, urgent calls come first,
/// then the oldest. Not thread-safe.
class call_queue
{
public:
    /// Adds a call. Precondition: its weight is above 0 and its request id is
    /// not queued.
    void push(call it);

    /// Removes and returns the next call in fair order.
    [[nodiscard]] std::optional<call> pop();

    /// Removes and returns the newest call of the contract with the most
    /// waiting calls relative to its weight, normal calls before urgent ones.
    /// This keeps the calls that have waited longest and are nearest to being
    /// served.
    [[nodiscard]] std::optional<call> shed();

    /// Removes and returns the call with this id, if it is queued.
    [[nodiscard]] std::optional<call> remove(std::string const& request_id);

    /// Removes and returns all calls with a deadline before `least`.
    [[nodiscard]] std::vector<call> take_expiring(base::instant least);

    /// Estimates how many queued calls would be served before a further call of
    /// this contract, given the calls queued now.
    [[nodiscard]] double calls_before(call const& it) const;

    /// The earliest deadline of the queued calls.
    [[nodiscard]] std::optional<base::instant> earliest_deadline() const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_size;
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return m_size == 0;
    }

private:
    struct contract_queue
    {
        double weight{1};
        /// Virtual start time of the contract's next call.
        double start{0};
        std::deque<call> urgent;
        std::deque<call> normal;

        [[nodiscard]] std::size_t size() const noexcept
        {
            return urgent.size() + normal.size();
        }
    };

    void forget_if_empty(std::string const& contract);
    [[nodiscard]] call account_removal(call it);

    /// Contracts with queued calls only, so that memory use follows the number
    /// of queued calls.
    std::map<std::string, contract_queue> m_contracts;
    /// Virtual start times of contracts without queued calls, kept until the
    /// virtual time has passed them.
    std::map<std::string, double> m_idle_starts;
    /// Contracts ordered by the virtual start time of their next call.
    std::set<std::pair<double, std::string>> m_order;
    std::multiset<base::instant> m_deadlines;
    double m_virtual_time{0};
    double m_total_weight{0};
    std::size_t m_size{0};
};

} // namespace berylhill::calls
