#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <model/job.hpp>
#include <placement/group_digest.hpp>
#include <placement/hold.hpp>
#include <placement/job_queue.hpp>
#include <placement/queue_action.hpp>
#include <platform/worker_link.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

/// What the owner of a shard of jobs and the owners of racks say to each
/// other. Instants are not comparable between processes, so only spans of time
/// travel.
namespace berylhill::entry
{

/// A reservation as it travels.
struct reserve_span
{
    std::string job;
    base::duration frees_in{0};
    base::duration lasts{0};

    friend bool operator==(reserve_span const&, reserve_span const&) = default;
};

/// From a shard's owner to a rack's owner.
struct group_orders
{
    /// The rack.
    std::string unit;
    /// The shard, and the epoch of its owner. The rack's owner refuses an
    /// epoch below the highest that it has seen of the shard.
    std::string shard;
    std::int64_t shard_epoch{0};
    /// Rises with each message of this owner of the shard to the rack, from 1
    /// on. 0 from an owner that does not number its messages.
    std::int64_t number{0};
    std::vector<placement::hold_order> holds;
    std::vector<model::attempt_id> commits;
    std::vector<model::attempt_id> releases;
    std::vector<reserve_span> reservations;
};

/// What became of one hold or commit.
enum class order_state : std::uint8_t
{
    held,
    started,
    refused,
};

struct order_answer
{
    model::attempt_id attempt;
    order_state state{order_state::refused};
    placement::hold_state why{placement::hold_state::full};

    friend bool operator==(order_answer const&, order_answer const&) = default;
};

struct group_answers
{
    std::int64_t epoch{0};
    std::vector<order_answer> answers;
    placement::group_digest digest;
};

/// One attempt that a rack's owner counts.
struct counted_attempt
{
    model::attempt_id attempt;
    std::string worker;
    model::resources planned;

    friend bool operator==(counted_attempt const&,
                           counted_attempt const&) = default;
};

/// All attempts of one shard in a rack: what is not here does not run there,
/// and nothing that an older epoch of the shard ordered will run any more.
struct group_inventory
{
    std::int64_t epoch{0};
    std::vector<counted_attempt> attempts;
    placement::group_digest digest;
};

/// From a rack's owner to a shard's owner: attempts that have ended.
struct ends_report
{
    /// The shard.
    std::string unit;
    std::string group;
    std::vector<placement::attempt_end> ends;
};

/// From a shard's owner: the ends of which it has taken note.
struct ends_answer
{
    std::vector<model::attempt_id> taken;
    /// How many messages with orders this owner had sent to the rack: no later
    /// one orders any of `taken`.
    std::int64_t orders_sent{0};

    friend bool operator==(ends_answer const&, ends_answer const&) = default;
};

[[nodiscard]] Json::Value to_json(group_orders const& it);
[[nodiscard]] base::result<group_orders>
group_orders_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(group_answers const& it);
[[nodiscard]] base::result<group_answers>
group_answers_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(group_inventory const& it);
[[nodiscard]] base::result<group_inventory>
group_inventory_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(ends_report const& it);
[[nodiscard]] base::result<ends_report> ends_report_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(ends_answer const& it);
[[nodiscard]] base::result<ends_answer> ends_answer_from(Json::Value const& it);

} // namespace berylhill::entry
