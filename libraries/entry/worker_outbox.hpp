#pragma once

#include <base/time.hpp>
#include <platform/worker_link.hpp>

#include <map>
#include <set>
#include <string>

namespace berylhill::entry
{

/// What is still to be said to one worker. Each item stays until an answer
/// shows that the worker took it; all may be repeated without harm. A value.
class worker_outbox
{
public:
    void start(platform::task_start it);
    void stop(model::attempt_id const& it);
    void checkpoint(model::attempt_id const& it);
    void throttle(model::attempt_id const& it, double share);
    /// The outcome is in the log; the worker may forget the result.
    void acknowledge(model::attempt_id const& it);

    /// Nothing more is to be said of this attempt, but for its
    /// acknowledgement.
    void forget(model::attempt_id const& it);

    /// Whether something waits that should not wait for the next heartbeat.
    [[nodiscard]] bool urgent() const noexcept;

    /// The next request. `renew_until` is the lease of all tasks, starts
    /// included; with 0 no starts are sent, as they would come lapsed.
    [[nodiscard]] platform::worker_request request(std::int64_t epoch,
                                                   std::int64_t renew_until);

    /// The worker answered this request.
    void taken(platform::worker_request const& request);

    /// No answer came to the last request.
    void not_taken() noexcept;

private:
    std::map<model::attempt_id, platform::task_start> m_starts;
    std::set<model::attempt_id> m_stops;
    std::set<model::attempt_id> m_checkpoints;
    std::map<model::attempt_id, double> m_throttles;
    std::set<model::attempt_id> m_acknowledged;
    bool m_urgent{false};
};

} // namespace berylhill::entry
