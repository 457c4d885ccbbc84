#include <cell/hold_schedule.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Pause before the next request to an instance that did not answer.
constexpr base::duration retry_pause = std::chrono::milliseconds{200};

/// A request that acknowledges nothing is answered at once while ends are
/// listed, so it is sent as seldom as one to an instance where nothing ends. A
/// lease lasts several times as long.
constexpr base::duration longest_wait_for_store =
    std::chrono::milliseconds{1'000};

} // namespace

bool hold_schedule::due(base::instant now, std::uint64_t stored) const
{
    return !m_request_in_flight && now >= m_next &&
           (m_batch <= stored || now >= m_latest);
}

void hold_schedule::reported(base::instant now,
                             std::uint64_t batch,
                             base::duration rest)
{
    m_request_in_flight = false;
    m_batch = batch;
    m_next = now + rest;
    m_latest = now + std::max(rest, longest_wait_for_store);
}

void hold_schedule::failed(base::instant now)
{
    m_request_in_flight = false;
    m_next = now + retry_pause;
}

} // namespace berylhill::cell
