#include <scheduler/start_sends.hpp>

namespace berylhill::scheduler
{

std::uint32_t start_sends::add()
{
    m_awaited.push_back(++m_sent);
    return m_sent;
}

void start_sends::answered(std::uint32_t send)
{
    take(send);
}

void start_sends::timed_out(std::uint32_t send)
{
    m_unanswered += take(send) ? 1 : 0;
}

bool start_sends::take(std::uint32_t send)
{
    return std::erase(m_awaited, send) > 0;
}

} // namespace berylhill::scheduler
