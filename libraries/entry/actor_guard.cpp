#include <entry/actor_guard.hpp>

#include <base/log.hpp>

#include <caf/all.hpp>

#include <cstdlib>
#include <exception>

namespace berylhill::entry
{

void end_process_on_exception(caf::scheduled_actor& actor)
{
    actor.set_exception_handler(
        [](std::exception_ptr const& thrown) -> caf::error
        {
            try
            {
                std::rethrow_exception(thrown);
            }
            catch (std::exception const& it)
            {
                base::log(base::log_level::error, "actor_failed",
                          {{"cause", it.what()}});
            }
            catch (...)
            {
                base::log(base::log_level::error, "actor_failed");
            }
            std::abort();
        });
}

} // namespace berylhill::entry
