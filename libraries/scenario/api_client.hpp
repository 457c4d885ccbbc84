#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <model/job.hpp>
#include <platform/http_pool.hpp>
#include <scenario/balancer.hpp>
#include <scenario/journal.hpp>

#include <json/value.h>

#include <memory>
#include <string>

namespace berylhill::scenario
{

/// One call of a customer's client.
struct customer_call
{
    /// Nobody else's; goes into the target and the body, and so into what the
    /// minion sees and answers.
    std::string name;
    std::string contract;
    std::string service;
    model::rerun safety{model::rerun::idempotent};
    base::duration deadline{std::chrono::seconds{5}};
};

enum class call_result : std::uint8_t
{
    answered,
    not_run, ///< Refused, and surely not run.
    unknown, ///< Refused, or cut off.
};

/// What a customer's client does, over all entries, and what an operator's
/// does. Everything sent and heard goes into the journal. Thread-safe; blocks.
class api_client
{
public:
    api_client(std::shared_ptr<platform::http_pool> pool,
               balancer& entries,
               journal& seen);

    /// Calls once, at the next entry that accepts the connection. An
    /// idempotent call that was cut off is sent again to another entry, one
    /// that must run once under the same Idempotency-Key.
    [[nodiscard]] call_result call(customer_call const& it);

    /// Submits until an answer came, under one key; the job's id. Fails with
    /// `refused` where it was surely not accepted, and with
    /// `outcome_unknown`. Precondition: the command has the tag.
    [[nodiscard]] base::result<std::string> submit(model::job_request const& it,
                                                   std::string const& tag);

    /// Fails with `unavailable` where no entry says it now.
    [[nodiscard]] base::result<Json::Value> job(std::string const& id);

    [[nodiscard]] base::result<base::done> cancel(std::string const& id);

    /// Applies on top of what is in force; returns the accepted offset. Fails
    /// with `conflict` where another operator came first.
    [[nodiscard]] base::result<std::int64_t> apply(Json::Value const& contracts,
                                                   std::int64_t based_on,
                                                   std::string const& who);

    /// The configuration that this entry says is in force; -1 for none yet.
    [[nodiscard]] base::result<std::int64_t>
    configuration(entry_address const& it);

    /// The highest offset that any entry says is in force; -1 for none.
    [[nodiscard]] std::int64_t newest_configuration();

    [[nodiscard]] base::result<base::done> announce(std::string const& kind,
                                                    std::string const& id);

private:
    /// Sends to entries in turn until one has surely got it.
    [[nodiscard]] base::result<platform::http_reply>
    send(platform::http_request const& request,
         base::duration timeout,
         std::string& entry);
    [[nodiscard]] call_result judge(customer_call const& it,
                                    platform::http_reply const& reply);
    void note_refusal(customer_call const& it,
                      platform::http_reply const& reply,
                      std::string const& ran);

    std::shared_ptr<platform::http_pool> m_pool;
    balancer& m_entries;
    journal& m_journal;
};

} // namespace berylhill::scenario
