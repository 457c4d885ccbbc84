#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace berylhill::platform_test
{

/// Orders that get no answer and are carried out later. A value.
struct late_orders
{
    double share{0};
    std::chrono::milliseconds shortest_delay{2'000};
    std::chrono::milliseconds longest_delay{12'000};

    friend bool operator==(late_orders const&, late_orders const&) = default;
};

/// Which requests a healthy instance rejects, and which orders it carries out
/// late and without an answer. Draws from a generator of its own, and only
/// while a share is set. Not thread-safe.
class request_faults
{
public:
    explicit request_faults(std::uint64_t seed = 0)
        : m_random{seed}
    {
    }

    /// The share of starts, stops and holds that are rejected with 503 and
    /// have no effect.
    /// Precondition: `it` from 0 to 1.
    void set_rejected_share(double it)
    {
        m_rejected_share = it;
    }

    /// Which starts and stops get no answer and are carried out later, after
    /// newer requests.
    /// Precondition: the share is from 0 to 1, the longest delay is not below
    /// the shortest.
    void set_late(late_orders const& it)
    {
        m_late = it;
    }

    /// Whether the next request is rejected.
    [[nodiscard]] bool rejects();

    /// How much later the next order is carried out; nothing: it is not late.
    [[nodiscard]] std::optional<std::chrono::milliseconds> delay();

private:
    std::mt19937_64 m_random;
    double m_rejected_share{0};
    late_orders m_late;
};

} // namespace berylhill::platform_test
