#pragma once

#include <cell/hold_schedule.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// Schedules the hold requests to all instances. In a cell of thousands of
/// instances nearly all have a request in flight, and due ones are searched for
/// hundreds of times a second, so only instances without a request in flight
/// are examined. Pure. Not thread-safe.
class hold_list
{
public:
    /// State of an instance that may be due for a request.
    enum class standing : std::uint8_t
    {
        /// A request may be sent.
        callable,
        /// As `callable`, but served first: its running work may have news.
        holds_work,
        /// No request may be sent now.
        not_callable,
        /// The instance is unknown and is removed from the list.
        unknown,
    };

    using standing_function = std::function<standing(std::string const& id)>;

    /// Adds an instance; does nothing if it is known.
    void add(std::string const& id);

    /// Returns at most `max_count` instances whose request is due, and marks
    /// their requests as sent. `stored` is the number of batches stored so far.
    /// Removes instances that are gone.
    ///
    /// The limit is for a new owner, which has to send a request to every
    /// instance: thousands at once would block the event loop for so long that
    /// the other processes would consider the owner lost.
    [[nodiscard]] std::vector<std::string>
    take_due(base::instant now,
             std::uint64_t stored,
             std::size_t max_count,
             standing_function const& status_of);

    /// The instance reported. `batch` is the batch that holds the ended
    /// attempts in its report, 0 if there were none. The next request is due
    /// after `rest`, or when the instance is woken. Precondition: its request
    /// was in flight.
    void reported(std::string const& id,
                  base::instant now,
                  std::uint64_t batch,
                  base::duration rest = base::duration{0});

    /// The request failed. Precondition: it was in flight.
    void failed(std::string const& id, base::instant now);

    /// Makes the next request due at once, even during a rest. Does nothing if
    /// the instance is unknown.
    void wake(std::string const& id);

private:
    std::map<std::string, hold_schedule> m_schedules;
    /// Instances without a request in flight.
    std::set<std::string> m_idle;
};

} // namespace berylhill::cell
