#include <command/time_line.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace berylhill::command
{

namespace
{

struct event_text
{
    std::string_view event;
    std::string_view meaning;
};

/// What the events of a job mean.
constexpr std::array job_events{
    event_text{"job_taken", "the owner took the job; it counts once stored"},
    event_text{"job_refused", "the owner refused it: it does not run"},
    event_text{"job_over_cap", "it needs more than its account may run"},
    event_text{"job_held",
               "the store rejects its records; nothing of it starts"},
    event_text{"job_released", "the store takes its records again"},
    event_text{"call_forbidden", "the caller's account is not the job's"},
    event_text{"request_denied", "the configuration allows no such request"},
    event_text{"job_too_large", "its specification does not fit into a record"},
    event_text{"account_at_cap", "its account runs as much as it may"},
    event_text{"call_outdated", "the owner has a newer configuration"},
    event_text{"call_failed", "a client was told that it was not done"},
    event_text{"call_answered", "a client was told, after several sends"},
    event_text{"advice_read", "the advice service answered for a step"},
    event_text{"task_placed", "a task was given an instance"},
    event_text{"task_restarted",
               "no instance had said that its last start ended"},
    event_text{"start_sent_again", "a start without an answer was sent again"},
    event_text{"start_not_sent", "its owner was paused before it sent it"},
    event_text{"start_unanswered", "a start got no answer in time"},
    event_text{"start_refused", "the instance rejected one start of the task"},
    event_text{"attempt_found", "the instance reported a start not confirmed"},
    event_text{"stop_accepted", "a stop was accepted: no start can begin"},
    event_text{"stop_refused", "the instance rejected a stop"},
    event_text{"stop_unanswered", "a stop got no answer in time"},
    event_text{"attempt_ended", "a start of a task ended"},
    event_text{"attempt_lost", "its instance was lost or gave no answer"},
    event_text{"task_given_up", "instance after instance was lost under it"},
    event_text{"attempt_not_there", "a start was not found where it was sent"},
    event_text{"attempt_preempted", "a task was stopped for more urgent work"},
    event_text{"stray_attempt", "a task ran that should not, and is stopped"},
    event_text{"unexpected_end", "another start than the current one ended"},
    event_text{"job_finished", "the job reached its final state"},
};

/// Events of the cell that hold up every job.
constexpr std::array cell_events{
    event_text{"owner_lost", "a process lost sight of the owner"},
    event_text{"claim_begins", "a process claims the work"},
    event_text{"claim_won", "a new owner"},
    event_text{"right_lost", "the owner lost its right"},
    event_text{"ownership_unconfirmed", "nothing confirms the owner"},
    event_text{"ownership_confirmed", "the owner is confirmed again"},
    event_text{"append_unanswered", "the store gave no answer to a write"},
    event_text{"append_refused", "the store refused a write"},
    event_text{"append_rejected", "the store will never take these records"},
    event_text{"log_lost", "a log of the store cannot be read"},
    event_text{"log_regained", "a log of the store can be read again"},
    event_text{"process_started", "a process began"},
    event_text{"process_stopping", "a process was told to stop"},
};

template <std::size_t N>
std::string_view meaning_in(std::array<event_text, N> const& all,
                            std::string const& event)
{
    for (auto const& it : all)
    {
        if (it.event == event)
        {
            return it.meaning;
        }
    }
    return {};
}

bool names(log_line const& it, std::string const& job)
{
    return std::ranges::any_of(it.members, [&](log_member const& member)
                               { return member.value.starts_with(job); });
}

/// Says in a sentence what a client was told, from a line `call_failed`.
std::string rejection_text(log_line const& it)
{
    if (it.value_of("unresolved") == "1" && it.value_of("by") == "entry")
    {
        return "Its client was answered " + it.value_of("status") +
               "; an earlier send may have had an effect.";
    }
    if (it.value_of("by") == "owner")
    {
        return "Its client was answered " + it.value_of("status") +
               " by the owner (" + it.value_of("end") + ").";
    }
    return "No owner could be reached while its client waited.";
}

log_line const* last_of(std::vector<log_line> const& it, std::string_view event)
{
    auto const found =
        std::find_if(it.rbegin(), it.rend(),
                     [&](log_line const& line) { return line.event == event; });
    return found == it.rend() ? nullptr : &*found;
}

/// Whether the store rejects the job's records by the last line about that.
bool is_held(std::vector<log_line> const& it)
{
    auto const last = std::find_if(it.rbegin(), it.rend(),
                                   [](log_line const& line) {
                                       return line.event == "job_held" ||
                                              line.event == "job_released";
                                   });
    return last != it.rend() && last->event == "job_held";
}

/// Says in a sentence what became of a job.
std::string outcome_in(std::vector<log_line> const& it)
{
    if (auto const* const end = last_of(it, "job_finished"); end != nullptr)
    {
        auto const phase = end->value_of("phase");
        auto out = "It is " + phase + ", " + end->value_of("took_s") +
                   " s after it was accepted";
        auto const* const failed = last_of(it, "attempt_ended");
        if (auto const* const lost = last_of(it, "task_given_up");
            lost != nullptr)
        {
            return out + ": " + lost->value_of("instances_lost") +
                   " instances were lost under " + lost->value_of("task") +
                   ", " + lost->value_of("at_its_start") +
                   " of them crashed as they started it.";
        }
        if (phase == "failed" && failed != nullptr)
        {
            out += ": the last start that ended so was " +
                   failed->value_of("task") + " on " +
                   failed->value_of("instance");
        }
        return out + ".";
    }
    if (is_held(it))
    {
        return "It is held: the store rejects its records.";
    }
    if (auto const* const refused = last_of(it, "job_refused");
        refused != nullptr && refused->value_of("why") == "rejected")
    {
        return "It was refused, since the store rejected its records; it did "
               "not run.";
    }
    if (auto const* const refused = last_of(it, "job_refused");
        refused != nullptr && last_of(it, "task_placed") == nullptr)
    {
        return "It was refused, since the store had taken nothing for " +
               refused->value_of("stuck_s") + " s; it did not run.";
    }
    if (auto const* const capped = last_of(it, "job_over_cap");
        capped != nullptr)
    {
        return "It was refused: it needs more than account " +
               capped->value_of("account") + " may have running.";
    }
    if (auto const* const large = last_of(it, "job_too_large");
        large != nullptr)
    {
        return "It was refused: its specification has " +
               large->value_of("bytes") + " bytes, and a record " +
               large->value_of("max_bytes") + ".";
    }
    if (auto const* const denied = last_of(it, "request_denied");
        denied != nullptr && last_of(it, "job_taken") == nullptr)
    {
        return "It was answered " + denied->value_of("status") +
               " by version " + denied->value_of("version") +
               " of the configuration.";
    }
    if (last_of(it, "task_placed") != nullptr)
    {
        return "It has begun and not ended.";
    }
    if (auto const* const waits = last_of(it, "account_at_cap");
        waits != nullptr)
    {
        return "It waits: account " + waits->value_of("account") +
               " has as much running as it may.";
    }
    if (last_of(it, "advice_read") != nullptr)
    {
        return "It waits: no instance with leave has had room for it.";
    }
    if (auto const* const told = last_of(it, "call_failed"); told != nullptr)
    {
        return rejection_text(*told);
    }
    return "The lines do not tell.";
}

} // namespace

std::vector<log_line> time_line_of(std::string const& job,
                                   std::vector<log_line> lines)
{
    std::ranges::stable_sort(lines, {}, &log_line::time);
    auto const own = [&](log_line const& it)
    {
        return names(it, job);
    };
    auto const first = std::ranges::find_if(lines, own);
    auto const last = std::find_if(lines.rbegin(), lines.rend(), own).base();
    std::vector<log_line> out;
    for (auto it = first; it < last; ++it)
    {
        if (own(*it) || !meaning_in(cell_events, it->event).empty())
        {
            out.push_back(*it);
        }
    }
    return out;
}

std::string text_of(log_line const& it)
{
    auto meaning = meaning_in(job_events, it.event);
    if (meaning.empty())
    {
        meaning = meaning_in(cell_events, it.event);
    }
    auto out = it.time + "  " + it.instance + "  " + it.event;
    if (!meaning.empty())
    {
        out += " (";
        out += meaning;
        out += ")";
    }
    for (auto const& member : it.members)
    {
        out += " ";
        out += member.key;
        out += "=";
        out += member.value;
    }
    return out;
}

std::string cause_in(std::vector<log_line> const& it)
{
    auto out = outcome_in(it);
    auto const ran = last_of(it, "task_placed") != nullptr ||
                     last_of(it, "job_finished") != nullptr;
    auto const* const told = last_of(it, "call_failed");
    if (ran && told != nullptr && told->value_of("call") == "submit")
    {
        out += " " + rejection_text(*told);
    }
    return out;
}

} // namespace berylhill::command
