#include <base/buffered_log.hpp>
#include <base/log.hpp>
#include <cell/node.hpp>
#include <command/run.hpp>
#include <entry/entry.hpp>
#include <platform/make_adapter.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace berylhill;

namespace
{

/// Lines of the log that wait for their reader; more are left out.
constexpr std::size_t log_buffer_bytes = std::size_t{1'024} * 1'024;

int run_cell(settings::cell_settings const& settings, std::string const& path)
{
    base::start_buffered_log(settings.instance, settings.log_level,
                             log_buffer_bytes);
    auto const end = base::capture(
        [&]() -> base::result<base::done>
        {
            cell::node node{settings, path, platform::make_adapter};
            BOOST_LEAF_CHECK(node.run());
            return base::done{};
        });
    if (end)
    {
        // All connections are closed and the log is flushed. Returning would
        // join the log library's worker threads, which on instances that run
        // one thread at a time was never done: 12 of 12 planned stops of a
        // play waited until they were killed, 3.5 s after their last word.
        base::flush_log();
        std::_Exit(0);
    }
    base::log(base::log_level::error, "process_failed",
              {{"error", end.error().message}});
    base::flush_log();
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments{argv + 1, argv + argc};
    return command::run(arguments,
                        {std::cout, std::cerr, entry::run, run_cell});
}
