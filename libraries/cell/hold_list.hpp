#pragma once

#include <cell/hold_turn.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// The turns of all instances, and which of them are to be asked now. In a
/// cell of thousands of instances nearly all have a question under way, and
/// what is due is looked for hundreds of times a second: so only those without
/// one are looked at. Pure. Not thread-safe.
class hold_list
{
public:
    /// What is known of an instance whose question may be due.
    enum class standing : std::uint8_t
    {
        /// It may be asked.
        callable,
        /// As `callable`, and before the others: work there is to be heard of.
        holds_work,
        /// Not now; it may be later.
        not_callable,
        /// It is not known any more.
        gone,
    };

    using standing_function = std::function<standing(std::string const& id)>;

    /// The instance is listed; does nothing where it was before.
    void add(std::string const& id);

    /// Those whose question is due, so many at most, which are then taken as
    /// asked. `stored` batches have been stored so far. Forgets those that are
    /// gone. A new owner asks all instances, and at thousands of them would
    /// answer nobody else meanwhile: the others took it for lost.
    [[nodiscard]] std::vector<std::string>
    take_due(base::instant now,
             std::uint64_t stored,
             std::size_t most,
             standing_function const& standing_of);

    /// It reported; `batch` is the one that holds the ends it listed, 0 where
    /// it listed none. The next question is due `rest` later, or when it is
    /// woken. Precondition: it was taken.
    void reported(std::string const& id,
                  base::instant now,
                  std::uint64_t batch,
                  base::duration rest = base::duration{0});

    /// It gave no report. Precondition: it was taken.
    void failed(std::string const& id, base::instant now);

    /// Something is to be heard from it, also while it rests. Does nothing
    /// where it is not known.
    void wake(std::string const& id);

private:
    std::map<std::string, hold_turn> m_turns;
    /// Those without a question under way.
    std::set<std::string> m_idle;
};

} // namespace berylhill::cell
