#pragma once

#include <base/time.hpp>
#include <calls/minion_health.hpp>
#include <model/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::calls
{

/// How a call occupies a slot of a minion.
enum class hold_kind : std::uint8_t
{
    awaited,   ///< Sent; its answer is awaited.
    given_up,  ///< Sent and no longer awaited; its connection is open.
    lingering, ///< Its connection is closed; the minion may still be running
               ///< it.
};

struct slot_hold
{
    hold_kind kind{hold_kind::awaited};
    base::instant sent_at;
    /// For lingering calls: when the minion has certainly ended the call.
    base::instant free_at;

    friend bool operator==(slot_hold const&, slot_hold const&) = default;
};

/// Exact count of the used slots and connections of one minion. A slot is taken
/// from the send until the minion's answer, or until the connection is closed
/// and the maximum time for a call has passed. This prevents overload: if the
/// slot were freed when the caller gives up, the minion would run both the old
/// and a new call. Not thread-safe.
class minion_slots
{
public:
    minion_slots(model::endpoint it, health_settings const& settings);

    void set_endpoint(model::endpoint it);

    [[nodiscard]] bool has_room(base::instant now) const;

    /// Precondition: `has_room(now)`.
    void take(std::string const& request_id, base::instant now);

    /// Takes a slot that an earlier owner of the group may be using.
    void take_inherited(std::string const& request_id,
                        base::instant now,
                        base::instant free_at);

    /// Marks a call as no longer awaited; its slot stays taken.
    void give_up(std::string const& request_id);

    /// Records that the connection was closed without an answer. The slot stays
    /// taken until `free_at`.
    void linger(std::string const& request_id, base::instant free_at);

    /// Frees the slot of a call that the minion has certainly ended. Returns
    /// the slot's state.
    std::optional<slot_hold> release(std::string const& request_id);

    /// Frees lingering slots whose time is over; returns the request ids of
    /// their calls.
    std::vector<std::string> expire(base::instant now);

    /// Number of calls with an open connection that have been running for
    /// longer than `span`.
    [[nodiscard]] std::int32_t count_running_longer(base::duration span,
                                                    base::instant now) const;

    /// Number of slots usable now, including those in use; 0 if the minion is
    /// leaving.
    [[nodiscard]] std::int32_t usable(base::instant now) const;

    [[nodiscard]] std::int32_t busy() const noexcept
    {
        return static_cast<std::int32_t>(m_holds.size());
    }

    [[nodiscard]] std::int32_t open_connections() const noexcept
    {
        return m_open_connections;
    }

    [[nodiscard]] model::endpoint const& endpoint() const noexcept
    {
        return m_endpoint;
    }

    [[nodiscard]] bool leaving() const noexcept
    {
        return m_endpoint.state == model::listed_state::leaving;
    }

    [[nodiscard]] minion_health& health() noexcept
    {
        return m_health;
    }

    [[nodiscard]] minion_health const& health() const noexcept
    {
        return m_health;
    }

private:
    model::endpoint m_endpoint;
    minion_health m_health;
    std::unordered_map<std::string, slot_hold> m_holds;
    std::int32_t m_open_connections{0};
};

} // namespace berylhill::calls
