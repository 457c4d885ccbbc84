#include <cell/node.hpp>

namespace berylhill::cell
{

namespace
{

/// An owner that has owned for this long shows that the store does not turn
/// processes away by turns.
constexpr base::duration settled_time = std::chrono::seconds{10};

} // namespace

std::uint32_t node::replaced_owners() const
{
    return m_clock.now() - m_owns_since > settled_time
               ? 0
               : m_ownership.replaced_owners();
}

std::optional<store_trouble> node::trouble() const
{
    if (!owns())
    {
        return std::nullopt;
    }
    return trouble_of({m_store.outage(), m_store.reads_served_since(),
                       m_owner != nullptr,
                       m_owner ? m_owner->store_stuck() : base::duration{0},
                       replaced_owners()},
                      m_clock.now());
}

void node::wake_watchers()
{
    m_peer_service.wake();
}

void node::wake_watcher(peer const& it)
{
    m_peer_service.wake(it);
}

void node::on_owner_found(owner_view const& it)
{
    m_ownership.on_owner_reported(it);
}

void node::on_evidence_reported(peer const& from,
                                std::optional<store_evidence> const& it)
{
    m_handover.heard(from, it);
}

} // namespace berylhill::cell
