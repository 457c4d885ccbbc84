#include <cell/hold_schedule.hpp>

namespace berylhill::cell
{

namespace
{

/// Pause before the next request to an instance that did not answer.
constexpr base::duration retry_pause = std::chrono::milliseconds{200};

} // namespace

bool hold_schedule::due(base::instant now, std::uint64_t stored) const
{
    return !m_request_in_flight && now >= m_next && m_batch <= stored;
}

void hold_schedule::reported(base::instant now,
                             std::uint64_t batch,
                             base::duration rest)
{
    m_request_in_flight = false;
    m_batch = batch;
    m_next = now + rest;
}

void hold_schedule::failed(base::instant now)
{
    m_request_in_flight = false;
    m_next = now + retry_pause;
}

} // namespace berylhill::cell
