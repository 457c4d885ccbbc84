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

/// Calls that wait for a slot, served by weight: a contract of weight 2 gets
/// two turns for one of a contract of weight 1 while both wait (start-time
/// fair queueing). Within a contract urgent calls come first, then the oldest.
/// Not thread-safe.
class call_queue
{
public:
    /// Precondition: the weight is above 0 and the request id is not queued.
    void push(call it);

    /// Takes the call whose turn it is.
    [[nodiscard]] std::optional<call> pop();

    /// Takes the newest call of the contract that waits with most for its
    /// weight, the newest normal call before an urgent one. Refusing that one
    /// leaves the calls that waited longest, which are nearest to their turn.
    [[nodiscard]] std::optional<call> shed();

    /// Takes the call with this id, if it waits.
    [[nodiscard]] std::optional<call> remove(std::string const& request_id);

    /// Takes all calls with a deadline before `least`.
    [[nodiscard]] std::vector<call> take_due(base::instant least);

    /// How many calls would be served before a further call of this contract,
    /// as far as the calls here now tell.
    [[nodiscard]] double turns_before(call const& it) const;

    /// The earliest deadline here.
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
    struct contract_lane
    {
        double weight{1};
        /// Virtual time at which its next call starts.
        double start{0};
        std::deque<call> urgent;
        std::deque<call> normal;

        [[nodiscard]] std::size_t size() const noexcept
        {
            return urgent.size() + normal.size();
        }
    };

    void forget_if_empty(std::string const& contract);
    [[nodiscard]] call taken(call it);

    /// Lanes with calls only, so that memory follows the calls that wait.
    std::map<std::string, contract_lane> m_lanes;
    /// Where lanes without calls would go on, until the virtual time is there.
    std::map<std::string, double> m_left;
    /// Lanes by the start of their next call.
    std::set<std::pair<double, std::string>> m_turns;
    std::multiset<base::instant> m_deadlines;
    double m_virtual_time{0};
    double m_weights{0};
    std::size_t m_size{0};
};

} // namespace berylhill::calls
