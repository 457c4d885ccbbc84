#pragma once

#include <cell/job_call.hpp>
#include <network/http_message.hpp>
#include <workload/cell_configuration.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace berylhill::cell
{

/// Why a request is refused.
enum class refusal_reason : std::uint8_t
{
    /// The request itself is invalid.
    request,
    /// The configuration in force does not allow the call; another version may.
    configuration,
};

/// A request that does not lead to a call. A value.
struct refused_request
{
    refusal_reason reason{refusal_reason::request};
    network::http_response response;
    /// A hash of an unknown API key, so that the caller can be identified in
    /// the log without the key; empty if the request had none.
    std::string key_digest;

    friend bool operator==(refused_request const&,
                           refused_request const&) = default;
};

/// Decodes requests about jobs and encodes the answers. Pure; thread-safe.
class job_protocol
{
public:
    job_protocol() = default;
    job_protocol(job_protocol const&) = delete;
    job_protocol& operator=(job_protocol const&) = delete;
    virtual ~job_protocol() = default;

    /// Returns the call that a request makes, or why it is refused.
    [[nodiscard]] virtual std::variant<job_call, refused_request>
    decode(network::http_request const& it,
           workload::cell_configuration const& configuration) const = 0;

    [[nodiscard]] virtual network::http_response
    encode(job_call const& call, job_answer const& answer) const = 0;
};

} // namespace berylhill::cell
