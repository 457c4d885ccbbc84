#include <cell/limit_log.hpp>

#include <base/log.hpp>

namespace berylhill::cell
{

namespace
{

constexpr base::duration pause = std::chrono::seconds{1};

} // namespace

void limit_log::look(base::instant now)
{
    if (now < m_next || counts() == m_told)
    {
        return;
    }
    m_next = now + pause;
    m_told = counts();
    base::log(base::log_level::warning, "limits_met",
              {{"listener", m_listener},
               {"connections", std::uint64_t{m_server.connections()}},
               {"closed_for_new", m_told.closed_for_new},
               {"closed_for_memory", m_told.closed_for_memory},
               {"too_large", m_told.too_large},
               {"too_slow", m_told.too_slow},
               {"busy", m_told.busy}});
}

} // namespace berylhill::cell
