#pragma once

#include <base/time.hpp>
#include <cell/call_outcome.hpp>
#include <cell/job_call.hpp>
#include <cell/ownership.hpp>
#include <cell/peer_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace berylhill::cell
{

/// Forwards each client call to the owner, in this process or another, and
/// retries with the next owner if ownership changes meanwhile. A call may
/// therefore arrive twice. Lives on the event loop.
class call_router
{
public:
    /// Calls the owner in this process; returns false if this process does not
    /// own the work.
    using local_function =
        std::function<bool(job_call const&, job_answer_handler const&)>;

    call_router(boost::asio::io_context& loop,
                base::clock const& clock,
                peer_client& peers,
                ownership const& owner,
                local_function local);

    using handler = std::function<void(call_outcome const&)>;

    /// `done` is called once, before the call's timeout expires.
    void call(job_call it, handler done);

    /// The number of calls that wait for an owner or for its answer.
    [[nodiscard]] std::size_t under_way() const noexcept
    {
        return m_under_way;
    }

private:
    struct pending_call;
    using pending_call_pointer = std::shared_ptr<pending_call>;

    void send_to_owner(pending_call_pointer const& it);
    [[nodiscard]] bool call_here(pending_call_pointer const& it);
    void watch_owner(pending_call_pointer const& it, std::uint32_t asked);
    void peer_call_ended(pending_call_pointer const& it,
                         std::uint32_t asked,
                         peer_result<job_answer> const& end);
    void owner_answered(pending_call_pointer const& it,
                        job_answer const& answer);
    void retry(pending_call_pointer const& it);
    void finish(pending_call_pointer const& it,
                job_answer const& answer,
                answer_source source);

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    peer_client& m_peers;
    ownership const& m_owner;
    local_function m_local;
    std::size_t m_under_way{0};
};

} // namespace berylhill::cell
