#pragma once

#include <base/time.hpp>
#include <cell/call_outcome.hpp>
#include <cell/job_call.hpp>
#include <cell/token_bucket.hpp>
#include <scheduler/decision_log.hpp>

#include <cstdint>
#include <string_view>

namespace berylhill::cell
{

/// The configuration by which a process decided. A value.
struct deciding_configuration
{
    std::int64_t version{0};
    /// The newest version that the process knows of.
    std::int64_t newest{0};
    /// Time since the version was known to be the newest.
    base::duration age{0};

    friend bool operator==(deciding_configuration const&,
                           deciding_configuration const&) = default;
};

/// Logs what clients were told: each answer that is not a success, each success
/// after several sends, and each answer to a cancellation, after which no task
/// may start. Another success after one send has no line, since the owner's
/// `job_taken` tells it. Lines beyond a rate are left out and counted. Not
/// thread-safe.
class answer_log
{
public:
    /// `clock` and `to` must outlive this object.
    answer_log(base::clock const& clock, scheduler::decision_log& to);

    /// `status` is the HTTP status that the client was sent.
    void call_ended(job_call const& call,
                    call_outcome const& end,
                    unsigned status,
                    base::duration took,
                    deciding_configuration const& by);

    /// A request was answered without a call to the owner. `job` is the id in
    /// its path; `why` is a word; `key_digest` is empty unless an unknown key
    /// was the reason.
    void request_denied(std::string_view job,
                        unsigned status,
                        std::string_view why,
                        std::string_view key_digest,
                        deciding_configuration const& by);

private:
    [[nodiscard]] token_bucket& budget_of(job_call_kind it);
    [[nodiscard]] bool may_write(token_bucket& budget);

    base::clock const& m_clock;
    scheduler::decision_log& m_to;
    /// Lines of submissions and of cancellations. Each have a budget of their
    /// own, so that rejected reads or unknown keys leave none of them out.
    token_bucket m_submissions;
    token_bucket m_cancellations;
    token_bucket m_others;
    std::uint64_t m_left_out{0};
};

} // namespace berylhill::cell
