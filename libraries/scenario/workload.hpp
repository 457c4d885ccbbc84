#pragma once

#include <base/time.hpp>
#include <scenario/api_client.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace berylhill::scenario
{

/// Calls that come at a steady rate, whether earlier ones were answered or not.
struct call_batch
{
    std::string prefix;
    std::string contract;
    std::string service;
    model::rerun safety{model::rerun::idempotent};
    base::duration deadline{std::chrono::seconds{5}};
    int count{0};
    double rate{1};
};

/// Jobs that are alike, submitted one after the other.
struct job_batch
{
    /// The tags are this, a dash and a number.
    std::string tag;
    model::job_request request;
    /// What a task really does; the tag is added for each job.
    Json::Value command;
    int count{0};
    /// Between two submissions.
    base::duration gap{0};
};

/// How customers fared with one contract so far.
struct tally
{
    int calls{0};
    int answered{0};
    int refused{0};
    int unknown{0};
    /// Calls that must run once, whose last word was "unknown".
    int given_up{0};
    int jobs{0};
    int accepted{0};
    std::map<std::string, int> ended; ///< By the state's name.
    std::int64_t tasks_done{0};
    /// From the first attempt of a call to its answer, in seconds.
    std::vector<double> waited_s;
    /// From a job's acceptance to its end, in seconds.
    std::vector<double> job_s;
};

/// Sends calls and jobs as customers do, and follows them to their end. A call
/// or job that was refused as not run is tried again under a new name, as a
/// new one. Thread-safe.
class workload
{
public:
    workload(api_client& api, journal& seen);
    /// Waits for calls in flight, not for jobs.
    ~workload();
    workload(workload const&) = delete;
    workload& operator=(workload const&) = delete;

    void start(call_batch const& it);
    void start(job_batch const& it);

    /// Cancels up to `count` unfinished jobs of the batch, all at once.
    void cancel(std::string const& tag, int count);

    [[nodiscard]] std::map<std::string, tally> tallies() const;

    /// Over all contracts.
    [[nodiscard]] int answered() const;
    [[nodiscard]] int refused() const;
    [[nodiscard]] int ended(std::string const& state) const;

private:
    struct followed_job
    {
        std::string tag;
        std::string contract;
        base::instant accepted;
    };

    void run_calls(call_batch const& it,
                   std::atomic<int>& next,
                   base::instant start);
    void call_until_answered(call_batch const& batch, int number);
    void run_jobs(job_batch const& it);
    void submit_until_accepted(job_batch const& batch, int number);
    void follow();
    void note_state(std::string const& id, Json::Value const& state);
    bool pause(base::duration it);

    api_client& m_api;
    journal& m_journal;
    base::system_clock m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping{false};
    std::map<std::string, tally> m_tallies;
    std::map<std::string, followed_job> m_unfinished;
    std::vector<std::thread> m_threads;
    std::thread m_follower;
};

} // namespace berylhill::scenario
