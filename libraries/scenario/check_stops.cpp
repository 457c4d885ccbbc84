#include <scenario/checker.hpp>

#include <map>
#include <set>

namespace berylhill::scenario
{

namespace
{

/// Ends that a stop of the worker brought on, and not the task itself.
bool cut_off(event const& it)
{
    return it.kind == "end" &&
           (it.word("end") == "lapsed" || it.word("end") == "stopped");
}

class stops_checker final : public checker
{
public:
    std::string name() const override
    {
        return "stops-are-graceful";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        /// Planned to stop, and not yet ended.
        std::set<std::string> stopping;
        /// Cancelled work may be stopped anywhere.
        std::set<std::string> cancelled;
        for (auto const& it : seen)
        {
            if (it.kind == "stop_announced")
            {
                stopping.insert(it.subject);
            }
            else if (it.kind == "fault")
            {
                // What fails on top of a planned stop is no part of it.
                stopping.erase(it.subject);
            }
            else if (it.kind == "job_cancelled")
            {
                cancelled.insert(it.word("id"));
            }
            else if (it.kind == "process_ended" &&
                     stopping.erase(it.subject) != 0 && it.number("code") != 0)
            {
                found.push_back({name(), it.at_us,
                                 it.subject + " ended with code " +
                                     std::to_string(it.number("code"))});
            }
            else if (it.kind == "call_cut" && stopping.contains(it.subject))
            {
                found.push_back({name(), it.at_us,
                                 it.subject + " cut off " + it.word("call")});
            }
            else if (cut_off(it) && stopping.contains(it.subject) &&
                     !cancelled.contains(it.word("job")))
            {
                found.push_back({name(), it.at_us,
                                 it.subject + " lost " + it.word("job") + "/" +
                                     std::to_string(it.number("index")) +
                                     ", which " + it.word("end")});
            }
        }
        return found;
    }
};

} // namespace

checker_pointer stops_are_graceful()
{
    return std::make_unique<stops_checker>();
}

} // namespace berylhill::scenario
