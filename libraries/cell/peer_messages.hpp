#pragma once

#include <base/result.hpp>
#include <cell/advice_client.hpp>
#include <cell/configuration_state.hpp>
#include <cell/job_call.hpp>
#include <cell/peer_list.hpp>
#include <cell/store_succession.hpp>
#include <cell/write_times.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::cell
{

/// The answer to a watch. A value.
struct watch_answer
{
    /// The answering process is the owner.
    bool owns{false};
    /// It is still reading the records and serves no calls yet.
    bool restoring{false};
    /// It has just taken over and may answer late.
    bool taking_over{false};
    /// It is releasing ownership: a successor may claim at once.
    bool leaving{false};
    /// How many owners, one after the other, handed over because they were
    /// overloaded, including it if it is leaving for that reason.
    std::uint32_t overloaded_owners{0};
    /// How long it has been unable to write to the store.
    base::duration store_stuck{0};
    /// The store answers it but refuses its appends.
    bool store_refuses{false};
    /// The current owner, as far as the sender knows.
    owner_view owner;
    /// It has had an answer from that owner, and has not lost it since.
    bool owner_heard{false};
    /// How many processes watch the owner.
    std::size_t watchers{0};
    /// The watchers that the recipient should know; without processes if the
    /// recipient has the same digest.
    named_peers peers;
    configuration_age configuration;
    /// The last end of the instances' log that the owner knows.
    log_end_age list_end;
    /// The time of the owner's clock at which it sent this answer.
    std::int64_t stamp{0};
    /// The owner is in trouble with the store: a recipient that the store
    /// serves should show it at once.
    bool asks_evidence{false};
    /// The process that should claim at once; empty if none should.
    network::socket_address successor;
    /// See `store_trouble::replaced_owners`: without the present owner, which
    /// its successor counts.
    std::uint32_t replaced_owners{0};

    friend bool operator==(watch_answer const&, watch_answer const&) = default;
};

/// The bodies of the calls between the processes of a cell, in JSON. Each
/// `parse` fails with `invalid`.
[[nodiscard]] std::string text_of(owner_view const& it);
[[nodiscard]] base::result<owner_view> parse_owner(std::string_view text);

[[nodiscard]] std::string text_of(watch_answer const& it);
[[nodiscard]] base::result<watch_answer> parse_watch(std::string_view text);

/// The body of a watch request. A value.
struct watch_request
{
    peer from;
    /// The digest of the peers that the sender knows.
    std::int64_t known{0};
    configuration_age configuration;
    /// Empty if the request has another purpose, or its sender runs a release
    /// without this field.
    std::optional<store_evidence> store;

    friend bool operator==(watch_request const&,
                           watch_request const&) = default;
};

[[nodiscard]] std::string text_of(watch_request const& it);
[[nodiscard]] base::result<watch_request>
parse_watch_request(std::string_view text);

[[nodiscard]] std::string text_of(configuration_record const& it);
[[nodiscard]] base::result<configuration_record>
parse_configuration(std::string_view text);

[[nodiscard]] std::string text_of(job_call const& it);
[[nodiscard]] base::result<job_call> parse_job_call(std::string_view text);

[[nodiscard]] std::string text_of(job_answer const& it);
[[nodiscard]] base::result<job_answer> parse_job_answer(std::string_view text);

/// An advice request that one process sends on behalf of another. A value.
struct advice_request
{
    std::string step;
    std::vector<std::string> instances;
    base::duration timeout{0};

    friend bool operator==(advice_request const&,
                           advice_request const&) = default;
};

[[nodiscard]] std::string text_of(advice_request const& it);
[[nodiscard]] base::result<advice_request>
parse_advice_request(std::string_view text);

[[nodiscard]] std::string text_of(advice_result const& it);
[[nodiscard]] base::result<advice_result>
parse_advice_result(std::string_view text);

} // namespace berylhill::cell
