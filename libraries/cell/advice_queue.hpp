#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>
#include <scheduler/orders.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace berylhill::cell
{

/// Which question for advice is asked next, and by which machine. The service
/// handles one question at a time for each machine that asks, in turn; so a
/// question waits here until a machine is free for it, and not behind others
/// there. Answers the load after a change of owner, when all steps ask at
/// once: an urgent question takes 10 ms of the service, one of a gang a
/// second, and behind those urgent work waited for 0.8 s.
///
/// Pure: time comes with each call. Not thread-safe.
class advice_queue
{
public:
    /// Where a question goes. A value.
    struct assignment
    {
        std::uint64_t question{0};
        /// Empty: this process.
        network::socket_address machine;

        friend bool operator==(assignment const&, assignment const&) = default;
    };

    /// Precondition: the number is new.
    void add(std::uint64_t question, scheduler::advice_order const& order);

    /// The next question that a machine is free for; `others` live now.
    [[nodiscard]] std::optional<assignment>
    next(std::vector<peer> const& others, base::instant now);

    /// A question that a machine asked has ended.
    void
    ended(network::socket_address const& by, bool answered, base::instant now);

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_waiting.size();
    }

private:
    /// What a question's turn depends on, the first of all before the rest.
    struct turn
    {
        bool takes_long{false};
        bool late{false};
        base::instant needed_by{};
        std::uint64_t question{0};

        friend auto operator<=>(turn const&, turn const&) = default;
    };

    struct machine
    {
        std::size_t asking{0};
        base::instant avoid_until{};
    };

    [[nodiscard]] bool
    is_free(machine const& it, bool takes_long, base::instant now) const;
    using machines = std::map<network::socket_address, machine>;
    using known_machine = machines::value_type;

    void set_machines(std::vector<peer> const& others);
    [[nodiscard]] known_machine*
    least_busy(std::size_t from, bool takes_long, base::instant now) const;

    std::map<turn, base::duration> m_waiting;
    machines m_machines;
    std::vector<peer> m_others;
    /// Those that live now, in the order in which they are asked. Looked at
    /// for each question, so they are not looked up by name.
    std::vector<known_machine*> m_candidates;
    std::size_t m_asking{0};
};

} // namespace berylhill::cell
