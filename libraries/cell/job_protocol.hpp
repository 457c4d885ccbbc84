#pragma once

#include <cell/job_call.hpp>
#include <network/http_message.hpp>
#include <workload/cell_configuration.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace berylhill::cell
{

/// What a request is refused for.
enum class refusal_ground : std::uint8_t
{
    /// It is wrong by itself.
    request,
    /// The configuration allows no such call: another version may.
    configuration,
};

/// A request that makes no call. A value.
struct refused_request
{
    refusal_ground reason{refusal_ground::request};
    network::http_response response;
    /// Of a key that nobody has, so that its owner can be told why: a hash,
    /// not the key; empty where none was shown.
    std::string key_digest;

    friend bool operator==(refused_request const&,
                           refused_request const&) = default;
};

/// What clients of jobs send and are sent. Pure; thread-safe.
class job_protocol
{
public:
    job_protocol() = default;
    job_protocol(job_protocol const&) = delete;
    job_protocol& operator=(job_protocol const&) = delete;
    virtual ~job_protocol() = default;

    /// The call that a request makes, or why it makes none.
    [[nodiscard]] virtual std::variant<job_call, refused_request>
    decode(network::http_request const& it,
           workload::cell_configuration const& configuration) const = 0;

    [[nodiscard]] virtual network::http_response
    encode(job_call const& call, job_answer const& answer) const = 0;
};

} // namespace berylhill::cell
