#pragma once

#include <base/time.hpp>
#include <calls/call.hpp>
#include <calls/call_outcome.hpp>
#include <calls/minion_health.hpp>
#include <entry/orders.hpp>
#include <entry/reply.hpp>
#include <model/endpoint.hpp>
#include <ownership/message.hpp>
#include <ownership/participant.hpp>
#include <platform/worker_link.hpp>
#include <stream/log_reader.hpp>

#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/atom.hpp>

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What actors of one process send each other. None of it leaves the process.
namespace berylhill::entry
{

using tick_atom = caf::atom_constant<caf::atom("tick")>;

/// The unit is owned here no more, or under another epoch: the actor ends.
using unit_lost_atom = caf::atom_constant<caf::atom("unitlost")>;

/// The process is to hand over what it owns.
using stop_atom = caf::atom_constant<caf::atom("stopping")>;

// To the ownership actor.

struct ownership_page
{
    std::shared_ptr<stream::reader_page const> page;
};

struct ownership_append_ended
{
    std::uint64_t ticket{0};
    ownership::append_outcome end{ownership::append_outcome::written};
};

struct heartbeat_heard
{
    ownership::heartbeat value;
};

struct suspicion_heard
{
    ownership::suspicion value;
};

struct vouch_asked
{
    ownership::vouch_request value;
};

struct vouch_answered
{
    ownership::vouch_answer value;
};

/// The entries on the platform's list; the request was sent at `as_of`.
struct entries_listed
{
    std::set<std::string> instances;
    base::instant as_of{};
};

struct units_listed
{
    std::set<std::string> units;
};

// To the membership actor.

struct list_fetched
{
    std::vector<model::endpoint> endpoints;
    base::instant as_of{};
};

/// A peer's heartbeat, as it came.
struct peer_heard
{
    Json::Value value;
};

// To the actor of a group of workers.

struct group_orders_asked
{
    group_orders orders;
    reply_promise<group_answers> answer;
};

/// A shard's new owner asks what runs; orders of its older epochs are refused
/// from now on.
struct inventory_asked
{
    std::string shard;
    std::int64_t shard_epoch{0};
    reply_promise<group_inventory> answer;
};

/// How much work an endpoint of the group still has.
struct work_left_asked
{
    std::string endpoint;
    reply_promise<std::int64_t> answer;
};

struct exchange_ended
{
    std::string worker;
    std::shared_ptr<platform::worker_request const> request;
    base::outcome<platform::worker_answer> answer;
    base::instant sent_at{};
    base::instant received_at{};
};

/// The ends that a shard's owner has written to the log.
struct ends_taken
{
    std::vector<model::attempt_id> reported;
    base::outcome<ends_answer> answer;
};

// To the actor of a group of minions.

/// Send the call to this minion.
struct call_granted
{
    model::endpoint minion;
    base::duration timeout{0};
};

using call_step = std::variant<call_granted, calls::refusal>;

struct call_offered
{
    calls::call call;
    reply_promise<call_step> answer;
};

struct call_finished
{
    std::string request_id;
    /// Empty if the call certainly did not run; `timed_out` if its outcome is
    /// unknown.
    std::optional<calls::call_end> end;
};

struct call_given_up
{
    std::string request_id;
};

struct minion_probed
{
    std::string minion;
    bool there{false};
};

// To the actor of a shard of jobs.

struct job_submitted
{
    std::string job;
    model::job_request request;
    reply_promise<Json::Value> answer;
};

struct job_shown
{
    std::string job;
    /// Answers when the job is over or this is.
    base::duration wait{0};
    reply_promise<Json::Value> answer;
};

struct job_cancelled
{
    std::string job;
    reply_promise<Json::Value> answer;
};

struct jobs_listed
{
    std::string contract;
    std::string state;
    reply_promise<Json::Value> answer;
};

struct ends_reported
{
    ends_report report;
    reply_promise<ends_answer> answer;
};

struct orders_answered
{
    std::shared_ptr<group_orders const> orders;
    base::outcome<group_answers> answer;
};

struct inventory_answered
{
    std::string group;
    base::outcome<group_inventory> answer;
};

/// What the log holds of the shard.
struct shard_page
{
    std::shared_ptr<stream::reader_page const> page;
};

/// Records of this shard that were handed to the log writer have an end.
struct shard_append_ended
{
    std::uint64_t ticket{0};
    base::outcome<stream::position> result;
};

} // namespace berylhill::entry

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::ownership::fetch_entry_list)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::ownership_page)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::ownership_append_ended)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::heartbeat_heard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::suspicion_heard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::vouch_asked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::vouch_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::entries_listed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::units_listed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::list_fetched)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::peer_heard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::group_orders_asked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::inventory_asked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::work_left_asked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::exchange_ended)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::ends_taken)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::call_offered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::call_finished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::call_given_up)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::minion_probed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::job_submitted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::job_shown)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::job_cancelled)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::jobs_listed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::ends_reported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::orders_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::inventory_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::shard_page)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(berylhill::entry::shard_append_ended)
