#pragma once

#include <base/result.hpp>
#include <model/contract.hpp>
#include <model/endpoint.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What may stand in the log's stream `configuration`.
namespace berylhill::configuration
{

/// The name of the stream.
inline constexpr char const* s_stream = "configuration";

/// Publishes and removes contracts, all or none.
struct apply_change
{
    /// Made once by the sender; a second record with it is the same change.
    std::string id;
    /// The configuration offset that the operator looked at. Where a contract
    /// that this touches was changed after it, the change loses.
    std::int64_t based_on{-1};
    std::string operator_name;
    /// Microseconds since 1970 by the sender's clock, for people only.
    std::int64_t at_us{0};
    std::vector<model::contract> contracts;
    std::vector<std::string> removed;

    friend bool operator==(apply_change const&, apply_change const&) = default;
};

/// Announces the planned stop of an instance or an endpoint.
struct stop_change
{
    model::endpoint_kind kind{model::endpoint_kind::worker};
    std::string endpoint;
    std::string operator_name;
    std::int64_t at_us{0};

    friend bool operator==(stop_change const&, stop_change const&) = default;
};

/// Says that a planned stop has come to its end.
struct stop_done_change
{
    model::endpoint_kind kind{model::endpoint_kind::worker};
    std::string endpoint;
    /// The offset of the announcement that this ends, so that it cannot end a
    /// later one of an endpoint with the same name.
    std::int64_t announced{-1};
    std::int64_t at_us{0};

    friend bool operator==(stop_done_change const&,
                           stop_done_change const&) = default;
};

/// The whole state again, before retention drops what made it.
struct snapshot_change
{
    /// The last offset whose record is contained.
    std::int64_t as_of{-1};
    /// As `state::to_snapshot` wrote it.
    Json::Value state;

    friend bool operator==(snapshot_change const&,
                           snapshot_change const&) = default;
};

using change =
    std::variant<apply_change, stop_change, stop_done_change, snapshot_change>;

/// An object whose member `kind` names the alternative.
[[nodiscard]] Json::Value to_json(change const& it);

/// Fails with `invalid`, also for a kind from a newer version.
[[nodiscard]] base::result<change> change_from(Json::Value const& it);

} // namespace berylhill::configuration
