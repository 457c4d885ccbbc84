#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace berylhill::cell
{

/// The kinds of calls to the store. It may serve one kind and not the other.
enum class store_call : std::uint8_t
{
    read,
    append,
};

/// A time during which the store has served none of this process's calls. A
/// value.
struct store_outage
{
    /// When the first call ended that was not served.
    base::instant since{};
    /// When the last such call ended.
    base::instant last{};
    /// The kinds of calls that were not served.
    bool reads{false};
    bool appends{false};

    friend bool operator==(store_outage const&, store_outage const&) = default;
};

/// Whether the platform's store serves this process, as shown by each of its
/// calls, whatever their purpose. The store may turn some processes away and
/// serve the others, so this is known of the own process only.
///
/// A call counts as served if the store carried it out, or answered that its
/// condition does not hold. Not thread-safe.
class store_contact
{
public:
    /// Called when an outage begins and when another kind of call joins it,
    /// from within `not_served`.
    void on_outage(std::function<void()> it)
    {
        m_on_outage = std::move(it);
    }

    /// A call that was sent at `sent_at` was served.
    void served(base::instant sent_at, base::instant now);

    /// A call was refused, had no answer, or its connection broke.
    void not_served(store_call of, base::instant now);

    /// The present outage; empty if there is none. Only a served call that was
    /// sent after it began ends it.
    [[nodiscard]] std::optional<store_outage> const& outage() const noexcept
    {
        return m_outage;
    }

    /// When the latest served call was sent; empty if none was served.
    [[nodiscard]] std::optional<base::instant> served_at() const noexcept
    {
        return m_served_at;
    }

    /// For how long every read has been served; 0 during an outage.
    [[nodiscard]] base::duration served_for(base::instant now) const;

    /// Since when every read has been served, whatever becomes of the appends;
    /// empty if the last one was not.
    [[nodiscard]] std::optional<base::instant> reads_served_since() const;

    /// Whether the store has lately turned this process away. An outage that no
    /// call has confirmed for a second may be over, and one of appends alone
    /// does not count.
    [[nodiscard]] bool turned_away(base::instant now) const;

private:
    std::optional<store_outage> m_outage;
    std::optional<base::instant> m_served_at;
    std::optional<base::instant> m_served_since;
    std::function<void()> m_on_outage;
};

} // namespace berylhill::cell
