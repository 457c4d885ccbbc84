#include <command/job_output.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>

#include <algorithm>

namespace berylhill::command
{

namespace
{

constexpr base::duration s_longest_poll = std::chrono::seconds{20};

exit_code exit_code_of(model::job_state state)
{
    switch (state)
    {
    case model::job_state::succeeded:
        return exit_code::done;
    case model::job_state::outcome_unknown:
        return exit_code::outcome_unknown;
    default:
        return exit_code::refused;
    }
}

} // namespace

void print_job(Json::Value const& job,
               cxxopts::ParseResult const& options,
               std::ostream& out)
{
    if (wants_json(options))
    {
        out << model::text_of(job) << std::endl;
        return;
    }
    out << "job " << cell(job, "id") << ' ' << cell(job, "contract") << '/'
        << cell(job, "name") << ": " << cell(job, "state") << ", "
        << cell(job, "tasks_done") << " of " << cell(job, "tasks")
        << " tasks done";
    if (job["tasks_failed"].isInt64() && job["tasks_failed"].asInt64() > 0)
    {
        out << ", " << cell(job, "tasks_failed") << " failed";
    }
    auto const reason = cell(job, "reason");
    out << (reason.empty() ? "" : " (" + reason + ")") << std::endl;
}

base::result<exit_code> follow_job(std::string const& id,
                                   base::duration at_most,
                                   entry_client const& client,
                                   cxxopts::ParseResult const& options,
                                   std::ostream& out)
{
    base::system_clock const clock;
    auto const until = clock.now() + at_most;
    std::string seen;
    while (true)
    {
        auto const left =
            std::clamp(until - clock.now(), base::duration{0}, s_longest_poll);
        auto const wait_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(left);
        BOOST_LEAF_AUTO(job, client.ask(get(std::string{api::s_jobs} + "/" +
                                            encoded(id) + "?wait_ms=" +
                                            std::to_string(wait_ms.count()))));
        BOOST_LEAF_AUTO(state,
                        model::enum_from<model::job_state>(cell(job, "state")));
        if (cell(job, "state") != seen)
        {
            seen = cell(job, "state");
            print_job(job, options, out);
        }
        if (model::is_final(state))
        {
            return exit_code_of(state);
        }
        if (clock.now() >= until)
        {
            return base::fail(base::failure_code::timed_out,
                              "job " + id +
                                  " has not ended in time; it goes "
                                  "on");
        }
    }
}

} // namespace berylhill::command
