#include <command/exit_code.hpp>

namespace berylhill::command
{

exit_code exit_code_of(base::failure_code code) noexcept
{
    switch (code)
    {
    case base::failure_code::invalid:
        return exit_code::bad_input;
    case base::failure_code::not_found:
    case base::failure_code::conflict:
    case base::failure_code::refused:
        return exit_code::refused;
    case base::failure_code::unavailable:
    case base::failure_code::log_unavailable:
    case base::failure_code::timed_out:
    case base::failure_code::superseded:
        return exit_code::unavailable;
    case base::failure_code::outcome_unknown:
        return exit_code::outcome_unknown;
    }
    return exit_code::outcome_unknown;
}

} // namespace berylhill::command
