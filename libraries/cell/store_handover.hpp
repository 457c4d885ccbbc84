#pragma once

#include <base/time.hpp>
#include <cell/owner_lookup.hpp>
#include <cell/store_contact.hpp>
#include <cell/store_succession.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace berylhill::cell
{

/// Finds a successor for an owner that the store does not serve: checks at once
/// whether all its calls are refused, lets the processes that watch it show
/// whether the store serves them, and names one of those. The owner goes on
/// until the successor's claim is stored, so that running tasks keep their
/// leases whatever becomes of the claim.
///
/// Lives on the event loop.
class store_handover
{
public:
    /// The process that this object works for.
    class process
    {
    public:
        process() = default;
        process(process const&) = delete;
        process& operator=(process const&) = delete;
        virtual ~process() = default;

        /// What keeps this process, as the owner, from the store; empty if it
        /// does not own the work or has no trouble.
        [[nodiscard]] virtual std::optional<store_trouble> trouble() const = 0;
        /// Answers all watches: the processes that watch this one should show
        /// whether the store serves them.
        virtual void wake_watchers() = 0;
        /// Answers the watch of a process that was named.
        virtual void wake_watcher(peer const& it) = 0;
        /// The log's newest claim.
        virtual void on_owner_found(owner_view const& it) = 0;
    };

    /// `cell` is the cell's log and must show its calls to `contact`. All
    /// arguments must outlive this object.
    store_handover(boost::asio::io_context& loop,
                   base::clock const& clock,
                   keyed_log& cell,
                   store_contact& contact,
                   process& whose);
    store_handover(store_handover const&) = delete;
    store_handover& operator=(store_handover const&) = delete;
    ~store_handover();

    /// A process that watches this one told of its contact.
    void heard(peer const& from, std::optional<store_evidence> const& it);

    /// This process has won a claim.
    void claimed();

    /// This process does not own the work any more.
    void ended();

    /// Whether this process is an owner in trouble.
    [[nodiscard]] bool in_trouble() const noexcept
    {
        return m_in_trouble;
    }

    /// The process that is asked to claim the work; empty if none is.
    [[nodiscard]] std::optional<peer> const& successor() const noexcept
    {
        return m_successor;
    }

    /// How often a successor was named.
    [[nodiscard]] std::uint64_t named() const noexcept
    {
        return m_named;
    }

    /// Whether the process lately said that the store turns it away.
    [[nodiscard]] bool turned_away(peer const& it) const;

private:
    void outage_changed();
    void report_outage(store_outage const& it);
    void probe();
    void check();
    void check_later();
    void report_successor(store_trouble const& it);

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    store_contact& m_contact;
    process& m_process;
    /// Reads a single record: shows whether the store serves reads.
    owner_lookup m_probe;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
    store_succession m_succession;
    std::optional<peer> m_successor;
    std::uint64_t m_named{0};
    bool m_owns{false};
    bool m_in_trouble{false};
    base::instant m_next_probe{};
    base::instant m_next_wake{};
    /// When the log may next tell of an outage that has not grown, and the
    /// kinds of calls that it told of.
    base::instant m_next_report{};
    bool m_reported_both{false};
};

} // namespace berylhill::cell
