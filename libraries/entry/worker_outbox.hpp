#pragma once

#include <base/time.hpp>
#include <platform/worker_link.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace berylhill::entry
{

/// What is still to be said to one worker. Each item stays until an answer
/// shows that the worker took it; all may be repeated without harm. A value.
///
/// A start in a request without an answer may reach the worker after later
/// requests, until its lease is over. Up to there a stop of the attempt is
/// repeated, as it may come before the start, and its result is not
/// acknowledged, as a worker that has forgotten it would run it again.
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

    /// The worker answered this request when its clock read `clock`, in
    /// microseconds.
    void taken(platform::worker_request const& request, std::int64_t clock);

    /// The last request was surely not taken.
    void not_taken() noexcept;

    /// The last request, this one, got no answer.
    void unanswered(platform::worker_request const& request);

    /// The worker's process was replaced: requests to the former one can no
    /// longer take effect.
    void process_replaced();

    /// Attempts of which a start may still reach the worker.
    [[nodiscard]] std::set<model::attempt_id> late_starts() const;

    /// Whether the attempt's acknowledgement waits to be sent.
    [[nodiscard]] bool acknowledges(model::attempt_id const& it) const;

private:
    std::map<model::attempt_id, platform::task_start> m_starts;
    std::set<model::attempt_id> m_stops;
    std::set<model::attempt_id> m_checkpoints;
    std::map<model::attempt_id, double> m_throttles;
    std::set<model::attempt_id> m_acknowledged;
    /// When the last start of an attempt that got no answer lapses, on the
    /// worker's clock.
    std::map<model::attempt_id, std::int64_t> m_late_starts;
    bool m_urgent{false};
};

} // namespace berylhill::entry
