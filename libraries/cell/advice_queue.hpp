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

/// Chooses the next advice request and the process that sends it. The service
/// handles one request at a time for each client machine, in order of arrival,
/// so a request waits here until a machine is free instead of behind others at
/// the service.
///
/// This matters after a change of owner, when all steps ask at once: a request
/// for urgent work takes 10 ms at the service and one for a gang takes a
/// second, and urgent work waited 0.8 s behind those.
///
/// Pure: the time is passed to each call. Not thread-safe.
class advice_queue
{
public:
    /// The process that sends a request. A value.
    struct assignment
    {
        std::uint64_t request{0};
        /// Address of the process; empty for this process.
        network::socket_address sender;

        friend bool operator==(assignment const&, assignment const&) = default;
    };

    /// Adds a request. Precondition: the number is new.
    void add(std::uint64_t request, scheduler::advice_order const& order);

    /// Returns the next request that a free process can send. `others` are the
    /// other live processes.
    [[nodiscard]] std::optional<assignment>
    next(std::vector<peer> const& others, base::instant now);

    /// Reports that a request sent by `by` has ended. Precondition:
    /// `next` assigned it.
    void
    ended(network::socket_address const& by, bool answered, base::instant now);

    /// Removes all requests that no process has been told to send, and returns
    /// their numbers.
    [[nodiscard]] std::vector<std::uint64_t> take_waiting();

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_waiting.size();
    }

private:
    /// Sort key of a waiting request, compared member by member.
    struct turn
    {
        bool takes_long{false};
        bool late{false};
        base::instant needed_by{};
        std::uint64_t request{0};

        friend auto operator<=>(turn const&, turn const&) = default;
    };

    struct machine
    {
        std::size_t requests_in_flight{0};
        base::instant avoid_until{};
    };

    [[nodiscard]] bool
    is_free(machine const& it, bool takes_long, base::instant now) const;
    using machines = std::map<network::socket_address, machine>;
    using sender_entry = machines::value_type;

    void set_senders(std::vector<peer> const& others);
    [[nodiscard]] sender_entry*
    least_busy(std::size_t from, bool takes_long, base::instant now) const;

    std::map<turn, base::duration> m_waiting;
    machines m_senders;
    std::vector<peer> m_others;
    /// The live processes in order of preference. Pointers avoid a lookup by
    /// address for each request.
    std::vector<sender_entry*> m_candidates;
    std::size_t m_requests_in_flight{0};
};

} // namespace berylhill::cell
