#pragma once

#include <scheduler/decision_log.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <utility>

namespace berylhill::scheduler_test
{

/// Discards its lines, or prints them with the virtual time if
/// `BERYLHILL_TRACE` is set.
class trace_log final : public scheduler::decision_log
{
public:
    using clock_function = std::function<double()>;

    explicit trace_log(clock_function seconds)
        : m_seconds{std::move(seconds)}
        , m_on{std::getenv("BERYLHILL_TRACE") != nullptr}
    {
    }

    void write(base::log_level,
               std::string_view event,
               std::initializer_list<base::log_field> fields) override
    {
        if (!m_on)
        {
            return;
        }
        std::clog << m_seconds() << " " << event;
        for (auto const& it : fields)
        {
            std::clog << " " << it.key << "=" << it.text;
        }
        std::clog << "\n";
    }

private:
    clock_function m_seconds;
    bool m_on;
};

} // namespace berylhill::scheduler_test
