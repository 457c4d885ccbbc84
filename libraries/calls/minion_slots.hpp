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

/// What one call holds on a minion.
enum class hold_kind : std::uint8_t
{
    awaited,   ///< Sent, and somebody waits for its answer.
    given_up,  ///< Sent, and nobody waits any more; its connection is open.
    lingering, ///< Its connection is closed; the minion may still be at it.
};

struct slot_hold
{
    hold_kind kind{hold_kind::awaited};
    base::instant sent_at;
    /// Lingering ones: when the minion has surely ended the call.
    base::instant free_at;

    friend bool operator==(slot_hold const&, slot_hold const&) = default;
};

/// The slots and connections of one minion, counted exactly. A slot is taken
/// from the send until the minion's answer, or until the connection is closed
/// and the longest time that a minion may spend on a call is over. It guards
/// against an overfull minion: were the slot given away when the caller gives
/// up, the minion would be at both calls. Not thread-safe.
class minion_slots
{
public:
    minion_slots(model::endpoint it, health_settings const& settings);

    void set_endpoint(model::endpoint it);

    [[nodiscard]] bool has_room(base::instant now) const;

    /// Precondition: `has_room(now)`.
    void take(std::string const& request_id, base::instant now);

    /// A slot that an earlier owner of the group may have in use.
    void take_unseen(std::string const& request_id,
                     base::instant now,
                     base::instant free_at);

    /// Nobody waits for the call any more; its slot stays taken.
    void give_up(std::string const& request_id);

    /// The connection is closed without an answer.
    void linger(std::string const& request_id, base::instant free_at);

    /// The minion has surely ended the call. Returns what it held.
    std::optional<slot_hold> release(std::string const& request_id);

    /// Frees lingering slots whose time is over; returns their calls.
    std::vector<std::string> expire(base::instant now);

    /// Awaited calls that run for longer than `span`.
    [[nodiscard]] std::int32_t running_longer(base::duration span,
                                              base::instant now) const;

    /// Slots usable now, those in use included; 0 when leaving.
    [[nodiscard]] std::int32_t usable(base::instant now) const;

    [[nodiscard]] std::int32_t busy() const noexcept
    {
        return static_cast<std::int32_t>(m_holds.size());
    }

    [[nodiscard]] std::int32_t open_connections() const noexcept
    {
        return m_open;
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
    std::int32_t m_open{0};
};

} // namespace berylhill::calls
